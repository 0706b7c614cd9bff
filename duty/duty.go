// Package duty runs the long-lived activities of a process, each on a goroutine
// of its own that reports its end to its owner.
package duty

import (
	"context"
	"errors"
	"fmt"

	"go.uber.org/zap"
)

// Duty is a running activity.
type Duty struct {
	name string
	done chan error
}

// Start runs the activity until it returns. The activity must return soon after
// its context ends.
func Start(ctx context.Context, name string, run func(context.Context) error) *Duty {
	d := &Duty{name: name, done: make(chan error, 1)}
	go func() {
		d.done <- run(ctx)
		close(d.done)
	}()
	return d
}

// String returns the name of the duty.
func (d *Duty) String() string {
	return d.name
}

// Done returns the channel on which the duty reports its end, once.
func (d *Duty) Done() <-chan error {
	return d.done
}

// Wait waits for all duties to end and returns the failures among their ends.
// The end of a context is not a failure.
func Wait(logger *zap.Logger, duties ...*Duty) error {
	var failures []error
	for _, d := range duties {
		err := <-d.done
		if err == nil || errors.Is(err, context.Canceled) {
			logger.Debug("duty ended", zap.Stringer("duty", d))
			continue
		}
		logger.Error("duty failed", zap.Stringer("duty", d), zap.Error(err))
		failures = append(failures, fmt.Errorf("%s: %w", d.name, err))
	}
	return errors.Join(failures...)
}
