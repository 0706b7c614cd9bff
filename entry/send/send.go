// Package send provides the step that runs a call on a backend server and
// relays the answer, with retries where they are allowed.
package send

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/entry/relay"
	"filberttrack.example/track/frames"
)

// Options holds what the step is made of.
type Options struct {
	Router track.Router
	Dialer track.AgentDialer
	Clock  clockwork.Clock
	Logger *zap.Logger
	Limits relay.Limits
	// Drops counts frames out of sequence.
	Drops *frames.Drops
	// LogDecisions turns on a log line for each routing decision.
	LogDecisions bool
}

// Step runs a call.
type Step struct {
	options Options
}

// New returns the step.
func New(options Options) *Step {
	return &Step{options: options}
}

// String returns the name of the step.
func (*Step) String() string { return "run on a backend server" }

// retryAfterNoServer tells a caller when to come back if no replica is live.
const retryAfterNoServer = 2 * time.Second

// Run implements flow.Step.
func (s *Step) Run(ctx context.Context, x *flow.Exchange) error {
	if x.Answered {
		return track.Skip("answered already")
	}
	ctx, cancel := context.WithTimeout(ctx, x.Call.Deadline.Sub(s.options.Clock.Now()))
	defer cancel()
	r := &run{step: s, exchange: x, answer: relay.For(x, s.options.Limits)}
	r.reset()
	for {
		refusal, again := r.attempt(ctx)
		if refusal == nil {
			return nil
		}
		if again && r.mayRetry(ctx) {
			continue
		}
		if r.answer.Committed() {
			r.answer.Abort(refusal)
			return track.Skip("answer was cut off: " + refusal.Message)
		}
		return refusal
	}
}

// run is the state of one call over its attempts.
type run struct {
	step     *Step
	exchange *flow.Exchange
	answer   relay.Answer
	number   uint32
	excluded []track.InstanceID
	// tainted is set once an attempt may have run.
	tainted bool
	// transcript follows a streamed generation; nil for other calls.
	transcript *frames.Transcript
	// body is the request that continues a generation; nil before that.
	body []byte
}

// mayRetry reports whether a further attempt is allowed.
func (r *run) mayRetry(ctx context.Context) bool {
	call := &r.exchange.Call
	if ctx.Err() != nil || r.answer.Committed() && r.body == nil {
		return false
	}
	if call.NonIdempotent && r.tainted {
		return false
	}
	return int(r.number) < max(1, call.Profile.Retry.MaxAttempts)
}

// attempt runs one attempt. It returns nil if the caller has the whole answer;
// otherwise the refusal to give and whether another replica may do better.
func (r *run) attempt(ctx context.Context) (*flow.RefusalError, bool) {
	choice, err := r.pick()
	if err != nil {
		return r.noServer(err), false
	}
	started := r.step.options.Clock.Now()
	t := &transfer{
		answer:     r.answer,
		clock:      r.step.options.Clock,
		started:    started,
		transcript: r.transcript,
		checker:    frames.NewChecker(track.AttemptID{Request: r.exchange.Call.ID, Number: r.number}, r.step.options.Drops),
	}
	t.run(ctx, r, choice)
	result := track.Result{
		Outcome:   t.outcome(),
		Failed:    t.replicaFailed(),
		FirstByte: t.firstByte,
		Duration:  r.step.options.Clock.Since(started),
	}
	r.step.options.Router.Done(choice, result)
	if !t.provenNotRun() {
		r.tainted = true
	}
	return r.judge(ctx, choice, t)
}

func (r *run) pick() (track.Choice, error) {
	call := &r.exchange.Call
	r.number++
	choice, err := r.step.options.Router.Pick(track.Query{
		Request:  call.ID,
		Target:   call.Target,
		Tokens:   call.PromptTokens + call.MaxTokens,
		Prefixes: call.Prefixes,
		Excluded: r.excluded,
	})
	if r.step.options.LogDecisions {
		r.step.options.Logger.Info("route",
			zap.String("RequestID", string(call.ID)),
			zap.Uint32("Attempt", r.number),
			zap.String("Target", call.Target),
			zap.String("Agent", string(choice.Server.Agent)),
			zap.Int("Candidates", choice.Candidates),
			zap.String("Reason", choice.Reason),
			zap.Error(err))
	}
	return choice, err
}

func (r *run) noServer(err error) *flow.RefusalError {
	outcome := track.NotRun
	if r.tainted {
		outcome = track.Unknown
	}
	return &flow.RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       "no_backend_server",
		Message:    err.Error(),
		Outcome:    outcome,
		RetryAfter: retryAfterNoServer,
	}
}
