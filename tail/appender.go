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

// The defaults of an Appender.
const (
	// DefaultBudget is the rate of appends a second for the whole deployment.
	DefaultBudget = 200
	// DefaultAppendTimeout bounds one append.
	DefaultAppendTimeout = 5 * time.Second
	// DefaultMaxBatch bounds the records of one append.
	DefaultMaxBatch = 512
	// DefaultMaxBatchBytes bounds the bytes of one append of several records.
	DefaultMaxBatchBytes = 1 << 20
	// appendBurst is the number of appends that an idle instance may make at once.
	appendBurst = 1
	// waitingAppends is the number of records that may wait.
	waitingAppends = 4096
)

// AppenderOptions holds the settings and dependencies of an Appender.
type AppenderOptions struct {
	Log     track.Log
	Stream  string
	Clock   clockwork.Clock
	Metrics *metrics.Set
	// Budget is the rate of appends a second for the whole deployment.
	Budget float64
	// Appenders returns the number of instances that share the budget.
	Appenders func() int
	Timeout   time.Duration
	MaxBatch  int
}

// Appender appends records to a stream. Records that wait at the same time go
// into one append; the rate of appends is the instance's share of the budget.
type Appender struct {
	o       AppenderOptions
	limiter *rate.Limiter
	queue   *ring.Ring[request]
	// held is a request that did not fit into the batch before.
	held    *request
	appends *metrics.Counter
	records *metrics.Counter
	failed  *metrics.Counter
}

type request struct {
	ctx    context.Context
	data   []byte
	result chan result
}

type result struct {
	offset uint64
	err    error
}

// NewAppender returns an appender; Run makes it work.
func NewAppender(o AppenderOptions) *Appender {
	o.Budget = orDefault(o.Budget, DefaultBudget)
	o.Timeout = orDefault(o.Timeout, DefaultAppendTimeout)
	o.MaxBatch = orDefault(o.MaxBatch, DefaultMaxBatch)
	counter := func(name string) *metrics.Counter {
		return o.Metrics.GetOrCreateCounter(name + `{stream="` + o.Stream + `"}`)
	}
	return &Appender{
		o: o, queue: ring.New[request](waitingAppends),
		limiter: rate.NewLimiter(rate.Limit(o.Budget), appendBurst),
		appends: counter("filberttrack_log_appends_total"),
		records: counter("filberttrack_log_appended_records_total"),
		failed:  counter("filberttrack_log_append_failures_total"),
	}
}

// Append adds a record to the stream and returns its offset. It never repeats
// an append: an error of kind Ambiguous means that the record may have been
// added, any other kind that it was not.
func (a *Appender) Append(ctx context.Context, data []byte) (uint64, error) {
	req := request{ctx: ctx, data: data, result: make(chan result, 1)}
	if !a.queue.Offer(req) {
		return 0, track.Fail("append to "+a.o.Stream, Full, errors.New("too many appends wait"))
	}
	select {
	case r := <-req.result:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, track.Fail("append to "+a.o.Stream, Ambiguous, context.Cause(ctx))
	}
}

// Run appends what is asked for until the context ends. It is run as a duty.
func (a *Appender) Run(ctx context.Context) error {
	for {
		first, err := a.first(ctx)
		if err != nil {
			return err
		}
		if err := a.admit(ctx); err != nil {
			return err
		}
		a.append(ctx, a.gather(first))
	}
}

func (a *Appender) first(ctx context.Context) (request, error) {
	if a.held != nil {
		req := *a.held
		a.held = nil
		return req, nil
	}
	select {
	case req := <-a.queue.Items():
		return req, nil
	case <-ctx.Done():
		return request{}, context.Cause(ctx)
	}
}

// admit waits until the rate allows an append. Meanwhile further records gather
// in the queue.
func (a *Appender) admit(ctx context.Context) error {
	now := a.o.Clock.Now()
	a.limiter.SetLimitAt(now, rate.Limit(a.o.Budget/float64(max(1, a.o.Appenders()))))
	delay := a.limiter.ReserveN(now, 1).DelayFrom(now)
	if delay <= 0 {
		return nil
	}
	select {
	case <-a.o.Clock.After(delay):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// gather returns the requests of one append. Requests whose caller has gone are
// left out, so that they are certainly not appended.
func (a *Appender) gather(first request) []request {
	var batch []request
	size := 0
	for req, ok := first, true; ok; req, ok = a.poll() {
		if req.ctx.Err() != nil {
			continue
		}
		if len(batch) > 0 && size+len(req.data) > DefaultMaxBatchBytes {
			a.held = &req
			break
		}
		batch = append(batch, req)
		size += len(req.data)
		if len(batch) == a.o.MaxBatch {
			break
		}
	}
	return batch
}

func (a *Appender) poll() (request, bool) {
	select {
	case req := <-a.queue.Items():
		return req, true
	default:
		return request{}, false
	}
}

func (a *Appender) append(ctx context.Context, batch []request) {
	if len(batch) == 0 {
		return
	}
	data := make([][]byte, len(batch))
	for i, req := range batch {
		data[i] = req.data
	}
	ctx, cancel := clockwork.WithTimeout(ctx, a.o.Clock, a.o.Timeout)
	defer cancel()
	a.appends.Inc()
	a.records.Add(len(batch))
	offset, err := a.o.Log.Append(ctx, a.o.Stream, data)
	if err != nil {
		a.failed.Inc()
		err = track.Fail("append to "+a.o.Stream, kindOf(err), err)
	}
	for i, req := range batch {
		r := result{err: err}
		if err == nil {
			r.offset = offset + uint64(i)
		}
		req.result <- r
	}
}

// kindOf treats all failures as ambiguous but those that say otherwise.
func kindOf(err error) Kind {
	if track.IsKind(err, track.Unavailable) || track.IsKind(err, track.Invalid) || track.IsKind(err, track.Refused) {
		return Unavailable
	}
	return Ambiguous
}
