// Package proxy carries requests on configured routes to replicas and their
// answers back: it finds the route and the client account, waits for a place,
// sends, repeats where that is allowed, and relays.
package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/hosts"
	"filberttrack.example/track/retry"
)

// Request is a client's request as the front door decoded it.
type Request struct {
	ID     track.RequestID
	Host   string
	Method string
	// Target is the path and query as the client sent them, Path the path alone.
	Target string
	Path   string
	// Header holds the client's headers that go beyond one connection, without
	// those that this struct has fields for.
	Header http.Header
	Body   []byte
	// Key names the client account; empty if the request carries none.
	Key string
	// TimeLeft is the time that the client will wait; 0 if it doesn't say.
	TimeLeft time.Duration
	// PromptTokens and MaxTokens give the size of a generation, AnswerTokens the
	// client's estimate of the answer; 0 if unknown.
	PromptTokens int
	MaxTokens    int
	AnswerTokens int
	// ResumeAfter is the ID of the last event that the client has.
	ResumeAfter string
}

// Refusal is an answer of the entry's own.
type Refusal struct {
	Status int
	// RetryAfter is set if the request has not run and may come back.
	RetryAfter time.Duration
	Reason     string
}

// Errors by which Serve tells that no answer may follow.
var (
	// ErrCutOff means that an answer was begun and can't be completed: the
	// connection must be broken off.
	ErrCutOff = errors.New("answer can't be completed")
)

// Services is the port to the pools and budgets of services.
type Services interface {
	// Pool returns the admission pool of a service.
	Pool(service string) *batch.Pool
	// Budget returns the retry budget of a service.
	Budget(service string) *retry.ServiceBudget
}

// Options holds what a Proxy is made of.
type Options struct {
	// Table returns the configuration in force, or nil before the first.
	Table    func() *hosts.Table
	Services Services
	Caller   track.ReplicaCaller
	// Blame keeps requests that crash replicas from reaching more of them.
	Blame *blame.Tracker
	// Refuse writes an answer of the entry's own.
	Refuse func(w http.ResponseWriter, r Refusal)
	// MaxHold is the longest time for which an event is held so that the client sees
	// no long pause; 0 holds none.
	MaxHold time.Duration
	Clock   clockwork.Clock
	// Draw returns random numbers that are uniform in [0, 1).
	Draw    func() float64
	Logger  *zap.Logger
	Metrics *Metrics
}

// Proxy serves requests. It is safe for concurrent use.
type Proxy struct {
	options Options
}

// New returns a proxy.
func New(options Options) *Proxy {
	return &Proxy{options: options}
}

// Serve answers one request. The context ends when the client leaves. It returns
// ErrCutOff if the connection must be broken off.
func (p *Proxy) Serve(ctx context.Context, w http.ResponseWriter, request *Request) error {
	x := &exchange{proxy: p, w: w, client: ctx, request: request, arrived: p.options.Clock.Now()}
	refusal := x.run(ctx)
	x.drain()
	var err error
	switch {
	case refusal == nil:
	case x.committed:
		err = ErrCutOff
	default:
		p.options.Refuse(w, *refusal)
	}
	x.log(refusal)
	p.options.Metrics.observe(x, refusal)
	return err
}

// steps lists the way of a request.
var steps = []struct {
	name string
	run  func(*exchange, context.Context) *Refusal
}{
	{"find route", (*exchange).findRoute},
	{"identify client account", (*exchange).identify},
	{"choose service", (*exchange).chooseService},
	{"screen", (*exchange).screen},
	{"send", (*exchange).send},
}

func (x *exchange) run(ctx context.Context) *Refusal {
	for _, step := range steps {
		x.step = step.name
		if refusal := step.run(x, ctx); refusal != nil {
			return refusal
		}
	}
	return nil
}
