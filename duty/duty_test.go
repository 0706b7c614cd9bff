package duty_test

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track/duty"
)

func TestWaitReportsFailuresOnly(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	untilCancelled := duty.Start(ctx, "tail log", func(ctx context.Context) error {
		<-ctx.Done()
		return context.Cause(ctx)
	})
	failing := duty.Start(ctx, "probe", func(context.Context) error { return errors.New("no route") })
	cancel()
	err := duty.Wait(zap.NewNop(), untilCancelled, failing)
	assert.Error(t, err, "probe: no route")
}
