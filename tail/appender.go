package tail

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"filberttrack.example/track"
	"filberttrack.example/track/ring"
)

// The default settings of an Appender.
const (
	// DefaultAppendsPerSecond is the rate limit on appends for the whole deployment.
	DefaultAppendsPerSecond = 200
	// DefaultAppendTimeout is the time limit of one append.
	DefaultAppendTimeout = 5 * time.Second
	// DefaultMaxBatchRecords is the maximum number of records in one append.
	DefaultMaxBatchRecords = 512
	// MaxBatchBytes is the maximum size of a batch of several records. A single
	// record may be larger.
	MaxBatchBytes = 1 << 20
	// appendBurst is the number of appends that an idle instance may make at once.
	appendBurst = 1
	// queueCapacity is the maximum number of records that wait to be appended.
	queueCapacity = 4096
)

// AppenderOptions holds the settings and dependencies of an Appender.
type AppenderOptions struct {
	Log track.Log
	// Stream is the name of the stream to append to.
	Stream  string
	Clock   clockwork.Clock
	Metrics *metrics.Set
	// AppendsPerSecond is the rate limit for the whole deployment, in appends per second;
	// DefaultAppendsPerSecond if it is not positive.
	AppendsPerSecond float64
	// InstanceCount returns the number of instances that share the rate limit.
	InstanceCount func() int
	// Timeout is the time limit of one append; DefaultAppendTimeout if it is not
	// positive.
	Timeout time.Duration
	// MaxBatch is the maximum number of records in one append;
	// DefaultMaxBatchRecords if it is not positive.
	MaxBatch int
}

// Appender appends records to a stream. Records that wait at the same time are
// appended as one batch. The deployment's rate limit is divided evenly among the
// instances that append. Append is safe for concurrent use.
type Appender struct {
	options AppenderOptions
	limiter *rate.Limiter
	queue   *ring.Ring[appendRequest]
	// deferred is a request that did not fit into the previous batch.
	deferred *appendRequest
	appends  *metrics.Counter
	records  *metrics.Counter
	failures *metrics.Counter
}

type appendRequest struct {
	ctx    context.Context
	data   []byte
	result chan appendResult
}

type appendResult struct {
	offset uint64
	err    error
}

// NewAppender returns an Appender. It appends nothing until Run is called.
func NewAppender(options AppenderOptions) *Appender {
	options.AppendsPerSecond = orDefault(options.AppendsPerSecond, DefaultAppendsPerSecond)
	options.Timeout = orDefault(options.Timeout, DefaultAppendTimeout)
	options.MaxBatch = orDefault(options.MaxBatch, DefaultMaxBatchRecords)
	counter := func(name string) *metrics.Counter {
		return options.Metrics.GetOrCreateCounter(name + `{stream="` + options.Stream + `"}`)
	}
	return &Appender{
		options: options, queue: ring.New[appendRequest](queueCapacity),
		limiter:  rate.NewLimiter(rate.Limit(options.AppendsPerSecond), appendBurst),
		appends:  counter("filberttrack_log_appends_total"),
		records:  counter("filberttrack_log_appended_records_total"),
		failures: counter("filberttrack_log_append_failures_total"),
	}
}

// Append adds a record to the stream and returns its offset. It never retries a
// failed append. Errors are of type *Error: Ambiguous means that the record may
// have been added, any other kind that it was not.
func (a *Appender) Append(ctx context.Context, data []byte) (uint64, error) {
	req := appendRequest{ctx: ctx, data: data, result: make(chan appendResult, 1)}
	if !a.queue.Offer(req) {
		return 0, track.Fail("append to "+a.options.Stream, QueueFull, errors.New("the queue of waiting records is full"))
	}
	select {
	case r := <-req.result:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, track.Fail("append to "+a.options.Stream, Ambiguous, context.Cause(ctx))
	}
}

// Run appends the queued records until the context ends, and returns the cause of
// that.
func (a *Appender) Run(ctx context.Context) error {
	for {
		first, err := a.nextRequest(ctx)
		if err != nil {
			return err
		}
		if err := a.waitForRateLimit(ctx); err != nil {
			return err
		}
		a.appendBatch(ctx, a.collectBatch(first))
	}
}

func (a *Appender) nextRequest(ctx context.Context) (appendRequest, error) {
	if a.deferred != nil {
		req := *a.deferred
		a.deferred = nil
		return req, nil
	}
	select {
	case req := <-a.queue.Items():
		return req, nil
	case <-ctx.Done():
		return appendRequest{}, context.Cause(ctx)
	}
}

// waitForRateLimit waits until the rate limit allows an append. Meanwhile further
// records collect in the queue.
func (a *Appender) waitForRateLimit(ctx context.Context) error {
	now := a.options.Clock.Now()
	a.limiter.SetLimitAt(now, rate.Limit(a.options.AppendsPerSecond/float64(max(1, a.options.InstanceCount()))))
	delay := a.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	select {
	case <-a.options.Clock.After(delay):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// collectBatch returns the requests of one append. It leaves out requests whose
// context has ended, so that an abandoned record is not appended later.
func (a *Appender) collectBatch(first appendRequest) []appendRequest {
	var batch []appendRequest
	size := 0
	for req, ok := first, true; ok; req, ok = a.tryDequeue() {
		if req.ctx.Err() != nil {
			continue
		}
		if len(batch) > 0 && size+len(req.data) > MaxBatchBytes {
			a.deferred = &req
			break
		}
		batch = append(batch, req)
		size += len(req.data)
		if len(batch) == a.options.MaxBatch {
			break
		}
	}
	return batch
}

func (a *Appender) tryDequeue() (appendRequest, bool) {
	select {
	case req := <-a.queue.Items():
		return req, true
	default:
		return appendRequest{}, false
	}
}

func (a *Appender) appendBatch(ctx context.Context, batch []appendRequest) {
	if len(batch) == 0 {
		return
	}
	data := make([][]byte, len(batch))
	for i, req := range batch {
		data[i] = req.data
	}
	ctx, cancel := clockwork.WithTimeout(ctx, a.options.Clock, a.options.Timeout)
	defer cancel()
	a.appends.Inc()
	a.records.Add(len(batch))
	offset, err := a.options.Log.Append(ctx, a.options.Stream, data)
	if err != nil {
		a.failures.Inc()
		err = track.Fail("append to "+a.options.Stream, failureKind(err), err)
	}
	for i, req := range batch {
		r := appendResult{err: err}
		if err == nil {
			r.offset = offset + uint64(i)
		}
		req.result <- r
	}
}

// failureKind classifies a failed append. The record may have been appended unless
// the error says that the log did not take it.
func failureKind(err error) Kind {
	if track.IsKind(err, track.Unavailable) || track.IsKind(err, track.Invalid) || track.IsKind(err, track.Refused) {
		return Unavailable
	}
	return Ambiguous
}
