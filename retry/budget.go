package retry

import (
	"time"

	"filberttrack.example/track"
)

const (
	// maxBalance is the number of retries that a budget saves up.
	maxBalance = 5.0
	// maxFloor is the number of retries that the floor saves up.
	maxFloor = 3.0
	// healthWeight is the weight of one attempt in the moving share of successes.
	healthWeight = 0.05
	// healthyShare is the share of successes below which the floor is shut and
	// deposits are halved.
	healthyShare = 0.5
	// lastFor is how long the latest result of a replica counts.
	lastFor = 30 * time.Second
)

// last is the latest result of a replica.
type last struct {
	at        time.Time
	succeeded bool
}

// budget holds the retries that one target is allowed.
type budget struct {
	policy  track.RetryPolicy
	balance float64
	// floor is the number of retries that the floor allows at the moment.
	floor     float64
	refilled  time.Time
	succeeded float64
	replicas  map[track.InstanceID]last
}

func newBudget(policy track.RetryPolicy, now time.Time) *budget {
	return &budget{policy: policy, floor: maxFloor, refilled: now, succeeded: 1, replicas: make(map[track.InstanceID]last)}
}

func (b *budget) healthy() bool {
	return b.succeeded >= healthyShare
}

// mostServe reports whether at most half of the replicas failed their latest
// attempt. A crash is then one replica's, and what was in flight there is
// retried whatever the budget.
func (b *budget) mostServe(replicas int, now time.Time) bool {
	failing := 0
	for agent, l := range b.replicas {
		if now.Sub(l.at) >= lastFor {
			delete(b.replicas, agent)
		} else if !l.succeeded {
			failing++
		}
	}
	return 2*failing <= max(replicas, len(b.replicas))
}

func (b *budget) observe(agent track.InstanceID, succeeded bool, now time.Time) {
	b.replicas[agent] = last{now, succeeded}
	target := 0.0
	if succeeded {
		target = 1
	}
	b.succeeded += healthWeight * (target - b.succeeded)
}

func (b *budget) deposit() {
	share := b.policy.Share
	if !b.healthy() {
		share /= 2
	}
	b.balance = min(b.balance+share, maxBalance)
}

// withdraw pays for one retry from the share or, while the target is healthy,
// from the floor.
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
	if passed := now.Sub(b.refilled).Seconds(); passed > 0 {
		b.floor = min(b.floor+passed*b.policy.FloorPerSecond, maxFloor)
	}
	b.refilled = now
}
