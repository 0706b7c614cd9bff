// Package expert decides which rank of a group holds copies of which experts.
//
// A Planner observes the tokens counted for each expert and layer, and proposes
// short lists of moves that weigh step-time skew against movement. Repack
// computes a placement from nothing, and LowerBound the least skew that any
// placement with the same slots can have. All of it is pure: equal input gives
// equal output.
package expert

import (
	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Invalid means that a shape, placement or count doesn't fit the group.
	Invalid Kind = iota
)

// String returns the kind in lower case.
func (k Kind) String() string {
	return "invalid"
}

// Error is the error of this package.
type Error = track.OpError[Kind]
