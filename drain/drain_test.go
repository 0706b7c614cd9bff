package drain_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/drain"
)

func TestStatePhases(t *testing.T) {
	start := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	type event struct {
		at   time.Duration
		open int
		stop bool
		want drain.Phase
	}
	timing := drain.Timeouts{DeregistrationDelay: 5 * time.Second, MaxDuration: time.Minute}
	for name, events := range map[string][]event{
		"requests end": {
			{0, 3, false, drain.Serving},
			{1, 3, true, drain.Settling},
			{5 * time.Second, 0, false, drain.Settling},
			{6 * time.Second, 1, false, drain.Finishing},
			{20 * time.Second, 1, false, drain.Finishing},
			{21 * time.Second, 0, false, drain.Ended},
		},
		"idle":                         {{0, 0, true, drain.Settling}, {5 * time.Second, 0, false, drain.Ended}},
		"second signal while settling": {{0, 1, true, drain.Settling}, {time.Second, 1, true, drain.Ended}},
		"second signal while finishing": {
			{0, 1, true, drain.Settling},
			{9 * time.Second, 1, false, drain.Finishing},
			{10 * time.Second, 1, true, drain.Ended},
		},
		"time limit": {
			{0, 1, true, drain.Settling},
			{59 * time.Second, 1, false, drain.Finishing},
			{time.Minute, 1, false, drain.Ended},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := drain.NewState(timing)
			for _, e := range events {
				if e.stop {
					s.Stop(start.Add(e.at))
				} else {
					s.Advance(start.Add(e.at), e.open)
				}
				assert.Equal(t, s.Phase(), e.want, "phase at %s", e.at)
			}
		})
	}
}

// recorder provides hooks that record the order of their calls.
type recorder struct {
	mu       sync.Mutex
	calls    []string
	requests drain.Requests
}

func (r *recorder) record(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

func (r *recorder) hooks() drain.Hooks {
	return drain.Hooks{
		MarkUnready:   func() { r.record("unready") },
		NotifyPeers:   func(context.Context) error { r.record("tell"); return nil },
		StopAccepting: func() { r.record("finish") },
		OpenRequests:  r.requests.Open,
	}
}

// runShutdown runs a shutdown with stop signals at the given times and one open request
// that ends at the given time. It returns the recorder of the hooks, the duration of the
// shutdown, the logged errors and the result.
func runShutdown(
	t *testing.T, requestEnds time.Duration, signals ...time.Duration,
) (*recorder, time.Duration, []observer.LoggedEntry, error) {
	rec := &recorder{}
	core, logs := observer.New(zapcore.ErrorLevel)
	var took time.Duration
	var err error
	synctest.Test(t, func(t *testing.T) {
		timing := drain.Timeouts{DeregistrationDelay: 5 * time.Second, MaxDuration: time.Minute}
		drainer := drain.New(timing, rec.hooks(), clockwork.NewRealClock(), zap.New(core))
		begin := time.Now()
		end := rec.requests.Begin("request-1")
		time.AfterFunc(requestEnds, end)
		stops := make(chan struct{}, len(signals))
		for _, at := range signals {
			time.AfterFunc(at, func() { stops <- struct{}{} })
		}
		err = drainer.Run(context.Background(), stops)
		took = time.Since(begin)
		time.Sleep(requestEnds)
	})
	return rec, took.Round(100 * time.Millisecond), logs.All(), err
}

func TestShutdownWaitsForOpenRequests(t *testing.T) {
	// The request ends between two polls, so the poll at 30 s finds that it has ended.
	rec, took, logs, err := runShutdown(t, 30*time.Second-20*time.Millisecond, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, took, 30*time.Second)
	assert.Equal(t, len(logs), 0)
	assert.DeepEqual(t, rec.calls, []string{"unready", "tell", "finish"})
}

func TestShutdownLogsRequestsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		signals []time.Duration
		took    time.Duration
	}{
		"second signal": {[]time.Duration{time.Second, 3 * time.Second}, 3 * time.Second},
		"time limit":    {[]time.Duration{time.Second}, 61 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			_, took, logs, err := runShutdown(t, time.Hour, c.signals...)
			assert.Assert(t, track.IsKind(err, drain.CutOff), "%v", err)
			assert.Equal(t, took, c.took)
			assert.Equal(t, len(logs), 1)
			assert.Equal(t, logs[0].ContextMap()["request"], "request-1")
		})
	}
}

func TestRequestsEndOnlyOnce(t *testing.T) {
	var r drain.Requests
	first, second := r.Begin("a"), r.Begin("a")
	first()
	first()
	assert.DeepEqual(t, r.Open(), []track.RequestID{"a"})
	second()
	assert.Equal(t, len(r.Open()), 0)
}
