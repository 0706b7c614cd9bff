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

// BenchmarkMapChange measures a complete map change of 64 ranks behind one agent,
// without fetching expert weights: four rounds of orders over gRPC and HTTP.
func BenchmarkMapChange(b *testing.B) {
	shape := expert.Shape{Ranks: 64, Layers: 60, Experts: 64, Slots: 3}
	base := expert.Uniform(shape).Map()
	group := ranks.New(ranks.Settings{Ranks: shape.Ranks, Map: base})
	gateway := dialRanks(b, group)
	var ids []track.RankID
	for i := range shape.Ranks {
		ids = append(ids, track.RankID{Agent: "a", Rank: i})
	}
	// armedTime is the time from the first arm order to the last commit, summed over all
	// changes. Ranks stall in a change in which that is longer than the steps between
	// the two.
	var firstArm time.Time
	var armedTime time.Duration
	var mu sync.Mutex
	send := func(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
		mu.Lock()
		if o.Kind == track.OrderArm && firstArm.IsZero() {
			firstArm = time.Now()
		}
		mu.Unlock()
		return gateway.Order(ctx, o)
	}
	runner := swap.Runner{Clock: clockwork.NewRealClock(), Timing: swap.DefaultTiming(), Send: send}
	number, version := uint64(0), track.Ballot{}
	for b.Loop() {
		number++
		ballot := track.Ballot{Number: number, Driver: "a", Incarnation: 7}
		coordinator, orders := swap.NewCoordinator(
			ballot, ids, swap.Plan{Change: &track.MapChange{Base: version}, Default: base},
		)
		result, err := runner.Run(context.Background(), coordinator, orders)
		assert.NilError(b, err)
		assert.Equal(b, result.Outcome, swap.Switched, result.Reason)
		version = ballot
		b.StopTimer()
		armedTime += time.Since(firstArm)
		firstArm = time.Time{}
		for range 10 {
			group.Step()
		}
		b.StartTimer()
	}
	b.ReportMetric(armedTime.Seconds()*1000/float64(number), "ms-armed/op")
}
