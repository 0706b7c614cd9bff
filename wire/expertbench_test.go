package wire_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
	"filberttrack.example/track/stand/ranks"
	"filberttrack.example/track/swap"
)

// BenchmarkChange measures a whole change of 64 ranks behind one agent, without
// the fetch: four rounds of orders over gRPC and HTTP.
func BenchmarkChange(b *testing.B) {
	shape := expert.Shape{Ranks: 64, Layers: 60, Experts: 64, Slots: 3}
	base := expert.Uniform(shape).Map()
	group := ranks.New(ranks.Settings{Ranks: shape.Ranks, Map: base})
	door := doorOf(b, group)
	var ids []track.RankID
	for i := range shape.Ranks {
		ids = append(ids, track.RankID{Agent: "a", Rank: i})
	}
	// decided is the time from the first arming to the last commit: ranks hold if
	// it is longer than the steps between.
	var armed time.Time
	var decided time.Duration
	var mu sync.Mutex
	send := func(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
		mu.Lock()
		if o.Kind == track.OrderArm && armed.IsZero() {
			armed = time.Now()
		}
		mu.Unlock()
		return door.Order(ctx, o)
	}
	runner := swap.Runner{Clock: clockwork.NewRealClock(), Timing: swap.DefaultTiming(), Send: send}
	number, version := uint64(0), track.Ballot{}
	for b.Loop() {
		number++
		ballot := track.Ballot{Number: number, Driver: "a", Incarnation: 7}
		d, first := swap.NewCoordinator(ballot, ids, swap.Plan{Change: &track.MapChange{Base: version}, Default: base})
		result, err := runner.Run(context.Background(), d, first)
		assert.NilError(b, err)
		assert.Equal(b, result.Outcome, swap.Switched, result.Reason)
		version = ballot
		b.StopTimer()
		decided += time.Since(armed)
		armed = time.Time{}
		for range 10 {
			group.Step()
		}
		b.StartTimer()
	}
	b.ReportMetric(decided.Seconds()*1000/float64(number), "ms-armed/op")
}
