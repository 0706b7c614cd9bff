// Package duty runs the background tasks of a process. Each task has its own goroutine
// and reports its result when it ends.
package duty

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"
)

// Duty is a running background task.
type Duty struct {
	name string
	done chan error
}

// Start runs a background task until it returns. The task must return soon after its
// context ends.
func Start(ctx context.Context, name string, run func(context.Context) error) *Duty {
	d := &Duty{name: name, done: make(chan error, 1)}
	go func() {
		d.done <- run(ctx)
		close(d.done)
	}()
	return d
}

// String returns the name of the task.
func (d *Duty) String() string {
	return d.name
}

// Done returns a channel that receives the result of the task when it ends, and is then
// closed.
func (d *Duty) Done() <-chan error {
	return d.done
}

// Wait waits for all tasks to end and returns the errors of those that failed, joined.
// context.Canceled does not count as a failure.
func Wait(logger *zap.Logger, tasks ...*Duty) error {
	var failures []error
	for _, d := range tasks {
		err := <-d.done
		if err == nil || errors.Is(err, context.Canceled) {
			logger.Debug("background task ended", zap.Stringer("duty", d))
			continue
		}
		logger.Error("background task failed", zap.Stringer("duty", d), zap.Error(err))
		failures = append(failures, fmt.Errorf("%s: %w", d.name, err))
	}
	return errors.Join(failures...)
}
