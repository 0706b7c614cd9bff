// Package swap changes the expert map of a rank group such that all ranks use
// the same map in every step.
//
// A Member is an agent's side: the only door to its rank, which keeps a promise
// to one ballot at a time. A Driver is one attempt to change the map or to
// settle a change that another driver left half done; it is pure code that takes
// replies and returns orders. Run carries a Driver's orders to the members.
package swap

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Engine means that the rank's engine did not answer or refused.
	Engine Kind = iota
	// Cancelled means that the context ended before the change did.
	Cancelled
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Engine:
		return "engine"
	case Cancelled:
		return "cancelled"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// Error is the error of this package.
type Error = track.OpError[Kind]
