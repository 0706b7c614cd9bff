// Package entry implements the HTTP server behind the platform's load balancer.
// It passes each caller's request through a sequence of steps, most often ending
// with one that sends it to a backend server and relays the response.
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
	"filberttrack.example/track/parts"
	"filberttrack.example/track/retry"
)

// Options holds the dependencies and settings of an Entry.
type Options struct {
	Instance  track.Instance
	Directory track.Directory
	Router    track.Router
	Dialer    track.AgentDialer
	Clock     clockwork.Clock
	Logger    *zap.Logger
	Metrics   *metrics.Set
	// NewID returns a request ID that is unique among all instances.
	NewID func() track.RequestID
	// RequestLimits limits requests, and ResponseLimits limits responses.
	RequestLimits  parse.Limits
	ResponseLimits relay.Limits
	// Claims runs non-idempotent calls at most once.
	Claims *claims.Executor
	// FrameDrops counts the frames that were dropped as out of sequence.
	FrameDrops *frames.DropCounters
	// Limiter enforces the rate limits of client accounts.
	Limiter *limit.Limiter
	// Admission queues requests until the target has a free slot.
	Admission *admit.Controllers
	// Capacity returns the slots and replicas of a target.
	Capacity admit.Capacity
	// Retries decides on retries and hedges.
	Retries *retry.Retrier
	// Crashes quarantines requests that crash backend servers.
	Crashes *crash.Tracker
	// Parts bars requests with parts that crash backend servers.
	Parts *parts.Tracker
	// LogDecisions turns on a log line for each routing decision.
	LogDecisions bool
}

// Entry is the HTTP handler for callers' requests.
type Entry struct {
	options      Options
	mux          *http.ServeMux
	stopping     atomic.Bool
	openRequests drain.Requests
}

// New returns an Entry that accepts requests.
func New(options Options) *Entry {
	e := &Entry{options: options, mux: http.NewServeMux()}
	e.mux.Handle("/v1/chat/completions", e.handle(chatSteps(options), writeModelError, http.MethodPost))
	e.mux.Handle("/v1/models", e.handle(modelSteps(options), writeModelError, http.MethodGet))
	e.mux.Handle("/v1/models/{model}", e.handle(modelSteps(options), writeModelError, http.MethodGet))
	e.mux.Handle("/services/{service}/{path...}", e.handle(serviceSteps(options), writeServiceError))
	e.mux.Handle("/", e.handle(notFoundSteps(), writeServiceError))
	return e
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// StopAccepting makes the entry refuse new requests. Requests in progress continue.
func (e *Entry) StopAccepting() {
	e.stopping.Store(true)
}

// Stopping reports whether StopAccepting was called.
func (e *Entry) Stopping() bool {
	return e.stopping.Load()
}

// OpenCount returns the number of requests in progress.
func (e *Entry) OpenCount() int {
	return e.openRequests.Len()
}

// OpenRequests returns the IDs of the requests in progress, sorted.
func (e *Entry) OpenRequests() []track.RequestID {
	return e.openRequests.Open()
}

// handle returns a handler that runs the steps and writes refusals with
// writeError. It accepts only the given methods, or any method if none is
// given.
func (e *Entry) handle(steps []flow.Step, writeError errorWriter, methods ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &flow.Exchange{Writer: w, Request: r}
		x.Call.ID = e.options.NewID()
		defer e.openRequests.Begin(x.Call.ID)()
		defer x.End()
		x.Call.Arrived = e.options.Clock.Now()
		w.Header().Set(flow.HeaderRequestID, string(x.Call.ID))
		err := e.runSteps(r.Context(), steps, x, methods)
		e.finishExchange(x, err, writeError)
	})
}

// runSteps runs the steps in order, up to the first one that fails. A step that
// is skipped doesn't end the sequence.
func (e *Entry) runSteps(ctx context.Context, steps []flow.Step, x *flow.Exchange, methods []string) error {
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
	for _, step := range steps {
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

// finishExchange writes the error response of a refused request, and counts the
// outcome and the duration of any request.
func (e *Entry) finishExchange(x *flow.Exchange, err error, writeError errorWriter) {
	outcome := x.Writer.Header().Get(flow.HeaderOutcome)
	if err != nil {
		refusal := asRefusal(err)
		if refusal.Outcome == track.NotRun && isTransient(refusal.Status) && x.MayHaveRun() {
			// To the caller, NotRun means that the work under its idempotency key
			// never ran, not only that this request didn't.
			refusal.Outcome = track.Unknown
		}
		outcome = refusal.Outcome.String()
		writeError(x.Writer, refusal)
	}
	e.options.Metrics.GetOrCreateCounter(`filberttrack_requests_total{outcome="` + outcome + `"}`).Inc()
	e.options.Metrics.GetOrCreateHistogram(`filberttrack_request_seconds`).
		Update(e.options.Clock.Since(x.Call.Arrived).Seconds())
}

// isTransient reports whether the status stands for a temporary refusal, so
// that an earlier request with the same content may have been accepted.
func isTransient(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// asRefusal returns the RefusalError in the chain of err. Any other error
// becomes an internal server error with an unknown outcome.
func asRefusal(err error) *flow.RefusalError {
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
