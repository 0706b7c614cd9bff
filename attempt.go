package track

import "time"

// Stamp is a time of an agent: the monotonic time since the start of its
// incarnation. It is never compared with another clock. An entry copies the latest
// stamp that it knows into each new attempt, and the agent computes the age of the
// attempt from it.
type Stamp time.Duration

// AttemptRef identifies an attempt and the process to which it was dispatched.
type AttemptRef struct {
	ID AttemptID
	// Agent, Incarnation and Stamp are copied from the dispatch.
	Agent       InstanceID
	Incarnation Incarnation
	Stamp       Stamp
	// HasClaim is set if the attempt carries a claim of an idempotency key.
	HasClaim bool
}

// Ref returns a reference to the dispatched attempt.
func (d Dispatch) Ref() AttemptRef {
	return AttemptRef{ID: d.ID, Agent: d.Agent, Incarnation: d.Incarnation, Stamp: d.Stamp, HasClaim: d.Claim != nil}
}
