package send

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/pick"
	"filberttrack.example/track/retry"
)

// discardGossip is a track.Gossip that sends and receives nothing.
type discardGossip struct{}

func (discardGossip) Publish(track.Notice) {}

func (discardGossip) Summarize(track.Topic, func() []byte) {}

func (discardGossip) Subscribe(track.Topic, func(track.Notice)) {}

// TestOnlyCompletedAttemptClearsSuspect checks that an isolated attempt which
// was refused or cut off doesn't clear a crash suspect, as it proves nothing.
func TestOnlyCompletedAttemptClearsSuspect(t *testing.T) {
	cases := []struct {
		name         string
		finalFrame   track.Frame
		wantSuspects int
	}{
		{"refused", track.Frame{Kind: track.FrameFinal, Outcome: track.NotRun, Refusal: track.RefusedBackendServerDown}, 1},
		{"cut off", track.Frame{Kind: track.FrameFinal, Outcome: track.Unknown}, 1},
		{"completed", track.Frame{Kind: track.FrameFinal, Outcome: track.Completed}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			tracker := crash.New(clock, crash.DefaultPolicy(), "entry-1", discardGossip{}, zap.NewNop(), metrics.NewSet())
			const fingerprint = 13
			tracker.Begin(fingerprint)
			tracker.Finish(fingerprint, crash.RunResult{Crashed: true})
			tracker.Begin(fingerprint)
			step := New(Options{
				Router: pick.New(), Clock: clock, Logger: zap.NewNop(), Crashes: tracker,
				Retries: retry.New(clock, rand.New(rand.NewPCG(1, 1))),
			})
			e := &execution{step: step, exchange: &flow.Exchange{Call: track.Call{Fingerprint: fingerprint}}}
			e.recordResult(context.Background(), &attempt{
				finalFrame: &c.finalFrame,
				choice:     track.RoutingDecision{Isolated: true},
			})
			assert.Equal(t, len(tracker.List()), c.wantSuspects)
		})
	}
}
