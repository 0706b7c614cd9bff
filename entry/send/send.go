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
	"filberttrack.example/track/admit"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/entry/relay"
	"filberttrack.example/track/frames"
	"filberttrack.example/track/retry"
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
	// Retries decides what follows a failed or slow attempt.
	Retries *retry.Retrier
	// Crashes keeps requests that crash backend servers apart.
	Crashes *crash.Tracker
	// Expected returns the expected duration of an attempt at a target.
	Expected func(target string) time.Duration
	Capacity admit.Capacity
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

// codeNoServer is the code of a refusal for want of a replica.
const codeNoServer = "no_backend_server"

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
	s.options.Retries.RecordFirstAttempt(&x.Call)
	var before *flow.RefusalError
	for {
		refusal, again := r.attempt(ctx)
		if r.unplaced && before != nil {
			// The failure of the attempt before says more.
			refusal, again = before, false
		}
		if refusal == nil {
			return nil
		}
		if again && r.mayRetry(ctx) && r.again(ctx, refusal) {
			before = refusal
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
	// latest is the attempt that was judged last.
	latest *transfer
	// reroutes is the number of attempts that were refused before they started.
	reroutes int
	// turns is the number of times that a suspect of a crash waited for a replica,
	// patience the time until which it does, and crowded set after that.
	turns    int
	patience time.Time
	crowded  bool
	// unplaced is set if no replica was found for the present attempt.
	unplaced bool
	// spared is set once a retry was spared the budget.
	spared bool
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
	return r.attempts() < max(1, call.Profile.Retry.MaxAttempts)
}

// attempts returns the number of attempts that an agent took on.
func (r *run) attempts() int {
	n := int(r.number) - r.reroutes - r.turns
	if r.latest.refused() {
		n--
	}
	return n
}

func (r *run) pick(isolated bool) (track.Choice, error) {
	call := &r.exchange.Call
	r.number++
	choice, err := r.step.options.Router.Pick(track.Query{
		Request:  call.ID,
		Target:   call.Target,
		Tokens:   call.PromptTokens + call.MaxTokens,
		Prefixes: call.Prefixes,
		Excluded: r.excluded,
		Isolated: isolated,
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
		Code:       codeNoServer,
		Message:    err.Error(),
		Outcome:    outcome,
		RetryAfter: retryAfterNoServer,
	}
}
