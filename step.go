package track

import (
	"context"
	"errors"
	"fmt"
)

// Step is one step of a plan, such as the way of a request through an entry.
// String names the step in logs.
type Step[T any] interface {
	fmt.Stringer
	Run(ctx context.Context, subject T) error
}

// SkipError is the result of a step that had nothing to do. It is not a failure.
type SkipError struct {
	Reason string
}

// Error implements error.
func (e *SkipError) Error() string {
	return "skipped: " + e.Reason
}

// Skip returns the typed result of a step that had nothing to do.
func Skip(reason string) error {
	return &SkipError{Reason: reason}
}

// IsSkip reports whether err is the result of a skipped step.
func IsSkip(err error) bool {
	var skip *SkipError
	return errors.As(err, &skip)
}
