package ledger

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// Barred means that the attempt never started and never will.
	Barred Kind = iota
	// Forgotten means that the ledger can't tell whether the attempt started.
	Forgotten
	// AnswerNotStored means that the attempt ended, but no answer is stored for it.
	AnswerNotStored
	// Canceled means that the context ended before the attempt did.
	Canceled
)

var kindNames = [...]string{
	Barred: "barred", Forgotten: "forgotten", AnswerNotStored: "answer not stored", Canceled: "canceled",
}

// String returns the name of the kind in lower case, as error messages show it.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error of this package.
type Error = track.OpError[Kind]
