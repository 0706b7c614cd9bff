package retry

import (
	"time"

	"filberttrack.example/track"
)

const (
	// maxBalance is the largest number of retries that a budget can save up.
	maxBalance = 5.0
	// maxFloor is the largest number of retries that the floor can save up.
	maxFloor = 3.0
	// successWeight is the weight of one attempt in the moving success rate.
	successWeight = 0.05
	// healthyRate is the success rate below which a target is unhealthy. Its budget
	// then allows no retries from the floor, and its deposits are halved.
	healthyRate = 0.5
	// resultTTL is how long the latest result of a replica counts.
	resultTTL = 30 * time.Second
)

// lastResult is the result of the latest attempt at a replica.
type lastResult struct {
	at        time.Time
	succeeded bool
}

// budget holds the retries that one target is allowed at the moment. They come from
// two sources: each first attempt pays a share of a retry into the balance, and the
// floor grows at a constant rate, so that a target with few requests has some too.
type budget struct {
	policy  track.RetryPolicy
	balance float64
	floor   float64
	// refilledAt is the time up to which the floor has grown.
	refilledAt time.Time
	// successRate is the moving success rate of the attempts, 0 to 1.
	successRate float64
	lastResults map[track.InstanceID]lastResult
}

func newBudget(policy track.RetryPolicy, now time.Time) *budget {
	return &budget{
		policy: policy, floor: maxFloor, refilledAt: now, successRate: 1,
		lastResults: make(map[track.InstanceID]lastResult),
	}
}

func (b *budget) healthy() bool {
	return b.successRate >= healthyRate
}

// mostHealthy reports whether at most half of the replicas failed their latest
// attempt. A crash then concerns that replica only, and the attempts that were in
// flight on it are retried regardless of the budget.
func (b *budget) mostHealthy(replicas int, now time.Time) bool {
	failing := 0
	for agent, result := range b.lastResults {
		if now.Sub(result.at) >= resultTTL {
			delete(b.lastResults, agent)
		} else if !result.succeeded {
			failing++
		}
	}
	return 2*failing <= max(replicas, len(b.lastResults))
}

func (b *budget) observe(agent track.InstanceID, succeeded bool, now time.Time) {
	b.lastResults[agent] = lastResult{now, succeeded}
	success := 0.0
	if succeeded {
		success = 1
	}
	b.successRate += successWeight * (success - b.successRate)
}

// deposit adds the share of a retry that one first attempt earns.
func (b *budget) deposit() {
	share := b.policy.Share
	if !b.healthy() {
		share /= 2
	}
	b.balance = min(b.balance+share, maxBalance)
}

// hasRetry reports whether withdraw would succeed.
func (b *budget) hasRetry(now time.Time) bool {
	b.refill(now)
	return b.balance >= 1 || b.healthy() && b.floor >= 1
}

// withdraw takes one retry from the balance or, while the target is healthy, from
// the floor. It reports whether there was one.
func (b *budget) withdraw(now time.Time) bool {
	b.refill(now)
	switch {
	case b.balance >= 1:
		b.balance--
	case b.healthy() && b.floor >= 1:
		b.floor--
	default:
		return false
	}
	return true
}

func (b *budget) refill(now time.Time) {
	if passed := now.Sub(b.refilledAt).Seconds(); passed > 0 {
		b.floor = min(b.floor+passed*b.policy.FloorPerSecond, maxFloor)
	}
	b.refilledAt = now
}
