package frames

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies dropped frames and the errors of this package.
type Kind int

// The kinds. The first five are reasons to drop a frame, the others are kinds of errors;
// Malformed is both.
const (
	// WrongAttempt means that the frame belongs to another attempt.
	WrongAttempt Kind = iota
	// Duplicate means that a frame with this sequence number was accepted already.
	Duplicate
	// SequenceGap means that frames before this one are missing.
	SequenceGap
	// AfterFinal means that the final frame was accepted already.
	AfterFinal
	// Malformed means that a frame of this kind isn't valid at this position, or that the
	// content of a frame or request isn't valid.
	Malformed
	// Incomplete means that the stream ended before the final frame.
	Incomplete
	// NotResumable means that the generation can't be continued on another replica.
	NotResumable
	// TokenLimitReached means that the generation has reached its token limit.
	TokenLimitReached
)

var kindNames = [...]string{
	WrongAttempt: "foreign", Duplicate: "doubled", SequenceGap: "early", AfterFinal: "late", Malformed: "malformed",
	Incomplete: "incomplete", NotResumable: "not resumable", TokenLimitReached: "exhausted",
}

// String returns the name of the kind as used in errors and in the metric label.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error type that this package returns.
type Error = track.OpError[Kind]
