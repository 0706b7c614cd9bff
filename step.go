package track

import (
	"context"
	"errors"
	"fmt"
)

// Step is one step of a sequence, such as the processing of a request by an entry.
// String returns the name of the step in logs.
type Step[T any] interface {
	fmt.Stringer
	Run(ctx context.Context, subject T) error
}

// SkipError is the error that a step with nothing to do returns. It is not a failure.
type SkipError struct {
	Reason string
}

// Error implements error.
func (e *SkipError) Error() string {
	return "skipped: " + e.Reason
}

// Skip returns a SkipError with the given reason.
func Skip(reason string) error {
	return &SkipError{Reason: reason}
}

// IsSkip reports whether err is or wraps a SkipError.
func IsSkip(err error) bool {
	var skip *SkipError
	return errors.As(err, &skip)
}
