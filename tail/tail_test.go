package tail_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/stand/memlog"
	"filberttrack.example/track/tail"
)

const stream = "test"

// collector is a Follower that keeps all it is handed.
type collector struct {
	mu      sync.Mutex
	next    uint64
	values  []string
	refused []uint64
	gaps    int
	faults  int
}

func (c *collector) Position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

func (c *collector) Failed(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults++
}

// count returns the number of values so far, also while the reader runs.
func (c *collector) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.values)
}

func (c *collector) Handle(b tail.Batch[string]) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Gap() {
		c.gaps++
	}
	for _, e := range b.Entries {
		if e.Err != nil {
			c.refused = append(c.refused, e.Offset)
			continue
		}
		c.values = append(c.values, e.Value)
	}
	c.next = b.Next
}

func decode(data []byte) (string, error) {
	if len(data) == 0 || data[0] == '!' {
		return "", errors.New("damaged")
	}
	return string(data), nil
}

func reader(log track.Log, c *collector) *tail.Reader[string] {
	return tail.NewReader(tail.ReaderOptions[string]{
		Log: log, Stream: stream, Decode: decode, Follower: c, Clock: clockwork.NewRealClock(),
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: zap.NewNop(), Metrics: metrics.NewSet(), PageSize: 2,
	})
}

// inBubble runs the duties with the test on a fake clock.
func inBubble(t *testing.T, test func(ctx context.Context, log *memlog.Log)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(ctx, memlog.New(clockwork.NewRealClock(), memlog.Settings{}))
	})
}

func appendAll(ctx context.Context, t *testing.T, log track.Log, values ...string) {
	t.Helper()
	for _, v := range values {
		_, err := log.Append(ctx, stream, [][]byte{[]byte(v)})
		assert.NilError(t, err)
	}
}

func TestReaderFollowsStream(t *testing.T) {
	inBubble(t, func(ctx context.Context, log *memlog.Log) {
		appendAll(ctx, t, log, "a", "b", "!", "", "c")
		c := &collector{}
		r := reader(log, c)
		duty.Start(ctx, "tail", r.Run)
		synctest.Wait()
		assert.DeepEqual(t, c.values, []string{"a", "b", "c"})
		assert.DeepEqual(t, c.refused, []uint64{2, 3})

		appendAll(ctx, t, log, "d")
		r.Wake()
		synctest.Wait()
		assert.Equal(t, len(c.values), 4)

		log.SetAway(true)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Assert(t, c.faults >= 25 && c.faults <= 70, "%d reads failed", c.faults)
		appended := time.Now()
		log.SetAway(false)
		appendAll(ctx, t, log, "e")
		for c.count() < 5 {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
		}
		assert.Assert(t, time.Since(appended) <= tail.DefaultPollInterval+10*time.Millisecond)
	})
}

func TestReaderNoticesGap(t *testing.T) {
	inBubble(t, func(ctx context.Context, log *memlog.Log) {
		appendAll(ctx, t, log, "a", "b", "c", "d")
		c := &collector{next: 1}
		log.Expire(stream, 3)
		r := reader(log, c)
		assert.Assert(t, !r.Poll(ctx))
		assert.Equal(t, c.gaps, 1)
		assert.DeepEqual(t, c.values, []string{"d"})
		appendAll(ctx, t, log, "e")
		log.Expire(stream, 5)
		r.Poll(ctx)
		assert.Equal(t, c.gaps, 2)
		assert.Equal(t, c.next, uint64(5))
	})
}

// A page that ends before the reader's position comes from a log that lags.
func TestLaggingLogProvesNothing(t *testing.T) {
	assert.Assert(t, !tail.Batch[int]{From: 5, Next: 5, End: 3}.CaughtUp())
	assert.Assert(t, tail.Batch[int]{From: 5, Next: 5, End: 5}.CaughtUp())
}

func TestHangingReadTimesOut(t *testing.T) {
	inBubble(t, func(ctx context.Context, log *memlog.Log) {
		log.SetDelay(time.Hour)
		c := &collector{}
		duty.Start(ctx, "tail", reader(log, c).Run)
		time.Sleep(tail.DefaultReadTimeout + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, c.faults, 1)
	})
}

func appender(log track.Log, appenders int, budget float64) *tail.Appender {
	return tail.NewAppender(tail.AppenderOptions{
		Log: log, Stream: stream, Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(),
		Budget: budget, Appenders: func() int { return appenders },
	})
}

// The whole deployment at full size stays within its budget, whatever is asked
// of it, and each record gets the offset at which it stands.
func TestAppendsKeepBudget(t *testing.T) {
	const (
		instances = 350
		budget    = 200.0
		seconds   = 10
		// Each instance may make its first append at once.
		allowed = budget*seconds + instances
	)
	inBubble(t, func(ctx context.Context, log *memlog.Log) {
		var callers sync.WaitGroup
		for i := range instances {
			a := appender(log, instances, budget)
			duty.Start(ctx, "append", a.Run)
			for j := range 20 {
				callers.Go(func() {
					time.Sleep(time.Duration(j) * 500 * time.Millisecond)
					value := fmt.Sprintf("%d/%d", i, j)
					offset, err := a.Append(ctx, []byte(value))
					assert.Check(t, err)
					page, err := log.Read(ctx, stream, offset, 1)
					assert.Check(t, err)
					assert.Check(t, string(page.Records[0].Data) == value)
				})
			}
		}
		time.Sleep(seconds * time.Second)
		appends := log.Counts().Appends
		assert.Assert(t, float64(appends) <= allowed, "%d appends", appends)
		callers.Wait()
		assert.Equal(t, log.Counts().RecordsAppended, uint64(instances*20))
		t.Logf("%d records in %d appends within %d s", log.Counts().RecordsAppended, appends, seconds)
	})
}

func TestAppendNeverRepeats(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(*memlog.Log)
		kind    tail.Kind
		records uint64
	}{
		{"answer lost", func(l *memlog.Log) { l.LoseAnswers(1) }, tail.Ambiguous, 1},
		{"request lost", func(l *memlog.Log) { l.LoseRequests(1) }, tail.Ambiguous, 0},
		{"log away", func(l *memlog.Log) { l.SetAway(true) }, tail.Unavailable, 0},
		{"answer late", func(l *memlog.Log) { l.SetDelay(time.Hour) }, tail.Ambiguous, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, log *memlog.Log) {
				test.fault(log)
				a := appender(log, 1, 10)
				duty.Start(ctx, "append", a.Run)
				_, err := a.Append(ctx, []byte("x"))
				assert.Assert(t, track.IsKind(err, test.kind), "%v", err)
				time.Sleep(time.Minute)
				assert.Equal(t, log.Counts().RecordsAppended, test.records)
			})
		})
	}
}

// A record whose caller gave up while it waited is not appended later.
func TestAbandonedAppendIsDropped(t *testing.T) {
	inBubble(t, func(ctx context.Context, log *memlog.Log) {
		a := appender(log, 1, 1)
		duty.Start(ctx, "append", a.Run)
		_, err := a.Append(ctx, []byte("first"))
		assert.NilError(t, err)
		impatient, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, err = a.Append(impatient, []byte("late"))
		assert.Assert(t, track.IsKind(err, tail.Ambiguous), "%v", err)
		time.Sleep(time.Minute)
		assert.Equal(t, log.Counts().RecordsAppended, uint64(1))
	})
}

func TestBackoffStaysWithinBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for failures := 1; failures < 40; failures++ {
		longest := tail.Backoff(failures, 250*time.Millisecond, 2*time.Second)
		wait := tail.Jitter(rng, longest)
		assert.Assert(t, longest <= 2*time.Second && wait >= longest/2 && wait <= longest)
	}
	assert.Equal(t, tail.Backoff(3, time.Second, time.Minute), 4*time.Second)
}
