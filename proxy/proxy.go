// Package proxy forwards requests on configured routes to replicas and relays
// their answers. It finds the route and the client account, queues the request
// until a replica has free capacity, sends it, and retries where the route
// allows that.
package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/hosts"
	"filberttrack.example/track/parts"
	"filberttrack.example/track/retry"
	"filberttrack.example/track/ticket"
)

// Request is a client's request as the HTTP listener decoded it.
type Request struct {
	ID     track.RequestID
	Host   string
	Method string
	// Target is the path and query as the client sent them, and Path the path alone.
	Target string
	Path   string
	// Header holds the client's end-to-end headers, except those that this struct has
	// fields for.
	Header http.Header
	Body   []byte
	// APIKey is the API key that identifies the client account; empty if the request has
	// none.
	APIKey string
	// TimeLeft is how long the client waits for the answer; 0 if it doesn't say.
	TimeLeft time.Duration
	// PromptTokens is the length of the prompt, MaxTokens the limit on the length of the
	// answer, and AnswerTokens the client's estimate of that length; 0 if unknown.
	PromptTokens int
	MaxTokens    int
	AnswerTokens int
	// PromptParts lists the IDs of the parts of the prompt that other requests may share, in
	// order.
	PromptParts []string
	// ResumeAfter is the ID of the last event that the client has; empty for a stream
	// from its start.
	ResumeAfter string
}

// Refusal is an error answer that the entry itself gives instead of a replica.
type Refusal struct {
	Status int
	// RetryAfter is set if the request has not run and the client may retry it after
	// that time.
	RetryAfter time.Duration
	// Reason is a fixed identifier of the cause, such as NoRoute.
	Reason string
}

// Errors after which the caller of Serve must not write an answer.
var (
	// ErrIncompleteAnswer means that part of an answer was written and the rest is not available.
	// The caller must abort the connection, so that the client notices.
	ErrIncompleteAnswer = errors.New("answer can't be completed")
)

// Services gives access to the admission pools and retry budgets of the services.
type Services interface {
	// Pool returns the admission pool of a service.
	Pool(service string) *batch.Pool
	// Budget returns the retry budget of a service.
	Budget(service string) *retry.ServiceBudget
}

// Options holds the settings and dependencies of a Proxy.
type Options struct {
	// RoutingTable returns the routing table of the current configuration, or nil before the
	// first one.
	RoutingTable func() *hosts.Table
	// ConfigConfirmed reports whether the table is known to be the newest. Nil means that it always
	// is.
	ConfigConfirmed func() bool
	Services        Services
	Caller          track.ReplicaCaller
	// Prober confirms the deaths of replicas.
	Prober track.ReplicaProber
	// CrashTracker detects requests that crash replicas, so that they aren't sent to further ones.
	CrashTracker *blame.Tracker
	// PartsTracker detects parts of prompts that crash replicas.
	PartsTracker *parts.Tracker
	// Tickets holds what is known of clients that were told to return; nil if the proxy keeps no tickets.
	Tickets *ticket.Book
	// WriteRefusal writes a refusal to the client.
	WriteRefusal func(w http.ResponseWriter, r Refusal)
	// MaxEventDelay is the longest time for which an event of a stream is delayed to even out
	// the pauses between events; 0 delays none.
	MaxEventDelay time.Duration
	// ZoneRegions holds the region of each availability zone, for routes and accounts with home regions.
	ZoneRegions map[track.AvailabilityZone]string
	// HedgeShare is the greatest number of hedges for each request of a service; 0 sends none.
	HedgeShare float64
	Clock      clockwork.Clock
	// Random returns random numbers that are uniform in [0, 1).
	Random  func() float64
	Logger  *zap.Logger
	Metrics *Metrics
}

// Proxy forwards clients' requests to replicas. It is safe for concurrent use.
type Proxy struct {
	options Options
	// stop is nil unless the entry stops.
	stop atomic.Pointer[Stop]
	// stopping ends as requests in progress do.
	stopping         context.Context
	cancelInProgress context.CancelFunc
	// hedges holds the shares of hedges; nil if hedging is off.
	hedges *hedgeShares
}

// New returns a Proxy.
func New(options Options) *Proxy {
	p := &Proxy{options: options, hedges: newHedgeShares(options.HedgeShare, options.Clock)}
	p.stopping, p.cancelInProgress = context.WithCancel(context.Background())
	return p
}

// Stop holds the times of a planned stop.
type Stop struct {
	// ReroutedAt is when the platform sends no more clients to this entry: those that are refused then
	// reach another one.
	ReroutedAt time.Time
	// EndAt is when requests that are still in progress are ended, so that their clients get an answer.
	EndAt time.Time
}

// Stop tells the proxy that the entry stops. Requests that may take longer than until EndAt are refused
// from then on, unless they have been sent to a replica before.
func (p *Proxy) Stop(s Stop) {
	p.stop.Store(&s)
	p.options.Clock.AfterFunc(s.EndAt.Sub(p.options.Clock.Now()), p.cancelInProgress)
}

// onStop registers a function that ends a request in progress at the stop. The result unregisters it.
func (p *Proxy) onStop(end func()) (unregister func() bool) {
	return context.AfterFunc(p.stopping, end)
}

// Serve answers one request. The context must end when the client disconnects. Serve
// returns ErrIncompleteAnswer if the caller must abort the connection.
func (p *Proxy) Serve(ctx context.Context, w http.ResponseWriter, request *Request) error {
	x := &exchange{proxy: p, w: w, clientCtx: ctx, request: request, arrived: p.options.Clock.Now()}
	refusal := x.runSteps(ctx)
	x.closePacedWriter()
	var err error
	switch {
	case refusal == nil:
	case x.committed:
		err = ErrIncompleteAnswer
	default:
		x.issueTicket(*refusal)
		p.options.WriteRefusal(w, *refusal)
	}
	x.logResult(refusal)
	p.options.Metrics.observe(x, refusal)
	return err
}

// steps lists the steps of a request in order. The names are written to the log.
var steps = []struct {
	name string
	run  func(*exchange, context.Context) *Refusal
}{
	{"find route", (*exchange).findRoute},
	{"identify client account", (*exchange).identifyAccount},
	{"choose service", (*exchange).chooseService},
	{"recognize", (*exchange).recognize},
	{"check stop", (*exchange).checkStop},
	{"screen", (*exchange).checkBarred},
	{"send", (*exchange).sendWithRetries},
}

// runSteps runs the steps until one refuses the request.
func (x *exchange) runSteps(ctx context.Context) *Refusal {
	for _, step := range steps {
		x.step = step.name
		if refusal := step.run(x, ctx); refusal != nil {
			return refusal
		}
	}
	return nil
}
