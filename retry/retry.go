// Package retry decides whether a failed attempt is tried again, when a second
// attempt is sent beside a slow one, and when to give up.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

const (
	// MaxReroutes bounds the refusals before the start that a request is
	// rerouted after, without cost or delay.
	MaxReroutes = 3
	// minRetryAfter is the least delay after which a caller is asked to return.
	minRetryAfter = time.Second
	// maxDoublings bounds the growth of the backoff.
	maxDoublings = 6
)

// Reason says why a decision was taken. It names the rule in logs and metrics.
type Reason string

// The reasons for a decision.
const (
	ReasonRetry     Reason = "Retry"
	ReasonReroute   Reason = "Reroute"
	ReasonCrash     Reason = "BackendServerCrashed"
	ReasonHedge     Reason = "Hedge"
	ReasonMayRun    Reason = "MayHaveRun"
	ReasonAttempts  Reason = "NoAttemptsLeft"
	ReasonBudget    Reason = "NoBudgetLeft"
	ReasonDeadline  Reason = "NoTimeLeft"
	ReasonUnhealthy Reason = "TargetUnhealthy"
	ReasonOff       Reason = "HedgingOff"
	ReasonTooEarly  Reason = "TooEarly"
)

// Failure describes an attempt that did not complete.
type Failure struct {
	// Attempts is the number of attempts started so far, this one included.
	Attempts int
	// Reroutes is the number of refusals that were rerouted already.
	Reroutes int
	// Outcome is what is known of the attempt.
	Outcome track.Outcome
	// Refused is set if the agent declined before it started.
	Refused bool
	// Crashed is set if the backend server died meanwhile, and Spared if a retry
	// of this request was spared the budget for that already.
	Crashed bool
	Spared  bool
	// Replicas is the number of replicas of the target.
	Replicas int
	// Expected is the expected duration of another attempt.
	Expected time.Duration
}

// Decision is the answer to a failure.
type Decision struct {
	Again bool
	// Delay is the wait before the next attempt.
	Delay  time.Duration
	Reason Reason
	// RetryAfter tells the caller when to come back, if the request is given up.
	RetryAfter time.Duration
}

// Retrier takes the decisions of one entry. Its methods may be called
// concurrently.
type Retrier struct {
	clock clockwork.Clock

	mu      sync.Mutex
	rng     *rand.Rand
	budgets map[string]*budget
}

// New returns a Retrier with full budgets.
func New(clock clockwork.Clock, rng *rand.Rand) *Retrier {
	return &Retrier{clock: clock, rng: rng, budgets: make(map[string]*budget)}
}

// First counts a first attempt, which pays into the budget of its target.
func (r *Retrier) First(call *track.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(call).deposit()
}

// Observe counts the end of an attempt that reached a backend server.
func (r *Retrier) Observe(call *track.Call, agent track.InstanceID, succeeded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(call).observe(agent, succeeded, r.clock.Now())
}

// Next decides what follows a failed attempt.
func (r *Retrier) Next(call *track.Call, f Failure) Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if call.NonIdempotent && f.Outcome != track.NotRun {
		return r.giveUp(call, ReasonMayRun)
	}
	if f.Refused && f.Reroutes < MaxReroutes {
		return r.reroute(call, now, f)
	}
	if f.Attempts >= call.Profile.Retry.MaxAttempts {
		return r.giveUp(call, ReasonAttempts)
	}
	delay := r.backoff(call.Profile.Retry.Backoff, f.Attempts)
	if now.Add(delay + f.Expected).After(call.Deadline) {
		return r.giveUp(call, ReasonDeadline)
	}
	b := r.budget(call)
	if f.Crashed && !f.Spared && b.mostServe(f.Replicas, now) {
		return Decision{Again: true, Reason: ReasonCrash}
	}
	if !b.withdraw(now) {
		return r.giveUp(call, ReasonBudget)
	}
	return Decision{Again: true, Delay: delay, Reason: ReasonRetry}
}

// Hedge decides whether to send another attempt beside one that has waited for
// its first byte.
func (r *Retrier) Hedge(call *track.Call, attempts int, waited time.Duration) (bool, Reason) {
	after := call.Profile.Hedge.After
	switch {
	case after <= 0:
		return false, ReasonOff
	case call.NonIdempotent:
		return false, ReasonMayRun
	case waited < after:
		return false, ReasonTooEarly
	case attempts >= call.Profile.Retry.MaxAttempts:
		return false, ReasonAttempts
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.budget(call)
	if !b.healthy() {
		return false, ReasonUnhealthy
	}
	if !b.withdraw(r.clock.Now()) {
		return false, ReasonBudget
	}
	return true, ReasonHedge
}

func (r *Retrier) reroute(call *track.Call, now time.Time, f Failure) Decision {
	if now.Add(f.Expected).After(call.Deadline) {
		return r.giveUp(call, ReasonDeadline)
	}
	return Decision{Again: true, Reason: ReasonReroute}
}

// giveUp asks the caller to come back at a random time, so that callers which
// were turned away together don't return together.
func (r *Retrier) giveUp(call *track.Call, reason Reason) Decision {
	spread := max(call.Profile.Retry.Backoff<<maxDoublings, minRetryAfter)
	wait := minRetryAfter + time.Duration(r.rng.Int64N(int64(spread)))
	return Decision{Reason: reason, RetryAfter: wait}
}

// backoff draws the delay before the next attempt: full jitter around a mean
// that doubles with each attempt.
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
