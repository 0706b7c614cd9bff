package ledger

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Barred means that the attempt never started and never will.
	Barred Kind = iota
	// Forgotten means that the ledger can't tell whether the attempt started.
	Forgotten
	// NotKept means that the attempt ran and that its answer is not stored.
	NotKept
	// Canceled means that the wait for an answer was given up.
	Canceled
)

var kindNames = [...]string{Barred: "barred", Forgotten: "forgotten", NotKept: "answer not kept", Canceled: "canceled"}

// String returns the kind in lower case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error of this package.
type Error = track.OpError[Kind]
