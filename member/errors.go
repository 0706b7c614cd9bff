package member

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Stale means that a later heartbeat of the sender was received before.
	Stale Kind = iota
	// WrongZone means that instances of the sender's zone don't send heartbeats to
	// this one.
	WrongZone
	// DuplicateID means that the sender uses the receiver's own ID.
	DuplicateID
)

var kindNames = [...]string{Stale: "stale", WrongZone: "wrong zone", DuplicateID: "duplicate ID"}

// String returns the kind in lower case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error type of this package.
type Error = track.OpError[Kind]

// IsStale reports whether a heartbeat was dropped because a later one was received before.
func IsStale(err error) bool {
	return track.IsKind(err, Stale)
}
