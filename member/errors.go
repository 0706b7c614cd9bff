package member

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Stale means that a heartbeat is older than what is known.
	Stale Kind = iota
	// WrongZone means that the sender belongs to another zone.
	WrongZone
	// SameID means that the sender carries the receiver's own ID.
	SameID
)

var kindNames = [...]string{Stale: "stale", WrongZone: "wrong zone", SameID: "same ID"}

// String returns the kind in lower case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error of this package.
type Error = track.OpError[Kind]

// IsStale reports whether a heartbeat was dropped for its age.
func IsStale(err error) bool {
	return track.IsKind(err, Stale)
}
