// Package claims runs work that must not be repeated at most once, by claims in
// the platform's log. The first claim of a key in log order wins; whoever loses
// asks the agent that the winner named for the answer.
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

// Options holds what a book is made of.
type Options struct {
	Log      track.Log
	Agents   track.AgentDialer
	Clock    clockwork.Clock
	Logger   *zap.Logger
	Metrics  *metrics.Set
	Drops    *frames.Drops
	Settings Settings
}

// Book is an entry's view of the claims. It is safe for concurrent use.
type Book struct {
	options Options
	queue   *ring.Ring[*batch]
	// kick wakes the reading duty.
	kick    chan struct{}
	waiting atomic.Int64

	mu     sync.Mutex
	index  *Index
	readAt time.Time
	// failingSince is the time from which all reads have failed; zero if none has.
	failingSince time.Time
	// moved is closed and replaced whenever the index has read on.
	moved chan struct{}
}

// New returns a book that knows nothing until its duties run.
func New(options Options) *Book {
	b := &Book{
		options: options,
		queue:   ring.New[*batch](options.Settings.QueueSize),
		kick:    make(chan struct{}, 1),
		index:   NewIndex(options.Settings),
		moved:   make(chan struct{}),
	}
	options.Metrics.NewGauge("claims_keys", func() float64 { return float64(b.Len()) })
	options.Metrics.NewGauge("claims_invalid_records", func() float64 { return float64(b.invalid()) })
	return b
}

// Start runs the duties of the book until the context ends.
func (b *Book) Start(ctx context.Context) []*duty.Duty {
	return []*duty.Duty{
		duty.Start(ctx, "claims/read", b.read),
		duty.Start(ctx, "claims/append", b.append),
		duty.Start(ctx, "claims/mark", b.mark),
	}
}

// Len returns the number of keys that the book remembers.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index.Len()
}

func (b *Book) invalid() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index.Invalid()
}

// Look returns what the book knows of a key.
func (b *Book) Look(key Key) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index.Look(key)
}

func (b *Book) sameBody(key Key, bodySHA256 string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.index.SameBody(key, bodySHA256)
}

// read follows the stream until the context ends.
func (b *Book) read(ctx context.Context) error {
	for {
		more := b.readPage(ctx)
		if more {
			continue
		}
		interval := b.options.Settings.PollInterval
		if b.waiting.Load() > 0 {
			interval = b.options.Settings.ReadBackInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.kick:
		case <-b.options.Clock.After(interval):
		}
	}
}

// readPage reads one page and reports whether there is more to read at once.
func (b *Book) readPage(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, b.options.Settings.AppendTimeout)
	defer cancel()
	b.mu.Lock()
	from := b.index.Next()
	b.mu.Unlock()
	page, err := b.options.Log.Read(ctx, track.StreamClaims, from, b.options.Settings.PageLimit)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.count("claims_read_failures_total")
		if b.failingSince.IsZero() {
			b.failingSince = b.options.Clock.Now()
		}
		return false
	}
	b.failingSince = time.Time{}
	b.index.Apply(page, b.options.Clock.Now())
	if len(page.Records) == 0 {
		return false
	}
	b.readAt = b.options.Clock.Now()
	close(b.moved)
	b.moved = make(chan struct{})
	return b.index.Next() < page.Next
}

// patience returns the time for which a caller waits for an append. While the
// log is away, a caller is told so soon.
func (b *Book) patience() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.options.Settings
	if !b.failingSince.IsZero() && b.options.Clock.Since(b.failingSince) >= s.AwayAfter {
		return s.AwayTimeout
	}
	return s.ClaimTimeout
}

// readBack waits until the record at the offset has been read.
func (b *Book) readBack(ctx context.Context, offset uint64) error {
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	for {
		b.mu.Lock()
		next, moved := b.index.Next(), b.moved
		b.mu.Unlock()
		if next > offset {
			return nil
		}
		select {
		case b.kick <- struct{}{}:
		default:
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return track.Fail("read back", Unavailable, context.Cause(ctx))
		}
	}
}

// mark appends a mark whenever the stream has been quiet.
func (b *Book) mark(ctx context.Context) error {
	interval := b.options.Settings.MarkInterval
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.options.Clock.After(interval):
		}
		b.mu.Lock()
		quiet := b.options.Clock.Since(b.readAt)
		b.mu.Unlock()
		if quiet < interval {
			continue
		}
		if _, err := b.add(ctx, Record{Kind: KindMark}); err != nil {
			b.options.Logger.Debug("mark not appended", zap.Error(err))
		}
	}
}

func (b *Book) count(name string) {
	b.options.Metrics.GetOrCreateCounter(name).Inc()
}
