package duty_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track/duty"
)

func TestTaskRunsAgainAfterPanic(t *testing.T) {
	clock := clockwork.NewFakeClock()
	runs := make(chan int, 3)
	n := 0
	errEnd := errors.New("end")
	task := duty.Supervisor{Clock: clock, Logger: zap.NewNop()}.Start(t.Context(), "task", func(context.Context) error {
		n++
		runs <- n
		if n < 3 {
			panic("unexpected message")
		}
		return errEnd
	})
	for want := 1; want < 3; want++ {
		assert.Equal(t, <-runs, want)
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(time.Second)
	}
	assert.Equal(t, <-runs, 3)
	assert.Assert(t, errors.Is(<-task.Done(), errEnd))
}

func TestPanickedTaskEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	task := duty.Supervisor{Clock: clockwork.NewFakeClock(), Logger: zap.NewNop()}.Start(ctx, "task",
		func(context.Context) error { panic("unexpected message") })
	cancel()
	assert.Assert(t, errors.Is(<-task.Done(), context.Canceled))
}
