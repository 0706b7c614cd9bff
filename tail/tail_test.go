package tail_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// recordingHandler is a Handler that records what it receives.
type recordingHandler struct {
	mu     sync.Mutex
	next   uint64
	values []string
	// undecodable holds the offsets of the records that can't be decoded.
	undecodable []uint64
	gaps        int
	failedReads int
}

func (f *recordingHandler) NextOffset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

func (f *recordingHandler) HandleError(error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedReads++
}

// valueCount returns the number of values so far. It is safe to call while the
// reader runs.
func (f *recordingHandler) valueCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.values)
}

func (f *recordingHandler) HandleBatch(b tail.Batch[string]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Gap() {
		f.gaps++
	}
	for _, e := range b.Records {
		if e.Err != nil {
			f.undecodable = append(f.undecodable, e.Offset)
			continue
		}
		f.values = append(f.values, e.Value)
	}
	f.next = b.Next
}

func decode(data []byte) (string, error) {
	if len(data) == 0 || data[0] == '!' {
		return "", errors.New("damaged")
	}
	return string(data), nil
}

func newReader(log track.Log, f *recordingHandler) *tail.Reader[string] {
	return tail.NewReader(tail.ReaderOptions[string]{
		Log: log, Stream: stream, Decode: decode, Handler: f, Clock: clockwork.NewRealClock(),
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: zap.NewNop(), Metrics: metrics.NewSet(), PageSize: 2,
	})
}

// withFakeTime runs the test and the goroutines that it starts on a fake clock, with
// an in-memory log.
func withFakeTime(t *testing.T, test func(ctx context.Context, log *memlog.Log)) {
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
	withFakeTime(t, func(ctx context.Context, log *memlog.Log) {
		appendAll(ctx, t, log, "a", "b", "!", "", "c")
		follower := &recordingHandler{}
		r := newReader(log, follower)
		duty.Start(ctx, "tail", r.Run)
		synctest.Wait()
		assert.DeepEqual(t, follower.values, []string{"a", "b", "c"})
		assert.DeepEqual(t, follower.undecodable, []uint64{2, 3})

		appendAll(ctx, t, log, "d")
		r.ReadNow()
		synctest.Wait()
		assert.Equal(t, len(follower.values), 4)

		log.SetUnavailable(true)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Assert(t, follower.failedReads >= 25 && follower.failedReads <= 70, "%d reads failed", follower.failedReads)
		appended := time.Now()
		log.SetUnavailable(false)
		appendAll(ctx, t, log, "e")
		for follower.valueCount() < 5 {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
		}
		assert.Assert(t, time.Since(appended) <= tail.DefaultPollInterval+10*time.Millisecond)
	})
}

func TestReaderReportsExpiredRecords(t *testing.T) {
	withFakeTime(t, func(ctx context.Context, log *memlog.Log) {
		appendAll(ctx, t, log, "a", "b", "c", "d")
		follower := &recordingHandler{next: 1}
		log.Expire(stream, 3)
		r := newReader(log, follower)
		assert.Assert(t, !r.Poll(ctx))
		assert.Equal(t, follower.gaps, 1)
		assert.DeepEqual(t, follower.values, []string{"d"})
		appendAll(ctx, t, log, "e")
		log.Expire(stream, 5)
		r.Poll(ctx)
		assert.Equal(t, follower.gaps, 2)
		assert.Equal(t, follower.next, uint64(5))
	})
}

// A page that ends before the reader's position is out of date, so it does not show
// that the reader has reached the end of the stream.
func TestOutdatedPageIsNotCaughtUp(t *testing.T) {
	assert.Assert(t, !tail.Batch[int]{From: 5, Next: 5, End: 3}.CaughtUp())
	assert.Assert(t, tail.Batch[int]{From: 5, Next: 5, End: 5}.CaughtUp())
}

func TestReadTimesOut(t *testing.T) {
	withFakeTime(t, func(ctx context.Context, log *memlog.Log) {
		log.SetDelay(time.Hour)
		follower := &recordingHandler{}
		duty.Start(ctx, "tail", newReader(log, follower).Run)
		time.Sleep(tail.DefaultReadTimeout + time.Millisecond)
		synctest.Wait()
		assert.Equal(t, follower.failedReads, 1)
	})
}

func newAppender(log track.Log, instances int, appendsPerSecond float64) *tail.Appender {
	return tail.NewAppender(tail.AppenderOptions{
		Log: log, Stream: stream, Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(),
		AppendsPerSecond: appendsPerSecond, InstanceCount: func() int { return instances },
	})
}

// A deployment of full size keeps to its rate limit however many appends are
// requested, and each caller gets the offset of its own record.
func TestAppendsStayWithinRateLimit(t *testing.T) {
	const (
		instances        = 350
		appendsPerSecond = 200.0
		seconds          = 10
		// Each instance may make its first append at once.
		maxAppends = appendsPerSecond*seconds + instances
	)
	withFakeTime(t, func(ctx context.Context, log *memlog.Log) {
		var callers sync.WaitGroup
		for i := range instances {
			a := newAppender(log, instances, appendsPerSecond)
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
		assert.Assert(t, float64(appends) <= maxAppends, "%d appends", appends)
		callers.Wait()
		assert.Equal(t, log.Counts().RecordsAppended, uint64(instances*20))
		t.Logf("%d records in %d appends within %d s", log.Counts().RecordsAppended, appends, seconds)
	})
}

func TestAppendIsNeverRetried(t *testing.T) {
	tests := []struct {
		name    string
		inject  func(*memlog.Log)
		kind    tail.Kind
		records uint64
	}{
		{"answer lost", func(l *memlog.Log) { l.LoseResponses(1) }, tail.Ambiguous, 1},
		{"request lost", func(l *memlog.Log) { l.LoseRequests(1) }, tail.Ambiguous, 0},
		{"log unavailable", func(l *memlog.Log) { l.SetUnavailable(true) }, tail.Unavailable, 0},
		{"answer delayed", func(l *memlog.Log) { l.SetDelay(time.Hour) }, tail.Ambiguous, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFakeTime(t, func(ctx context.Context, log *memlog.Log) {
				test.inject(log)
				a := newAppender(log, 1, 10)
				duty.Start(ctx, "append", a.Run)
				_, err := a.Append(ctx, []byte("x"))
				assert.Assert(t, track.IsKind(err, test.kind), "%v", err)
				time.Sleep(time.Minute)
				assert.Equal(t, log.Counts().RecordsAppended, test.records)
			})
		})
	}
}

// A record whose caller gave up while it was queued is not appended later.
func TestCancelledAppendIsDropped(t *testing.T) {
	withFakeTime(t, func(ctx context.Context, log *memlog.Log) {
		a := newAppender(log, 1, 1)
		duty.Start(ctx, "append", a.Run)
		_, err := a.Append(ctx, []byte("first"))
		assert.NilError(t, err)
		shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, err = a.Append(shortCtx, []byte("late"))
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

// silentLog never answers the reads that are pending or arrive while it is dark.
type silentLog struct {
	track.Log
	dark atomic.Bool
}

func (l *silentLog) Read(ctx context.Context, stream string, from uint64, limit int) (track.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit)
	if l.dark.Load() {
		<-ctx.Done()
		return track.Page{}, context.Cause(ctx)
	}
	return page, err
}

// Guards against a reader that waits for an answer that the log has lost. Changes are in force within 14 s.
func TestRecordsAreReadThoughTheLogHasLostAnswers(t *testing.T) {
	const inForceWithin = 14 * time.Second
	for _, darkFor := range []time.Duration{10 * time.Millisecond, 3 * time.Second, 5500 * time.Millisecond, time.Minute} {
		t.Run(darkFor.String(), func(t *testing.T) {
			withFakeTime(t, func(ctx context.Context, inner *memlog.Log) {
				log, follower := &silentLog{Log: inner}, &recordingHandler{}
				duty.Start(ctx, "tail", newReader(log, follower).Run)
				time.Sleep(10 * time.Second)
				log.dark.Store(true)
				time.Sleep(darkFor)
				log.dark.Store(false)
				appendAll(ctx, t, inner, "a")
				time.Sleep(inForceWithin)
				assert.Equal(t, follower.valueCount(), 1)
			})
		})
	}
}
