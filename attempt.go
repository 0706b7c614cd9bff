package track

import "time"

// Stamp is an agent's monotonic time since the start of its incarnation. It is
// read by no other clock: an entry copies the latest stamp that it knows into an
// attempt when it forms it, and the agent judges the age of the attempt by it.
type Stamp time.Duration

// AttemptRef names an attempt and the process that was to run it.
type AttemptRef struct {
	ID AttemptID
	// Agent, Incarnation and Stamp are those of the dispatch.
	Agent       InstanceID
	Incarnation Incarnation
	Stamp       Stamp
	// Keyed is set if the attempt carries a claim.
	Keyed bool
}

// Ref returns the reference to the attempt of the dispatch.
func (d Dispatch) Ref() AttemptRef {
	return AttemptRef{ID: d.ID, Agent: d.Agent, Incarnation: d.Incarnation, Stamp: d.Stamp, Keyed: d.Claim != nil}
}
