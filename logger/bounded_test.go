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

func TestABlockedReaderHoldsUpNobody(t *testing.T) {
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	log, lines := logger.NewBounded(&out, clock)
	// Nothing is written yet, as with a reader that stopped.
	for range 5000 {
		log.Info("request served", zap.String("RequestID", "r"))
	}
	assert.Equal(t, lines.Dropped(), uint64(5000-2048))
	// Lines of what failed find room while good ones are dropped.
	for range 2100 {
		log.With(zap.String("Instance", "front-1")).Warn("request failed", zap.String("RequestID", "f"))
	}
	assert.Equal(t, lines.Dropped(), uint64(5000-2048+52))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- lines.Run(ctx) }()
	waiting, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	assert.NilError(t, clock.BlockUntilContext(waiting, 1))
	cancel()
	<-ended
	assert.Assert(t, strings.Contains(out.String(), `"RequestID":"r"`))
	assert.Equal(t, strings.Count(out.String(), `"Instance":"front-1","RequestID":"f"`), 2048)
	assert.Assert(t, strings.Contains(out.String(), `"Message":"log lines dropped","Dropped":3004`), "drops are reported")
}
