package frames

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure. The first five are those of frames that are dropped.
const (
	// Foreign means that the frame belongs to another attempt.
	Foreign Kind = iota
	// Doubled means that a frame with this number was passed already.
	Doubled
	// Early means that frames before this one are missing.
	Early
	// Late means that the answer had ended.
	Late
	// Malformed means that the kind or content of a frame is out of place.
	Malformed
	// Incomplete means that the stream ended before the final frame.
	Incomplete
	// NotResumable means that the generation can't go on elsewhere.
	NotResumable
	// Exhausted means that the generation reached its bound of tokens.
	Exhausted
)

var kindNames = [...]string{
	Foreign: "foreign", Doubled: "doubled", Early: "early", Late: "late", Malformed: "malformed",
	Incomplete: "incomplete", NotResumable: "not resumable", Exhausted: "exhausted",
}

// String returns the kind in lower case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error of this package.
type Error = track.OpError[Kind]
