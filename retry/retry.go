// Package retry decides whether a failed attempt is retried, whether a slow one is
// hedged with a second attempt, and when a request is given up.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

const (
	// MaxReroutes is the number of times that a request is sent to another replica
	// immediately and without using the retry budget, because an agent refused it
	// before it started.
	MaxReroutes = 3
	// minRetryAfter is the shortest delay after which a caller is told to retry.
	minRetryAfter = time.Second
	// maxDoublings bounds how often the backoff doubles.
	maxDoublings = 6
)

// Reason is the rule behind a decision, under the name that logs and metrics have.
type Reason string

// The reasons for a decision.
const (
	// ReasonRetry is a retry that the budget paid for.
	ReasonRetry Reason = "Retry"
	// ReasonReroute is an attempt at another replica after a refusal by an agent.
	ReasonReroute Reason = "Reroute"
	// ReasonBackendServerCrashed is a retry after the crash of a backend server, free of the budget.
	ReasonBackendServerCrashed Reason = "BackendServerCrashed"
	// ReasonHedge is a second attempt beside a slow one.
	ReasonHedge Reason = "Hedge"
	// ReasonMayHaveRun means that a non-idempotent request may have been executed.
	ReasonMayHaveRun Reason = "MayHaveRun"
	// ReasonNoAttemptsLeft means that the request has had its MaxAttempts.
	ReasonNoAttemptsLeft Reason = "NoAttemptsLeft"
	// ReasonNoBudgetLeft means that the target's retry budget is used up.
	ReasonNoBudgetLeft Reason = "NoBudgetLeft"
	// ReasonNoTimeLeft means that another attempt would end after the deadline.
	ReasonNoTimeLeft Reason = "NoTimeLeft"
	// ReasonTargetUnhealthy means that too many attempts at the target fail for
	// a hedge to be sent.
	ReasonTargetUnhealthy Reason = "TargetUnhealthy"
	// ReasonHedgingOff means that the profile of the request has no hedging.
	ReasonHedgingOff Reason = "HedgingOff"
	// ReasonTooEarly means that the attempt isn't slow enough yet to be hedged.
	ReasonTooEarly Reason = "TooEarly"
)

// Failure describes a failed attempt and its request.
type Failure struct {
	// Attempts is the number of attempts started so far, including this one but not
	// those that were rerouted.
	Attempts int
	// Reroutes is the number of times that the request has been rerouted already.
	Reroutes int
	// Outcome says whether the attempt may have been executed.
	Outcome track.Outcome
	// Refused is set if the agent declined the attempt before it started.
	Refused bool
	// Crashed is set if the backend server crashed during the attempt.
	Crashed bool
	// CrashRetryUsed is set if the request has already had its one retry that is free of the
	// budget because of a crash.
	CrashRetryUsed bool
	// Replicas is the number of replicas of the target.
	Replicas int
	// ExpectedDuration is the expected duration of another attempt.
	ExpectedDuration time.Duration
}

// Decision says what follows a failed attempt.
type Decision struct {
	// Retry is set if another attempt is to be made.
	Retry bool
	// Delay is the wait before the next attempt.
	Delay  time.Duration
	Reason Reason
	// RetryAfter is the delay after which the caller may retry a request that is
	// given up.
	RetryAfter time.Duration
}

// Retrier decides on retries and hedges for one entry, with a budget for each
// target. Its methods may be called concurrently.
type Retrier struct {
	clock clockwork.Clock

	mu      sync.Mutex
	rng     *rand.Rand
	budgets map[string]*budget
}

// New returns a Retrier. The budget of each target starts with an empty balance and
// a full floor.
func New(clock clockwork.Clock, rng *rand.Rand) *Retrier {
	return &Retrier{clock: clock, rng: rng, budgets: make(map[string]*budget)}
}

// RecordFirstAttempt records the first attempt at a request, which adds to the budget of its
// target.
func (r *Retrier) RecordFirstAttempt(call *track.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(call).deposit()
}

// RecordResult records the result of an attempt that reached a backend server.
func (r *Retrier) RecordResult(call *track.Call, agent track.InstanceID, succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(call).observe(agent, succeeded, r.clock.Now())
}

// AfterFailure decides what follows a failed attempt.
func (r *Retrier) AfterFailure(call *track.Call, f Failure) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if call.NonIdempotent && f.Outcome != track.NotRun {
		return r.giveUp(call, ReasonMayHaveRun)
	}
	if f.Refused && f.Reroutes < MaxReroutes {
		return r.reroute(call, now, f)
	}
	if f.Attempts >= call.Profile.Retry.MaxAttempts {
		return r.giveUp(call, ReasonNoAttemptsLeft)
	}
	delay := r.backoff(call.Profile.Retry.Backoff, f.Attempts)
	if now.Add(delay + f.ExpectedDuration).After(call.Deadline) {
		return r.giveUp(call, ReasonNoTimeLeft)
	}
	b := r.budget(call)
	if f.Crashed && !f.CrashRetryUsed && b.mostHealthy(f.Replicas, now) {
		return Decision{Retry: true, Reason: ReasonBackendServerCrashed}
	}
	if !b.withdraw(now) {
		return r.giveUp(call, ReasonNoBudgetLeft)
	}
	return Decision{Retry: true, Delay: delay, Reason: ReasonRetry}
}

// ShouldHedge decides whether to send another attempt beside one that has waited for its
// first byte for the given time. attempts is the number of attempts started so far.
// A hedge is paid for by the budget.
func (r *Retrier) ShouldHedge(call *track.Call, attempts int, waited time.Duration) (bool, Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, now := r.budget(call), r.clock.Now()
	reason := DecideHedge(SlowAttempt{
		Enabled: call.Profile.Hedge.After > 0, Repeatable: !call.NonIdempotent,
		Waited: waited, After: call.Profile.Hedge.After,
		Attempts: attempts, MaxAttempts: call.Profile.Retry.MaxAttempts,
		Unhealthy: !b.healthy(), NoBudgetLeft: !b.hasRetry(now),
	})
	return reason == ReasonHedge && b.withdraw(now), reason
}

// reroute allows an immediate attempt at another replica if it is expected to end
// before the deadline.
func (r *Retrier) reroute(call *track.Call, now time.Time, f Failure) Decision {
	if now.Add(f.ExpectedDuration).After(call.Deadline) {
		return r.giveUp(call, ReasonNoTimeLeft)
	}
	return Decision{Retry: true, Reason: ReasonReroute}
}

// giveUp tells the caller to retry after a random delay, so that callers that were
// refused together don't return together.
func (r *Retrier) giveUp(call *track.Call, reason Reason) Decision {
	maxJitter := max(call.Profile.Retry.Backoff<<maxDoublings, minRetryAfter)
	delay := minRetryAfter + time.Duration(r.rng.Int64N(int64(maxJitter)))
	return Decision{Reason: reason, RetryAfter: delay}
}

// backoff returns the delay before the next attempt: a random one with full jitter,
// whose mean doubles with each attempt.
func (r *Retrier) backoff(mean time.Duration, attempts int) time.Duration {
	if mean <= 0 {
		return 0
	}
	doublings := min(max(attempts-1, 0), maxDoublings)
	return time.Duration(r.rng.Int64N(2 * int64(mean<<doublings)))
}

func (r *Retrier) budget(call *track.Call) *budget {
	b, ok := r.budgets[call.Target]
	if !ok {
		b = newBudget(call.Profile.Retry, r.clock.Now())
		r.budgets[call.Target] = b
	}
	b.policy = call.Profile.Retry
	return b
}
