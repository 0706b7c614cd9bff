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

// Options holds the dependencies and settings of a Book.
type Options struct {
	Log     track.Log
	Agents  track.AgentDialer
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Drops counts the frames of answers that are discarded as faulty.
	Drops    *frames.Drops
	Settings Settings
}

// Book executes the non-idempotent requests of one entry. It follows the stream of
// claims in the log and appends the claims of this entry to it. It is safe for
// concurrent use.
type Book struct {
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

// New returns a Book with an empty index. It neither reads nor appends until Start
// is called.
func New(options Options) *Book {
	b := &Book{
		options:       options,
		appendQueue:   ring.New[*appendRequest](options.Settings.AppendQueueSize),
		wakeReader:    make(chan struct{}, 1),
		index:         NewIndex(options.Settings),
		indexAdvanced: make(chan struct{}),
	}
	options.Metrics.NewGauge("claims_keys", func() float64 { return float64(b.Len()) })
	options.Metrics.NewGauge("claims_invalid_records", func() float64 { return float64(b.invalidRecords()) })
	return b
}

// Start starts the background tasks that read and append records. They run until
// the context ends.
func (b *Book) Start(ctx context.Context) []*duty.Duty {
	return []*duty.Duty{
		duty.Start(ctx, "claims/read", b.followStream),
		duty.Start(ctx, "claims/append", b.runAppends),
		duty.Start(ctx, "claims/mark", b.runHeartbeats),
	}
}

// Len returns the number of keys in the index.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index.Len()
}

func (b *Book) invalidRecords() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index.InvalidRecords()
}

// Lookup returns the state of a key as of the last record read.
func (b *Book) Lookup(key Key) KeyInfo {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index.Lookup(key)
}

func (b *Book) hasSameBody(key Key, bodySHA256 string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index.HasSameBody(key, bodySHA256)
}

// followStream reads the stream of claims until the context ends.
func (b *Book) followStream(ctx context.Context) error {
	for {
		more := b.readPage(ctx)
		if more {
			continue
		}
		interval := b.options.Settings.PollInterval
		if b.readBackWaiters.Load() > 0 {
			interval = b.options.Settings.ReadBackInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wakeReader:
		case <-b.options.Clock.After(interval):
		}
	}
}

// readPage reads one page and reports whether the stream has more records to read.
func (b *Book) readPage(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, b.options.Settings.LogTimeout)
	defer cancel()
	b.mu.Lock()
	from := b.index.Next()
	b.mu.Unlock()
	page, err := b.options.Log.Read(ctx, track.StreamClaims, from, b.options.Settings.MaxPageRecords)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.incrementCounter("claims_read_failures_total")
		if b.readsFailingSince.IsZero() {
			b.readsFailingSince = b.options.Clock.Now()
		}
		return false
	}
	b.readsFailingSince = time.Time{}
	b.index.Apply(page, b.options.Clock.Now())
	if len(page.Records) == 0 {
		return false
	}
	b.lastRecordReadAt = b.options.Clock.Now()
	close(b.indexAdvanced)
	b.indexAdvanced = make(chan struct{})
	return b.index.Next() < page.Next
}

// claimTimeout returns how long a caller waits for an append. While the log is
// down the wait is short, so that the caller is refused soon.
func (b *Book) claimTimeout() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.options.Settings
	if !b.readsFailingSince.IsZero() && b.options.Clock.Since(b.readsFailingSince) >= s.LogDownAfter {
		return s.LogDownClaimTimeout
	}
	return s.ClaimTimeout
}

// readBack waits until the index has applied the record at the offset.
func (b *Book) readBack(ctx context.Context, offset uint64) error {
	b.readBackWaiters.Add(1)
	defer b.readBackWaiters.Add(-1)
	for {
		b.mu.Lock()
		next, advanced := b.index.Next(), b.indexAdvanced
		b.mu.Unlock()
		if next > offset {
			return nil
		}
		select {
		case b.wakeReader <- struct{}{}:
		default:
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return track.Fail("read back claim", Unavailable, context.Cause(ctx))
		}
	}
}

// runHeartbeats appends a heartbeat record whenever no record has been read for
// HeartbeatInterval.
func (b *Book) runHeartbeats(ctx context.Context) error {
	interval := b.options.Settings.HeartbeatInterval
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.options.Clock.After(interval):
		}
		b.mu.Lock()
		idle := b.options.Clock.Since(b.lastRecordReadAt)
		b.mu.Unlock()
		if idle < interval {
			continue
		}
		if _, err := b.appendRecords(ctx, Record{Kind: KindHeartbeat}); err != nil {
			b.options.Logger.Debug("heartbeat record not appended", zap.Error(err))
		}
	}
}

func (b *Book) incrementCounter(name string) {
	b.options.Metrics.GetOrCreateCounter(name).Inc()
}
