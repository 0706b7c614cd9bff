// Package entry implements the daemon behind the platform's balancer. It takes
// callers' requests, runs the steps of its plan on them, and answers.
package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/admit"
	"filberttrack.example/track/claims"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/drain"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/entry/parse"
	"filberttrack.example/track/entry/relay"
	"filberttrack.example/track/frames"
	"filberttrack.example/track/limit"
	"filberttrack.example/track/retry"
)

// Options holds what an entry is made of.
type Options struct {
	Instance  track.Instance
	Directory track.Directory
	Router    track.Router
	Dialer    track.AgentDialer
	Clock     clockwork.Clock
	Logger    *zap.Logger
	Metrics   *metrics.Set
	// NewID returns a request ID that no other instance returns.
	NewID func() track.RequestID
	// Parse and Relay bound what callers send and receive.
	Parse parse.Limits
	Relay relay.Limits
	// Claims runs calls that must not be repeated.
	Claims *claims.Book
	// Drops counts frames out of sequence.
	Drops *frames.Drops
	// Limiter holds accounts to their limits, Admission admits requests to the Capacity,
	// Retries bounds retries, and Crashes keeps crashing requests apart.
	Limiter   *limit.Limiter
	Admission *admit.Controllers
	Capacity  admit.Capacity
	Retries   *retry.Retrier
	Crashes   *crash.Tracker
	// LogDecisions turns on a log line for each routing decision.
	LogDecisions bool
}

// Entry serves the callers' interface. It implements http.Handler.
type Entry struct {
	options  Options
	mux      *http.ServeMux
	stopping atomic.Bool
	open     drain.Requests
}

// New returns an entry.
func New(options Options) *Entry {
	e := &Entry{options: options, mux: http.NewServeMux()}
	e.mux.Handle("/v1/chat/completions", e.handle(chatPlan(options), writeModelError, http.MethodPost))
	e.mux.Handle("/v1/models", e.handle(modelsPlan(options), writeModelError, http.MethodGet))
	e.mux.Handle("/v1/models/{model}", e.handle(modelsPlan(options), writeModelError, http.MethodGet))
	e.mux.Handle("/services/{service}/{path...}", e.handle(servicePlan(options), writeServiceError))
	e.mux.Handle("/", e.handle(notFoundPlan(), writeServiceError))
	return e
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// Stop makes the entry refuse new requests. Open requests go on.
func (e *Entry) Stop() {
	e.stopping.Store(true)
}

// Stopping reports whether Stop was called.
func (e *Entry) Stopping() bool {
	return e.stopping.Load()
}

// Open returns the number of requests in progress.
func (e *Entry) Open() int {
	return e.open.Len()
}

// OpenRequests returns the requests in progress, sorted.
func (e *Entry) OpenRequests() []track.RequestID {
	return e.open.Open()
}

// handle returns the handler that runs a plan. It takes the given methods only,
// or any if none is given.
func (e *Entry) handle(plan []flow.Step, writeError errorWriter, methods ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &flow.Exchange{Writer: w, Request: r}
		x.Call.ID = e.options.NewID()
		defer e.open.Begin(x.Call.ID)()
		defer x.End()
		x.Call.Arrived = e.options.Clock.Now()
		w.Header().Set(flow.HeaderRequestID, string(x.Call.ID))
		err := e.run(r.Context(), plan, x, methods)
		e.finish(x, err, writeError)
	})
}

func (e *Entry) run(ctx context.Context, plan []flow.Step, x *flow.Exchange, methods []string) error {
	if e.stopping.Load() {
		return &flow.RefusalError{
			Status:     http.StatusServiceUnavailable,
			Code:       "stopping",
			Message:    "this instance is stopping; send the request again",
			Outcome:    track.NotRun,
			RetryAfter: time.Second,
		}
	}
	err := checkMethod(x.Request, methods)
	if err != nil {
		return err
	}
	for _, step := range plan {
		err = step.Run(ctx, x)
		if err == nil {
			continue
		}
		if track.IsSkip(err) {
			e.options.Logger.Debug("step skipped",
				zap.String("RequestID", string(x.Call.ID)),
				zap.Stringer("Step", step),
				zap.Error(err))
			continue
		}
		e.options.Logger.Debug("step refused",
			zap.String("RequestID", string(x.Call.ID)),
			zap.Stringer("Step", step),
			zap.Error(err))
		return err
	}
	return nil
}

// finish writes the answer to a refused request and counts the outcome.
func (e *Entry) finish(x *flow.Exchange, err error, writeError errorWriter) {
	outcome := x.Writer.Header().Get(flow.HeaderOutcome)
	if err != nil {
		refusal := refusalOf(err)
		if refusal.Outcome == track.NotRun && transient(refusal.Status) && x.MayHaveRun() {
			// The caller takes NotRun for the work, not for this request alone.
			refusal.Outcome = track.Unknown
		}
		outcome = refusal.Outcome.String()
		writeError(x.Writer, refusal)
	}
	e.options.Metrics.GetOrCreateCounter(`filberttrack_requests_total{outcome="` + outcome + `"}`).Inc()
	e.options.Metrics.GetOrCreateHistogram(`filberttrack_request_seconds`).
		Update(e.options.Clock.Since(x.Call.Arrived).Seconds())
}

// transient reports whether a request refused with the status may have been
// taken at another time.
func transient(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// refusalOf returns the refusal that the error is, or stands for.
func refusalOf(err error) *flow.RefusalError {
	var refusal *flow.RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return &flow.RefusalError{
		Status:  http.StatusInternalServerError,
		Code:    "internal",
		Message: err.Error(),
		Outcome: track.Unknown,
	}
}
