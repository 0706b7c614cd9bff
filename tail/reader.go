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

// DecodeFunc decodes the data of a record.
type DecodeFunc[T any] func(data []byte) (T, error)

// Record is a decoded record.
type Record[T any] struct {
	Offset uint64
	// Time is when the log accepted the record, by the log's clock.
	Time  time.Time
	Value T
	// Err is set if the record could not be decoded. Value is then not valid.
	Err error
}

// Batch holds the records that one read of the stream returned.
type Batch[T any] struct {
	// From is the first offset that was requested.
	From    uint64
	Records []Record[T]
	// Oldest is the lowest offset that the log still keeps.
	Oldest uint64
	// Next is the offset after the last record.
	Next uint64
	// End is the offset after the last record of the stream.
	End uint64
	// RequestedAt is when the read was sent. If CaughtUp reports true, the stream had no
	// newer records at that time.
	RequestedAt time.Time
}

// Gap reports whether the log deleted records between From and Oldest before they
// were read.
func (b Batch[T]) Gap() bool {
	return b.From < b.Oldest
}

// CaughtUp reports whether the batch reaches the end of the stream. If End lies
// before From, the log's answer is out of date, and CaughtUp reports false.
func (b Batch[T]) CaughtUp() bool {
	return b.Next == b.End
}

// Handler processes the records of a stream. Its methods are called from a single
// goroutine.
type Handler[T any] interface {
	// NextOffset returns the offset from which to read next.
	NextOffset() uint64
	// HandleBatch processes the result of a successful read.
	HandleBatch(b Batch[T])
	// HandleError is called after a failed read.
	HandleError(err error)
}

// ReaderOptions holds the settings and dependencies of a Reader.
type ReaderOptions[T any] struct {
	Log track.Log
	// Stream is the name of the stream to read.
	Stream  string
	Decode  DecodeFunc[T]
	Handler Handler[T]
	Clock   clockwork.Clock
	// Rand is the source of the jitter. Only the reader's goroutine uses it.
	Rand    *rand.Rand
	Logger  *zap.Logger
	Metrics *metrics.Set
	// PollInterval is the longest wait between reads at the end of the stream and
	// after failures; DefaultPollInterval if it is not positive. At the end of the
	// stream the shortest wait is half of it.
	PollInterval time.Duration
	// ReadTimeout is the time limit of one read; DefaultReadTimeout if it is not
	// positive.
	ReadTimeout time.Duration
	// PageSize is the maximum number of records in one read; DefaultPageSize if it
	// is not positive.
	PageSize int
}

// The default settings of a Reader.
const (
	DefaultPollInterval = 2 * time.Second
	DefaultReadTimeout  = 2 * time.Second
	DefaultPageSize     = 256
)

// firstBackoff is the shortest wait after the first failure; with jitter the wait
// is up to twice as long. It doubles with each further failure in a row, up to the
// poll interval.
const firstBackoff = 125 * time.Millisecond

// Reader follows a stream of the log and passes its records to a Handler.
type Reader[T any] struct {
	options ReaderOptions[T]
	wake    chan struct{}
	// consecutiveFailures is the number of reads that failed since the last success.
	consecutiveFailures int
	reads               *metrics.Counter
	failedReads         *metrics.Counter
	corruptRecords      *metrics.Counter
	readBytes           *metrics.Counter
}

// NewReader returns a Reader. It reads nothing until Run or Poll is called.
func NewReader[T any](options ReaderOptions[T]) *Reader[T] {
	options.PollInterval = orDefault(options.PollInterval, DefaultPollInterval)
	options.ReadTimeout = orDefault(options.ReadTimeout, DefaultReadTimeout)
	options.PageSize = orDefault(options.PageSize, DefaultPageSize)
	counter := func(name string) *metrics.Counter {
		return options.Metrics.GetOrCreateCounter(name + `{stream="` + options.Stream + `"}`)
	}
	return &Reader[T]{
		options: options, wake: make(chan struct{}, 1),
		reads:          counter("filberttrack_log_reads_total"),
		failedReads:    counter("filberttrack_log_read_failures_total"),
		corruptRecords: counter("filberttrack_log_corrupt_records_total"),
		readBytes:      counter("filberttrack_log_read_bytes_total"),
	}
}

// orDefault returns value if it is positive, and fallback otherwise.
func orDefault[N ~int | ~int64 | ~float64](value, fallback N) N {
	if value > 0 {
		return value
	}
	return fallback
}

// ReadNow makes Run read at once instead of at the next poll.
func (r *Reader[T]) ReadNow() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run follows the stream until the context ends, and returns the cause of that.
func (r *Reader[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.Poll(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-r.options.Clock.After(r.nextWait()):
		}
	}
	return context.Cause(ctx)
}

// Poll reads once and reports whether the stream holds more records that can be
// read right away. Run calls it; it is not safe for concurrent use.
func (r *Reader[T]) Poll(ctx context.Context) (more bool) {
	requestedAt := r.options.Clock.Now()
	from := r.options.Handler.NextOffset()
	page, err := r.readPage(ctx, from)
	r.reads.Inc()
	if err != nil {
		r.handleFailure(ctx, err)
		return false
	}
	r.consecutiveFailures = 0
	batch := r.decodePage(page, from)
	batch.RequestedAt = requestedAt
	if batch.Gap() {
		r.options.Logger.Warn("log records expired before they were read", zap.String("Stream", r.options.Stream),
			zap.Uint64("From", from), zap.Uint64("Oldest", batch.Oldest))
	}
	r.options.Handler.HandleBatch(batch)
	return r.options.Handler.NextOffset() != from && r.options.Handler.NextOffset() < page.Next
}

func (r *Reader[T]) readPage(ctx context.Context, from uint64) (track.Page, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.options.Clock, r.options.ReadTimeout)
	defer cancel()
	return r.options.Log.Read(ctx, r.options.Stream, from, r.options.PageSize)
}

// handleFailure reports a failed read to the handler. It logs only the first of
// several failures in a row, and ignores failures after the context ended.
func (r *Reader[T]) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if r.consecutiveFailures == 0 {
		r.options.Logger.Warn("reading the log failed", zap.String("Stream", r.options.Stream), zap.Error(err))
	}
	r.consecutiveFailures++
	r.failedReads.Inc()
	r.options.Handler.HandleError(err)
}

// decodePage decodes the records of the page from the given offset on. A record that
// can't be decoded is logged, and the records after it are still decoded.
func (r *Reader[T]) decodePage(page track.Page, from uint64) Batch[T] {
	batch := Batch[T]{From: from, Oldest: page.Oldest, Next: max(from, min(page.Oldest, page.Next)), End: page.Next}
	for _, record := range page.Records {
		if record.Offset < batch.Next {
			continue
		}
		batch.Next = record.Offset + 1
		r.readBytes.Add(len(record.Data))
		entry := Record[T]{Offset: record.Offset, Time: record.Time}
		entry.Value, entry.Err = r.options.Decode(record.Data)
		if entry.Err != nil {
			r.corruptRecords.Inc()
			r.options.Logger.Error("log record can't be decoded", zap.String("Stream", r.options.Stream),
				zap.Uint64("Offset", record.Offset), zap.Int("Bytes", len(record.Data)), zap.Error(entry.Err))
		}
		batch.Records = append(batch.Records, entry)
	}
	return batch
}

// nextWait returns the time until the next read: between half and all of the poll
// interval, or less after the first few failures.
func (r *Reader[T]) nextWait() time.Duration {
	longest := r.options.PollInterval
	if r.consecutiveFailures > 0 {
		longest = Backoff(r.consecutiveFailures, 2*firstBackoff, longest)
	}
	return Jitter(r.options.Rand, longest)
}

// Backoff returns the longest wait after the given number of failures in a row:
// initial, doubled with each further failure, up to limit.
func Backoff(failures int, initial, limit time.Duration) time.Duration {
	wait := initial
	for i := 1; i < failures && wait < limit; i++ {
		wait *= 2
	}
	return min(wait, limit)
}

// Jitter returns a random duration between half of longest and longest.
func Jitter(rng *rand.Rand, longest time.Duration) time.Duration {
	half := longest / 2
	if half <= 0 {
		return longest
	}
	return half + time.Duration(rng.Int64N(int64(half)+1))
}
