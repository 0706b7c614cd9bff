// Package tail reads from and appends to the streams of the platform's log. Reader
// follows a stream by offset; Appender batches and rate-limits appends.
package tail

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Unavailable means that the record was certainly not appended.
	Unavailable Kind = iota
	// Ambiguous means that the record may have been appended.
	Ambiguous
	// QueueFull means that too many records wait already; the record was not
	// appended.
	QueueFull
)

var kindNames = [...]string{Unavailable: "unavailable", Ambiguous: "ambiguous", QueueFull: "full"}

// String returns the kind in lower case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error type of this package. Its kind tells whether the record may
// have been appended.
type Error = track.OpError[Kind]
