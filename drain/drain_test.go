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

func TestState(t *testing.T) {
	start := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	type moment struct {
		at   time.Duration
		open int
		stop bool
		want drain.Phase
	}
	timing := drain.Timing{Settle: 5 * time.Second, Limit: time.Minute}
	for name, moments := range map[string][]moment{
		"work ends": {
			{0, 3, false, drain.Serving},
			{1, 3, true, drain.Settling},
			{5 * time.Second, 0, false, drain.Settling},
			{6 * time.Second, 1, false, drain.Finishing},
			{20 * time.Second, 1, false, drain.Finishing},
			{21 * time.Second, 0, false, drain.Ended},
		},
		"idle":                          {{0, 0, true, drain.Settling}, {5 * time.Second, 0, false, drain.Ended}},
		"second signal while settling":  {{0, 1, true, drain.Settling}, {time.Second, 1, true, drain.Ended}},
		"second signal while finishing": {{0, 1, true, drain.Settling}, {9 * time.Second, 1, false, drain.Finishing}, {10 * time.Second, 1, true, drain.Ended}},
		"hard limit":                    {{0, 1, true, drain.Settling}, {59 * time.Second, 1, false, drain.Finishing}, {time.Minute, 1, false, drain.Ended}},
	} {
		t.Run(name, func(t *testing.T) {
			s := drain.NewState(timing)
			for _, m := range moments {
				if m.stop {
					s.Stop(start.Add(m.at))
				} else {
					s.Step(start.Add(m.at), m.open)
				}
				assert.Equal(t, s.Phase(), m.want, "at %s", m.at)
			}
		})
	}
}

// daemon notes the order of the hooks.
type daemon struct {
	mu       sync.Mutex
	steps    []string
	requests drain.Requests
}

func (d *daemon) note(step string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.steps = append(d.steps, step)
}

func (d *daemon) hooks() drain.Hooks {
	return drain.Hooks{
		Unready: func() { d.note("unready") },
		Tell:    func(context.Context) error { d.note("tell"); return nil },
		Finish:  func() { d.note("finish") },
		Open:    d.requests.Open,
	}
}

// stopAt runs a shutdown of which the signals come at the given times, with one
// request that ends at the given time.
func stopAt(t *testing.T, requestEnds time.Duration, signals ...time.Duration) (*daemon, time.Duration, []observer.LoggedEntry, error) {
	d := &daemon{}
	core, logs := observer.New(zapcore.ErrorLevel)
	var took time.Duration
	var err error
	synctest.Test(t, func(t *testing.T) {
		timing := drain.Timing{Settle: 5 * time.Second, Limit: time.Minute}
		drainer := drain.New(timing, d.hooks(), clockwork.NewRealClock(), zap.New(core))
		begin := time.Now()
		end := d.requests.Begin("request-1")
		time.AfterFunc(requestEnds, end)
		stops := make(chan struct{}, len(signals))
		for _, at := range signals {
			time.AfterFunc(at, func() { stops <- struct{}{} })
		}
		err = drainer.Run(context.Background(), stops)
		took = time.Since(begin)
		time.Sleep(requestEnds)
	})
	return d, took.Round(100 * time.Millisecond), logs.All(), err
}

func TestShutdownWaitsForOpenRequests(t *testing.T) {
	// The request ends between two looks, so that the look at 30 s sees it ended.
	d, took, logs, err := stopAt(t, 30*time.Second-20*time.Millisecond, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, took, 30*time.Second)
	assert.Equal(t, len(logs), 0)
	assert.DeepEqual(t, d.steps, []string{"unready", "tell", "finish"})
}

func TestShutdownNamesWhatItCuts(t *testing.T) {
	for name, c := range map[string]struct {
		signals []time.Duration
		took    time.Duration
	}{
		"second signal": {[]time.Duration{time.Second, 3 * time.Second}, 3 * time.Second},
		"hard limit":    {[]time.Duration{time.Second}, 61 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			_, took, logs, err := stopAt(t, time.Hour, c.signals...)
			assert.Assert(t, track.IsKind(err, drain.CutOff), "%v", err)
			assert.Equal(t, took, c.took)
			assert.Equal(t, len(logs), 1)
			assert.Equal(t, logs[0].ContextMap()["request"], "request-1")
		})
	}
}

func TestRequestsCountEachOnce(t *testing.T) {
	var r drain.Requests
	first, second := r.Begin("a"), r.Begin("a")
	first()
	first()
	assert.DeepEqual(t, r.Open(), []track.RequestID{"a"})
	second()
	assert.Equal(t, len(r.Open()), 0)
}
