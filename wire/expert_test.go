package wire_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/orders"
	"filberttrack.example/track/stand/ranks"
	"filberttrack.example/track/swap"
	"filberttrack.example/track/wire"
)

var baseMap = track.ExpertMap{Experts: 2, Slots: 1, Layers: [][]int32{{0, 1}, {1, 0}}}

// dialRanks returns a client of the gateway to the ranks of a group. Its calls go to the
// gateway over gRPC and from there to the ranks over HTTP.
func dialRanks(t testing.TB, group *ranks.Group) track.RankGateway {
	t.Helper()
	clock := clockwork.NewFakeClock()
	counter := ranks.NewCounter(clock, 1, func() [][]float64 { return [][]float64{{1, 2}, {3, 4}} })
	clock.Advance(1)
	engine := httptest.NewServer(orders.Handler(group.Engines(), counter))
	t.Cleanup(engine.Close)
	backend, err := url.Parse(engine.URL)
	assert.NilError(t, err)
	var engines []track.RankEngine
	for i := range group.Engines() {
		engines = append(engines, orders.NewClient(http.DefaultClient, backend, i))
	}

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := wire.NewServer(zap.NewNop())
	wire.RegisterRankGateway(
		server, swap.NewGateway("a", 7, engines, orders.NewCounter(http.DefaultClient, backend), clock),
	)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	dialer := wire.NewDialer(nil)
	t.Cleanup(func() {
		dialer.Close()
		server.Stop()
		assert.NilError(t, <-served)
	})
	gateway, err := dialer.DialRankGateway(track.Instance{Address: listener.Addr().String()})
	assert.NilError(t, err)
	return gateway
}

// runChange drives a map change to its result with the given ballot number, or restores
// the map of the ranks if the change is nil. It then steps the group, so that the change
// takes effect.
func runChange(
	t *testing.T, group *ranks.Group, gateway track.RankGateway, number uint64, change *track.MapChange,
) swap.Result {
	t.Helper()
	ids := []track.RankID{{Agent: "a", Rank: 0}, {Agent: "a", Rank: 1}}
	plan := swap.Plan{Change: change, Default: baseMap}
	coordinator, pending := swap.NewCoordinator(track.Ballot{Number: number, Driver: "a", Incarnation: 7}, ids, plan)
	for len(pending) > 0 {
		reply, err := gateway.Order(context.Background(), pending[0])
		assert.NilError(t, err)
		pending = append(pending[1:], coordinator.Handle(reply)...)
	}
	result, done := coordinator.Result()
	assert.Assert(t, done)
	for range 10 {
		group.Step()
	}
	assert.NilError(t, group.MapMismatch())
	return result
}

func TestMapChangeOverGRPC(t *testing.T) {
	for _, checksFences := range []bool{true, false} {
		group := ranks.New(ranks.Settings{Ranks: 2, Map: baseMap, ChecksFences: checksFences})
		gateway := dialRanks(t, group)
		change := track.MapChange{Slots: []track.SlotChange{{Layer: 0, Slot: 0, Expert: 1}, {Layer: 0, Slot: 1, Expert: 0}}}
		assert.Equal(t, runChange(t, group, gateway, 1, &change).Outcome, swap.Switched)
		state, err := group.Rank(1).State(context.Background(), true)
		assert.NilError(t, err)
		assert.DeepEqual(t, state.Map.Layers, [][]int32{{1, 0}, {1, 0}})
		assert.Equal(t, state.Map.Version, track.Ballot{Number: 1, Driver: "a", Incarnation: 7})

		// A rank that has restarted gets the map back over the same connections.
		group.Rank(0).Restart()
		assert.Equal(t, runChange(t, group, gateway, 2, nil).Outcome, swap.Settled)
		restored, err := group.Rank(0).State(context.Background(), true)
		assert.NilError(t, err)
		assert.DeepEqual(t, restored.Map, state.Map)
		assert.Equal(t, runChange(t, group, gateway, 1, nil).Outcome, swap.Outbid)
	}
}

func TestExpertCountsOverGRPC(t *testing.T) {
	gateway := dialRanks(t, ranks.New(ranks.Settings{Ranks: 2, Map: baseMap}))
	counts, err := gateway.Counts(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, counts, track.ExpertCounts{Window: 1, Tokens: [][]float64{{1, 2}, {3, 4}}})
}

func TestInvalidOrdersAreRefused(t *testing.T) {
	gateway := dialRanks(t, ranks.New(ranks.Settings{Ranks: 2, Map: baseMap}))
	_, err := gateway.Order(context.Background(), track.MapOrder{
		Kind: track.OrderPromise, To: track.RankID{Agent: "a", Rank: 2},
	})
	assert.Assert(t, track.IsKind(err, track.Invalid), "%v", err)
	// A change to a slot that the map does not have is refused too.
	invalid := track.MapOrder{Kind: track.OrderPrepare, To: track.RankID{Agent: "a"}, Incarnation: 7}
	invalid.Change = &track.MapChange{Slots: []track.SlotChange{{Layer: 2}}}
	refused, err := gateway.Order(context.Background(), invalid)
	assert.NilError(t, err)
	assert.Equal(t, refused.Refusal, track.RefusedRank)
	// Orders without the fields that their kind requires are refused, not carried out.
	for _, kind := range []track.MapOrderKind{track.OrderPrepare, track.OrderRestore} {
		reply, err := gateway.Order(context.Background(), track.MapOrder{
			Kind: kind, To: track.RankID{Agent: "a"}, Incarnation: 7,
		})
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal, track.RefusedRank)
	}
}
