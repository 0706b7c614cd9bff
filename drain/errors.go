package drain

import (
	"errors"
	"fmt"

	"filberttrack.example/track"
)

// ErrStopped is the cause with which the contexts of requests end that are still open at the end of a
// shutdown.
var ErrStopped = errors.New("the instance has stopped")

// Kind classifies the failures of this package.
type Kind int

// CutOff means that the shutdown ended while requests were still open.
const CutOff Kind = iota

// String returns the kind in lower case.
func (k Kind) String() string {
	if k == CutOff {
		return "requests cut off"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// Error is the error type of this package.
type Error = track.OpError[Kind]
