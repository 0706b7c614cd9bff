package steer_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"filberttrack.example/track"
)

// logClock gives log lines the time of the group's fake clock.
type logClock struct{ group *group }

func (c logClock) Now() time.Time { return c.group.clock.Now() }

func (c logClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// Guards against a change that is never finished: the load jumps after 20 s, and a rank
// restarts after the resulting change was armed but before it is committed there. Another
// agent must settle the change once the rank is back.
func TestChangeIsSettledAfterRankRestartsBeforeCommit(t *testing.T) {
	var logOutput bytes.Buffer
	var start time.Time
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{
		MessageKey: "M", NameKey: "N", TimeKey: "T", EncodeName: zapcore.FullNameEncoder,
		EncodeTime: func(at time.Time, e zapcore.PrimitiveArrayEncoder) {
			e.AppendString(fmt.Sprintf("%4.0fs", at.Sub(start).Seconds()))
		},
		EncodeDuration: zapcore.StringDurationEncoder, ConsoleSeparator: " ",
	})
	core := zapcore.NewCore(encoder, zapcore.AddSync(&logOutput), zapcore.InfoLevel)
	g := newLoggedGroup(4, func(g *group, id track.InstanceID) *zap.Logger {
		return zap.New(core, zap.WithClock(logClock{g})).Named(string(id))
	})
	start = g.clock.Now()
	ranksLogger := zap.New(core, zap.WithClock(logClock{g})).Named("ranks")
	restartingRank := track.RankID{Agent: "agent-2", Rank: 1}
	jumped := false
	var restartOnce sync.Once
	g.before = func(o track.MapOrder) {
		if jumped && o.Kind == track.OrderCommit && o.To == restartingRank {
			restartOnce.Do(g.ranks.Rank(5).Restart)
		}
	}
	lastVersion, lastOpen := track.Ballot{}, uint64(0)
	for second := range 40 {
		jumped = second >= 20
		g.run(t, 1, 0, 1, 2, 3)
		state, err := g.ranks.Rank(0).State(context.Background(), true)
		assert.NilError(t, err)
		open := g.ranks.Open()
		if state.Map.Version != lastVersion || open-lastOpen != 20 {
			ranksLogger.Info("steps", zap.Uint64("Open", open), zap.Uint64("Map", state.Map.Version.Number))
		}
		lastVersion, lastOpen = state.Map.Version, open
	}
	golden.Assert(t, logOutput.String(), "lunch-jump.golden")
}
