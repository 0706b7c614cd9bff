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

// sessionClock gives log lines the time of the group's clock.
type sessionClock struct{ group *group }

func (c sessionClock) Now() time.Time { return c.group.clock.Now() }

func (c sessionClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// A rank dies between arming and the decision of the change that answers the
// lunch jump. The change is finished once the rank is back.
func TestSessionLunchJumpWithDyingRank(t *testing.T) {
	var out bytes.Buffer
	var start time.Time
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{
		MessageKey: "M", NameKey: "N", TimeKey: "T", EncodeName: zapcore.FullNameEncoder,
		EncodeTime: func(at time.Time, e zapcore.PrimitiveArrayEncoder) {
			e.AppendString(fmt.Sprintf("%4.0fs", at.Sub(start).Seconds()))
		},
		EncodeDuration: zapcore.StringDurationEncoder, ConsoleSeparator: " ",
	})
	core := zapcore.NewCore(encoder, zapcore.AddSync(&out), zapcore.InfoLevel)
	g := newLoggedGroup(4, func(g *group, id track.InstanceID) *zap.Logger {
		return zap.New(core, zap.WithClock(sessionClock{g})).Named(string(id))
	})
	start = g.clock.Now()
	ranks := zap.New(core, zap.WithClock(sessionClock{g})).Named("ranks")
	victim := track.RankID{Agent: "agent-2", Rank: 1}
	jumped := false
	var once sync.Once
	g.before = func(o track.MapOrder) {
		if jumped && o.Kind == track.OrderCommit && o.To == victim {
			once.Do(g.ranks.Rank(5).Restart)
		}
	}
	version, open := track.Ballot{}, uint64(0)
	for second := range 40 {
		jumped = second >= 20
		g.run(t, 1, 0, 1, 2, 3)
		state, err := g.ranks.Rank(0).State(context.Background(), true)
		assert.NilError(t, err)
		now := g.ranks.Open()
		if state.Map.Version != version || now-open != 20 {
			ranks.Info("steps", zap.Uint64("Open", now), zap.Uint64("Map", state.Map.Version.Number))
		}
		version, open = state.Map.Version, now
	}
	golden.Assert(t, out.String(), "lunch-jump.golden")
}
