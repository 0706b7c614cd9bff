// Package send provides the step that runs a call on a backend server and
// relays the response. It retries and hedges attempts where that is allowed,
// and continues interrupted streams on another replica.
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
	"filberttrack.example/track/parts"
	"filberttrack.example/track/retry"
)

// Options holds the dependencies and settings of a Step.
type Options struct {
	Router track.Router
	Dialer track.AgentDialer
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Limits limits the size of a response.
	Limits relay.Limits
	// Drops counts the frames that were dropped as out of sequence.
	Drops *frames.DropCounters
	// Retries decides on retries and hedges.
	Retries *retry.Retrier
	// Crashes quarantines requests that crash backend servers.
	Crashes *crash.Tracker
	// Parts bars requests with parts that crash backend servers.
	Parts *parts.Tracker
	// ExpectedDuration returns the expected duration of an attempt at a target.
	ExpectedDuration func(target string) time.Duration
	// Capacity returns the number of replicas of a target.
	Capacity admit.Capacity
	// LogDecisions turns on a log line for each routing decision.
	LogDecisions bool
}

// Step runs calls on backend servers.
type Step struct {
	options Options
}

// New returns a Step.
func New(options Options) *Step {
	return &Step{options: options}
}

// String implements flow.Step.
func (*Step) String() string { return "run on a backend server" }

// codeNoBackendServer is the error code if no replica accepts the call.
const codeNoBackendServer = "no_backend_server"

// unavailableRetryAfter is the delay after which a caller may retry if no
// replica is available.
const unavailableRetryAfter = 2 * time.Second

// Run implements flow.Step. It skips a call whose response was sent by an
// earlier step, and reports a response that was aborted after a part was sent
// as skipped.
func (s *Step) Run(ctx context.Context, x *flow.Exchange) error {
	if x.ResponseSent {
		return track.Skip("response already sent")
	}
	ctx, cancel := context.WithTimeout(ctx, x.Call.Deadline.Sub(s.options.Clock.Now()))
	defer cancel()
	e := &execution{step: s, exchange: x, response: relay.NewResponse(x, s.options.Limits)}
	e.reset()
	s.options.Retries.RecordFirstAttempt(&x.Call)
	var previous *flow.RefusalError
	for {
		refusal, retryable := e.runAttempt(ctx)
		if e.noReplica && previous != nil {
			// The failure of the previous attempt is more specific.
			refusal, retryable = previous, false
		}
		if refusal == nil {
			return nil
		}
		if retryable && e.mayRetry(ctx) && e.waitForRetry(ctx, refusal) {
			previous = refusal
			continue
		}
		if e.response.Committed() {
			e.response.Abort(refusal)
			return track.Skip("response was cut off: " + refusal.Message)
		}
		return refusal
	}
}

// execution is the state of one call across its attempts.
type execution struct {
	step     *Step
	exchange *flow.Exchange
	response relay.Response
	// attemptNumber is the number of the latest attempt, from 1.
	attemptNumber uint32
	// excluded lists the agents that further attempts must not use.
	excluded []track.InstanceID
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	// transcript records a streamed chat completion, so that it can be continued
	// on another replica; nil for other calls.
	transcript *frames.Transcript
	// resumeBody is the request that continues an interrupted chat completion; nil
	// before the first interruption.
	resumeBody []byte
	// lastAttempt is the attempt that was evaluated last.
	lastAttempt *attempt
	// reroutes is the number of attempts that were refused before they started,
	// and sent to another replica for that reason.
	reroutes int
	// isolationWaits is the number of times that a crash suspect waited for a
	// replica without another suspect.
	isolationWaits int
	// isolationDeadline is the time at which the suspect stops waiting.
	isolationDeadline time.Time
	// isolationAbandoned is set once the suspect has stopped waiting. It may then
	// share a replica with another suspect.
	isolationAbandoned bool
	// noReplica is set once no replica was found for an attempt.
	noReplica bool
	// crashRetryUsed is set once the call has had its one retry after a crash that
	// isn't charged to the retry budget.
	crashRetryUsed bool
}

// mayRetry reports whether a further attempt is allowed. A response of which
// the caller has a part can only be continued.
func (e *execution) mayRetry(ctx context.Context) bool {
	call := &e.exchange.Call
	if ctx.Err() != nil || e.response.Committed() && e.resumeBody == nil {
		return false
	}
	if call.NonIdempotent && e.mayHaveRun {
		return false
	}
	return e.acceptedAttempts() < max(1, call.Profile.Retry.MaxAttempts)
}

// acceptedAttempts returns the number of attempts that an agent accepted.
func (e *execution) acceptedAttempts() int {
	n := int(e.attemptNumber) - e.reroutes - e.isolationWaits
	if e.lastAttempt.notDelivered() {
		n--
	}
	return n
}

// pickReplica starts a new attempt number and chooses a replica for it.
func (e *execution) pickReplica(isolated bool) (track.RoutingDecision, error) {
	call := &e.exchange.Call
	e.attemptNumber++
	choice, err := e.step.options.Router.Pick(track.RoutingQuery{
		Request:  call.ID,
		Target:   call.Target,
		Tokens:   call.PromptTokens + call.MaxTokens,
		Prefixes: call.Prefixes,
		Excluded: e.excluded,
		Isolated: isolated,
	})
	if e.step.options.LogDecisions {
		e.step.options.Logger.Info("route",
			zap.String("RequestID", string(call.ID)),
			zap.Uint32("Attempt", e.attemptNumber),
			zap.String("Target", call.Target),
			zap.String("Agent", string(choice.Server.Agent)),
			zap.Int("Candidates", choice.Candidates),
			zap.String("Reason", choice.Reason),
			zap.Error(err))
	}
	return choice, err
}

// noReplicaRefusal returns the refusal for a call for which the router found no
// replica.
func (e *execution) noReplicaRefusal(err error) *flow.RefusalError {
	outcome := track.NotRun
	if e.mayHaveRun {
		outcome = track.Unknown
	}
	return &flow.RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       codeNoBackendServer,
		Message:    err.Error(),
		Outcome:    outcome,
		RetryAfter: unavailableRetryAfter,
	}
}
