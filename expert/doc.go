// Package expert decides which rank of a group holds copies of which experts.
//
// A Planner observes the tokens counted for each expert and layer, and proposes
// short lists of moves that trade step-time skew against the number of moves.
// Rebalance changes an existing map in a single step, within limits on the copies
// that ranks fetch. Repack computes a placement from scratch, and LowerBound the
// least skew that any placement with the same slots can have. All functions are
// deterministic: equal input gives equal output.
package expert

import (
	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Invalid means that a shape, map or placement is malformed, or that counts or
	// a placement don't fit the shape of the group.
	Invalid Kind = iota
)

// String returns the kind in lower case.
func (k Kind) String() string {
	return "invalid"
}

// Error is the error type of this package.
type Error = track.OpError[Kind]
