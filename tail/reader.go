package tail

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

// Decode decodes the data of a record.
type Decode[T any] func(data []byte) (T, error)

// Entry is a decoded record.
type Entry[T any] struct {
	Offset uint64
	// Time is the time at which the log took the record, by the log's clock.
	Time  time.Time
	Value T
	// Err is set if the record could not be decoded; Value is then unset.
	Err error
}

// Batch is what one read of the stream brought.
type Batch[T any] struct {
	// From is the offset that was asked for.
	From    uint64
	Entries []Entry[T]
	// Oldest is the lowest offset that the log still keeps.
	Oldest uint64
	// Next is the offset after the last entry.
	Next uint64
	// End is the offset after the last record of the stream.
	End uint64
	// Asked is the time at which the read was sent. If the batch is CaughtUp,
	// nothing newer existed at that time.
	Asked time.Time
}

// Gap reports whether records between From and Oldest have expired unread.
func (b Batch[T]) Gap() bool {
	return b.From < b.Oldest
}

// CaughtUp reports whether the batch reaches the end of the stream. A log that
// answers with an end before From lags, and proves nothing.
func (b Batch[T]) CaughtUp() bool {
	return b.Next == b.End
}

// Follower receives the records of a stream. Its methods are called by one
// goroutine.
type Follower[T any] interface {
	// Position returns the offset to read from next.
	Position() uint64
	// Handle takes the result of a read.
	Handle(b Batch[T])
	// Failed is told that a read failed.
	Failed(err error)
}

// ReaderOptions holds the settings and dependencies of a Reader.
type ReaderOptions[T any] struct {
	Log      track.Log
	Stream   string
	Decode   Decode[T]
	Follower Follower[T]
	Clock    clockwork.Clock
	// Rand draws the jitter. Only the reader's goroutine uses it.
	Rand    *rand.Rand
	Logger  *zap.Logger
	Metrics *metrics.Set
	// PollInterval is the longest wait between reads at the end of the stream
	// and after a failure; the shortest is half of it.
	PollInterval time.Duration
	// ReadTimeout bounds one read.
	ReadTimeout time.Duration
	// PageSize bounds the records of one read.
	PageSize int
}

// The defaults of a Reader.
const (
	DefaultPollInterval = 2 * time.Second
	DefaultReadTimeout  = 2 * time.Second
	DefaultPageSize     = 256
)

// firstBackoff is the mean wait after the first failure. It doubles with each
// further one, up to the poll interval.
const firstBackoff = 125 * time.Millisecond

// Reader follows a stream of the log.
type Reader[T any] struct {
	o        ReaderOptions[T]
	wake     chan struct{}
	failures int
	reads    *metrics.Counter
	failed   *metrics.Counter
	corrupt  *metrics.Counter
	bytes    *metrics.Counter
}

// NewReader returns a reader; Run makes it follow the stream.
func NewReader[T any](o ReaderOptions[T]) *Reader[T] {
	o.PollInterval = orDefault(o.PollInterval, DefaultPollInterval)
	o.ReadTimeout = orDefault(o.ReadTimeout, DefaultReadTimeout)
	o.PageSize = orDefault(o.PageSize, DefaultPageSize)
	counter := func(name string) *metrics.Counter {
		return o.Metrics.GetOrCreateCounter(name + `{stream="` + o.Stream + `"}`)
	}
	return &Reader[T]{
		o: o, wake: make(chan struct{}, 1),
		reads:   counter("filberttrack_log_reads_total"),
		failed:  counter("filberttrack_log_read_failures_total"),
		corrupt: counter("filberttrack_log_corrupt_records_total"),
		bytes:   counter("filberttrack_log_read_bytes_total"),
	}
}

func orDefault[N ~int | ~int64 | ~float64](value, standard N) N {
	if value > 0 {
		return value
	}
	return standard
}

// Wake makes the reader read at once rather than at the next poll.
func (r *Reader[T]) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run follows the stream until the context ends. It is run as a duty.
func (r *Reader[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.Poll(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-r.o.Clock.After(r.wait()):
		}
	}
	return context.Cause(ctx)
}

// Poll reads once and reports whether the stream holds more. Run calls it; it is
// not safe for concurrent use.
func (r *Reader[T]) Poll(ctx context.Context) (more bool) {
	asked := r.o.Clock.Now()
	from := r.o.Follower.Position()
	page, err := r.read(ctx, from)
	r.reads.Inc()
	if err != nil {
		r.fail(ctx, err)
		return false
	}
	r.failures = 0
	batch := r.decode(page, from)
	batch.Asked = asked
	if batch.Gap() {
		r.o.Logger.Warn("records expired unread", zap.String("Stream", r.o.Stream),
			zap.Uint64("From", from), zap.Uint64("Oldest", batch.Oldest))
	}
	r.o.Follower.Handle(batch)
	return r.o.Follower.Position() != from && r.o.Follower.Position() < page.Next
}

func (r *Reader[T]) read(ctx context.Context, from uint64) (track.Page, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.o.Clock, r.o.ReadTimeout)
	defer cancel()
	return r.o.Log.Read(ctx, r.o.Stream, from, r.o.PageSize)
}

func (r *Reader[T]) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if r.failures == 0 {
		r.o.Logger.Warn("reading the log failed", zap.String("Stream", r.o.Stream), zap.Error(err))
	}
	r.failures++
	r.failed.Inc()
	r.o.Follower.Failed(err)
}

// decode decodes the records from the given offset on. A record that can't be
// decoded is logged and doesn't hold up those after it.
func (r *Reader[T]) decode(page track.Page, from uint64) Batch[T] {
	b := Batch[T]{From: from, Oldest: page.Oldest, Next: max(from, min(page.Oldest, page.Next)), End: page.Next}
	for _, record := range page.Records {
		if record.Offset < b.Next {
			continue
		}
		b.Next = record.Offset + 1
		r.bytes.Add(len(record.Data))
		entry := Entry[T]{Offset: record.Offset, Time: record.Time}
		entry.Value, entry.Err = r.o.Decode(record.Data)
		if entry.Err != nil {
			r.corrupt.Inc()
			r.o.Logger.Error("record refused", zap.String("Stream", r.o.Stream),
				zap.Uint64("Offset", record.Offset), zap.Int("Bytes", len(record.Data)), zap.Error(entry.Err))
		}
		b.Entries = append(b.Entries, entry)
	}
	return b
}

// wait returns the time until the next read: half to all of the poll interval,
// or less after the first failures.
func (r *Reader[T]) wait() time.Duration {
	longest := r.o.PollInterval
	if r.failures > 0 {
		longest = Backoff(r.failures, 2*firstBackoff, longest)
	}
	return Jitter(r.o.Rand, longest)
}

// Backoff returns the longest wait after the given number of failures in a row:
// first, doubled with each further failure, up to most.
func Backoff(failures int, first, most time.Duration) time.Duration {
	wait := first
	for i := 1; i < failures && wait < most; i++ {
		wait *= 2
	}
	return min(wait, most)
}

// Jitter returns a random duration between half of longest and longest.
func Jitter(rng *rand.Rand, longest time.Duration) time.Duration {
	half := longest / 2
	if half <= 0 {
		return longest
	}
	return half + time.Duration(rng.Int64N(int64(half)+1))
}
