package logger_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track/logger"
)

func TestBlockedReaderDoesNotBlockLogging(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	log, writer := logger.NewAsync(&out, clock)
	// Run is not started yet, so nothing is written, as if the reader had stopped.
	for range 5000 {
		log.Info("request served", zap.String("RequestID", "r"))
	}
	assert.Equal(t, writer.Dropped(), uint64(5000-2048))
	// Warnings are still queued while lines of level info are dropped.
	for range 2100 {
		log.With(zap.String("Instance", "front-1")).Warn("request failed", zap.String("RequestID", "f"))
	}
	assert.Equal(t, writer.Dropped(), uint64(5000-2048+52))
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- writer.Run(ctx) }()
	waitCtx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	assert.NilError(t, clock.BlockUntilContext(waitCtx, 1))
	cancel()
	<-runErr
	assert.Assert(t, strings.Contains(out.String(), `"RequestID":"r"`))
	assert.Equal(t, strings.Count(out.String(), `"Instance":"front-1","RequestID":"f"`), 2048)
	assert.Assert(t, strings.Contains(out.String(), `"Message":"log lines dropped","Dropped":3004`),
		"dropped lines are reported")
}
