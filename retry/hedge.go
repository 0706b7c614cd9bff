package retry

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// MaxHedgeShare is the greatest share of second sends that an operator may allow. Hedges are sent while under
	// 0.8 of the capacity is in use: with a fifth more requests, none of which can be canceled, 0.96 is.
	MaxHedgeShare = 0.2
	// hedgeWindow is the time over which the operator's share is kept.
	hedgeWindow = 10 * time.Second
)

// Further reasons against a hedge. Those that retries have too are with Reason.
const (
	// ReasonHedgedBefore means that the request has had its one hedge.
	ReasonHedgedBefore Reason = "HedgedBefore"
	// ReasonTooFewSamples means that too few times to first byte are known to tell a slow attempt.
	ReasonTooFewSamples Reason = "TooFewSamples"
	// ReasonMayCrash means that the request is barred or on trial because it may crash replicas.
	ReasonMayCrash Reason = "MayCrash"
	// ReasonNoShareLeft means that the operator's limit on hedges is reached.
	ReasonNoShareLeft Reason = "NoShareLeft"
)

// SlowAttempt describes an attempt that has not been answered yet, and its request.
type SlowAttempt struct {
	// Enabled is set if requests of this kind are hedged at all.
	Enabled bool
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Hedged is set if the request has been hedged before.
	Hedged bool
	// Waited is the time since the attempt was sent, and After the time from which on it counts as slow; 0 if
	// that isn't known.
	Waited time.Duration
	After  time.Duration
	// Attempts is the number of attempts started so far, including this one.
	Attempts    int
	MaxAttempts int
	// OutOfTime is set if no second attempt can end before the deadline.
	OutOfTime bool
	// MayCrash is set if the request may crash replicas.
	MayCrash bool
	// Unhealthy is set if too many attempts at the target fail.
	Unhealthy bool
	// NoShareLeft is set if the operator's limit is reached, and NoBudgetLeft if the retry budget is used up.
	NoShareLeft  bool
	NoBudgetLeft bool
}

// DecideHedge returns ReasonHedge if a second attempt may be sent beside a slow one, else the first reason
// against it.
func DecideHedge(a SlowAttempt) Reason {
	switch {
	case !a.Enabled:
		return ReasonHedgingOff
	case !a.Repeatable:
		return ReasonMayHaveRun
	case a.Hedged:
		return ReasonHedgedBefore
	case a.After <= 0:
		return ReasonTooFewSamples
	case a.Waited < a.After:
		return ReasonTooEarly
	case a.Attempts >= a.MaxAttempts:
		return ReasonNoAttemptsLeft
	case a.OutOfTime:
		return ReasonNoTimeLeft
	case a.MayCrash:
		return ReasonMayCrash
	case a.Unhealthy:
		return ReasonTargetUnhealthy
	case a.NoShareLeft:
		return ReasonNoShareLeft
	case a.NoBudgetLeft:
		return ReasonNoBudgetLeft
	}
	return ReasonHedge
}

// NewHedgeShare returns a budget of hedges for one entry and one service: at most share for each request of
// the last 10 s. It needs no margin for other entries, as each entry keeps the share by itself.
func NewHedgeShare(share float64, clock clockwork.Clock) *ServiceBudget {
	limit := ServiceLimit{Share: share / sharedMargin, Window: hedgeWindow}
	return NewServiceBudget(limit, clock, func() int { return 1 })
}
