package duty

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// restartPause is the time after which a task that panicked runs again.
const restartPause = time.Second

// Supervisor starts background tasks that run again after a panic, so that an unexpected
// message doesn't end the whole process.
type Supervisor struct {
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Start runs a background task as Start does. If it panics, the supervisor logs the panic and, after
// a pause, runs the task again.
func (s Supervisor) Start(ctx context.Context, name string, run func(context.Context) error) *Duty {
	return Start(ctx, name, func(ctx context.Context) error {
		for {
			ended, err := s.runOnce(ctx, name, run)
			if ended {
				return err
			}
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-s.Clock.After(restartPause):
			}
		}
	})
}

// runOnce runs the task and returns its error, or false if it panicked.
func (s Supervisor) runOnce(
	ctx context.Context, name string, run func(context.Context) error,
) (ended bool, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.Logger.Error("background task panicked", zap.String("duty", name),
				zap.String("Cause", fmt.Sprint(cause)), zap.ByteString("Stack", debug.Stack()))
		}
	}()
	err = run(ctx)
	return true, err
}
