package track

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// OpError is the error type of all packages. It holds the operation that failed,
// the kind of failure and the cause. A package declares its own Kind type and an
// alias of the instantiated type, for example
//
//	type Error = track.OpError[Kind]
type OpError[K fmt.Stringer] struct {
	Op   string
	Kind K
	Err  error
}

// Error implements error.
func (e *OpError[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %s", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *OpError[K]) Unwrap() error {
	return e.Err
}

// Fail returns an OpError. It wraps the cause with merry, so that the details of
// the error contain the stack trace of the failure.
func Fail[K fmt.Stringer](op string, kind K, cause error) *OpError[K] {
	return &OpError[K]{Op: op, Kind: kind, Err: merry.WrapSkipping(cause, 1)}
}

// IsKind reports whether err is or wraps an OpError of the given kind.
func IsKind[K interface {
	fmt.Stringer
	comparable
}](err error, kind K) bool {
	var op *OpError[K]
	return errors.As(err, &op) && op.Kind == kind
}

// Kind classifies the failures of the interfaces declared in this package.
type Kind int

// The kinds of failures that implementations of the interfaces report.
const (
	// Internal means a fault in filberttrack itself.
	Internal Kind = iota
	// Invalid means that the input was not valid.
	Invalid
	// Unavailable means that the peer could not be reached and that the
	// operation certainly had no effect.
	Unavailable
	// Ambiguous means that the operation may have taken effect.
	Ambiguous
	// Refused means that the peer responded and declined; nothing was started.
	Refused
	// Expired means that the requested records are past their retention time.
	Expired
	// TimedOut means that the deadline passed.
	TimedOut
)

var kindNames = [...]string{
	Internal: "internal", Invalid: "invalid", Unavailable: "unavailable", Ambiguous: "ambiguous",
	Refused: "refused", Expired: "expired", TimedOut: "timed out",
}

// String returns the name of the kind in lower case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error type of this package and of the interfaces that it declares.
type Error = OpError[Kind]
