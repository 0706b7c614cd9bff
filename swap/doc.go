// Package swap changes the expert map of a rank group such that all ranks use
// the same map in every step.
//
// It is a two-phase commit under Paxos-like ballots. A Member is the participant: it
// runs in the agent, is the only one to give orders to its rank, and obeys one ballot
// at a time. A Coordinator makes one attempt to change the map, or to
// settle a change that another coordinator left unfinished; it does no I/O, but takes
// replies and returns orders. A Runner sends a Coordinator's orders to the members.
package swap

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// EngineFailed means that the rank's engine did not answer or refused a call.
	EngineFailed Kind = iota
	// Cancelled means that the context ended before the attempt did.
	Cancelled
)

// String returns the name of the kind in lower case.
func (k Kind) String() string {
	switch k {
	case EngineFailed:
		return "engine"
	case Cancelled:
		return "cancelled"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// Error is the error type of this package.
type Error = track.OpError[Kind]
