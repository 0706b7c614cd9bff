package change

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Corrupt means that a record is damaged, truncated or of an unknown format.
	Corrupt Kind = iota
	// Invalid means that a change or an object is not valid or can't be encoded.
	Invalid
	// TooLarge means that a change holds more edits or bytes than allowed.
	TooLarge
	// Forgotten means that the history does not cover a version: it is too old
	// or has not been reached yet.
	Forgotten
)

var kindNames = [...]string{Corrupt: "corrupt", Invalid: "invalid", TooLarge: "too large", Forgotten: "forgotten"}

// String returns the kind in lower case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error type of this package.
type Error = track.OpError[Kind]
