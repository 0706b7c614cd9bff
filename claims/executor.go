// Package claims runs each non-idempotent request at most once across all
// entries. An entry appends a claim of the idempotency key to the platform's log
// before it dispatches the request. The first claim of a key in log order wins.
// Every other entry asks the agent that the winning claim names for the answer.
package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/frames"
	"filberttrack.example/track/ring"
)

// Options holds the dependencies and settings of an Executor.
type Options struct {
	Log     track.Log
	Dialer  track.AgentDialer
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Drops counts the frames of answers that are discarded as faulty.
	Drops    *frames.DropCounters
	Settings Settings
}

// Executor executes the non-idempotent requests of one entry. It follows the stream of
// claims in the log and appends the claims of this entry to it. It is safe for
// concurrent use.
type Executor struct {
	options     Options
	appendQueue *ring.Ring[*appendRequest]
	// wakeReader makes followStream read at once.
	wakeReader chan struct{}
	// readBackWaiters is the number of callers that wait for a record to be read.
	readBackWaiters atomic.Int64

	mu    sync.Mutex
	index *Index
	// lastRecordReadAt is the time of the last read that returned records.
	lastRecordReadAt time.Time
	// readsFailingSince is the time of the first of the reads that have failed
	// without a success since; it is zero if the last read succeeded.
	readsFailingSince time.Time
	// indexAdvanced is closed and replaced whenever the index has applied records.
	indexAdvanced chan struct{}
}

// New returns an Executor with an empty index. It neither reads nor appends until Start
// is called.
func New(options Options) *Executor {
	x := &Executor{
		options:       options,
		appendQueue:   ring.New[*appendRequest](options.Settings.AppendQueueSize),
		wakeReader:    make(chan struct{}, 1),
		index:         NewIndex(options.Settings),
		indexAdvanced: make(chan struct{}),
	}
	options.Metrics.NewGauge("claims_keys", func() float64 { return float64(x.Len()) })
	options.Metrics.NewGauge("claims_invalid_records", func() float64 { return float64(x.invalidRecords()) })
	return x
}

// Start starts the background tasks that read and append records. They run until
// the context ends.
func (x *Executor) Start(ctx context.Context) []*duty.Duty {
	return []*duty.Duty{
		duty.Start(ctx, "claims/read", x.followStream),
		duty.Start(ctx, "claims/append", x.runAppends),
		duty.Start(ctx, "claims/mark", x.runHeartbeats),
	}
}

// Len returns the number of keys in the index.
func (x *Executor) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.index.Len()
}

func (x *Executor) invalidRecords() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.index.InvalidRecords()
}

// Lookup returns the state of a key as of the last record read.
func (x *Executor) Lookup(key Key) KeyInfo {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.index.Lookup(key)
}

func (x *Executor) hasSameBody(key Key, bodySHA256 string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.index.HasSameBody(key, bodySHA256)
}

// followStream reads the stream of claims until the context ends.
func (x *Executor) followStream(ctx context.Context) error {
	for {
		more := x.readPage(ctx)
		if more {
			continue
		}
		interval := x.options.Settings.PollInterval
		if x.readBackWaiters.Load() > 0 {
			interval = x.options.Settings.ReadBackInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-x.wakeReader:
		case <-x.options.Clock.After(interval):
		}
	}
}

// readPage reads one page and reports whether the stream has more records to read.
func (x *Executor) readPage(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, x.options.Settings.LogTimeout)
	defer cancel()
	x.mu.Lock()
	from := x.index.Next()
	x.mu.Unlock()
	page, err := x.options.Log.Read(ctx, track.StreamClaims, from, x.options.Settings.MaxPageRecords)
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil {
		x.incrementCounter("claims_read_failures_total")
		if x.readsFailingSince.IsZero() {
			x.readsFailingSince = x.options.Clock.Now()
		}
		return false
	}
	x.readsFailingSince = time.Time{}
	x.index.Apply(page, x.options.Clock.Now())
	if len(page.Records) == 0 {
		return false
	}
	x.lastRecordReadAt = x.options.Clock.Now()
	close(x.indexAdvanced)
	x.indexAdvanced = make(chan struct{})
	return x.index.Next() < page.Next
}

// claimTimeout returns how long a caller waits for an append. While the log is
// down the wait is short, so that the caller is refused soon.
func (x *Executor) claimTimeout() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.options.Settings
	if !x.readsFailingSince.IsZero() && x.options.Clock.Since(x.readsFailingSince) >= s.LogDownAfter {
		return s.LogDownClaimTimeout
	}
	return s.ClaimTimeout
}

// readBack waits until the index has applied the record at the offset.
func (x *Executor) readBack(ctx context.Context, offset uint64) error {
	x.readBackWaiters.Add(1)
	defer x.readBackWaiters.Add(-1)
	for {
		x.mu.Lock()
		next, advanced := x.index.Next(), x.indexAdvanced
		x.mu.Unlock()
		if next > offset {
			return nil
		}
		select {
		case x.wakeReader <- struct{}{}:
		default:
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return track.Fail("read back claim", LogUnavailable, context.Cause(ctx))
		}
	}
}

// runHeartbeats appends a heartbeat record whenever no record has been read for
// HeartbeatInterval.
func (x *Executor) runHeartbeats(ctx context.Context) error {
	interval := x.options.Settings.HeartbeatInterval
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-x.options.Clock.After(interval):
		}
		x.mu.Lock()
		idle := x.options.Clock.Since(x.lastRecordReadAt)
		x.mu.Unlock()
		if idle < interval {
			continue
		}
		if _, err := x.appendRecords(ctx, Record{Kind: KindHeartbeat}); err != nil {
			x.options.Logger.Debug("heartbeat record not appended", zap.Error(err))
		}
	}
}

func (x *Executor) incrementCounter(name string) {
	x.options.Metrics.GetOrCreateCounter(name).Inc()
}
