package steer_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
	"filberttrack.example/track/stand/ranks"
	"filberttrack.example/track/steer"
	"filberttrack.example/track/swap"
)

var shape = expert.Shape{Ranks: 8, Layers: 2, Experts: 32, Slots: 6}

// group is a rank group of four agents with two ranks each.
type group struct {
	clock    *clockwork.FakeClock
	ranks    *ranks.Group
	agents   []track.Instance
	steers   []*steer.Controller
	gateways map[track.InstanceID]*swap.Gateway
	sets     []*metrics.Set
	// before, if set, is called before each order to another agent.
	before func(track.MapOrder)
}

// gatewayWithHook calls the group's hook before each order to an agent.
type gatewayWithHook struct {
	track.RankGateway
	group *group
}

func (h gatewayWithHook) Order(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	if h.group.before != nil {
		h.group.before(o)
	}
	return h.RankGateway.Order(ctx, o)
}

func (g *group) dial(to track.Instance) (track.RankGateway, error) {
	return gatewayWithHook{RankGateway: g.gateways[to.ID], group: g}, nil
}

// jumpingCounts returns counts whose distribution changes at the window jump.
type jumpingCounts struct {
	clock clockwork.Clock
	start time.Time
	jump  uint64
}

func (c *jumpingCounts) Counts(context.Context) (track.ExpertCounts, error) {
	window := uint64(c.clock.Since(c.start) / steer.CountWindow)
	seed := uint64(1)
	if window >= c.jump {
		seed = 2
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	tokens := expert.NewLoads(shape)
	for layer := range tokens {
		for e := range tokens[layer] {
			tokens[layer][e] = math.Round(1000 * math.Exp(rng.NormFloat64()))
		}
	}
	return track.ExpertCounts{Window: window, Tokens: tokens}, nil
}

func newGroup(jump uint64) *group {
	return newLoggedGroup(jump, func(*group, track.InstanceID) *zap.Logger { return zap.NewNop() })
}

func newLoggedGroup(jump uint64, logger func(*group, track.InstanceID) *zap.Logger) *group {
	g := &group{
		clock:    clockwork.NewFakeClock(),
		ranks:    ranks.New(ranks.Settings{Ranks: shape.Ranks, Map: expert.Uniform(shape).Map()}),
		gateways: map[track.InstanceID]*swap.Gateway{},
	}
	counter := &jumpingCounts{clock: g.clock, start: g.clock.Now(), jump: jump}
	for i := range 4 {
		id := track.InstanceID(fmt.Sprintf("agent-%d", i))
		g.agents = append(g.agents, track.Instance{ID: id, Group: "g", Ranks: 2})
		g.gateways[id] = swap.NewGateway(id, 1, g.ranks.Engines()[2*i:2*i+2], counter, g.clock)
	}
	for i, agent := range g.agents {
		g.sets = append(g.sets, metrics.NewSet())
		g.steers = append(g.steers, steer.New(steer.Options{
			Self: agent.ID, Incarnation: 1, Gateway: g.gateways[agent.ID],
			GroupAgents: func() []track.Instance { return g.agents },
			Dial:        g.dial,
			Policy:      func() track.ExpertPolicy { return track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.01} },
			Store:       steer.WeightStore{ExpertBytes: 1 << 20, BytesPerSecond: 1 << 30, StagedCopies: 100},
			DefaultMap:  expert.Uniform(shape).Map(),
			Clock:       g.clock, Logger: logger(g, agent.ID), Metrics: g.sets[i],
		}))
	}
	return g
}

// run advances the clock second by second. The given agents tick once a second; the
// others are silent.
func (g *group) run(t *testing.T, seconds int, alive ...int) {
	t.Helper()
	for range seconds {
		g.clock.Advance(time.Second)
		for _, i := range alive {
			g.steers[i].Tick(context.Background())
		}
		for range 20 {
			g.ranks.Step()
		}
		assert.NilError(t, g.ranks.MapMismatch())
	}
}

// coordinator returns the agent that made the latest change of the map; empty if there is
// none.
func (g *group) coordinator() track.InstanceID {
	state, _ := g.ranks.Rank(0).State(context.Background(), true)
	return state.Map.Version.Driver
}

func TestFirstAgentRebalancesAfterLoadJump(t *testing.T) {
	g := newGroup(20)
	g.run(t, 90, 0, 1, 2, 3)
	first := g.steers[0].Report()
	assert.Equal(t, g.coordinator(), track.InstanceID("agent-0"))
	assert.Assert(t, first.Skew < 1.1, "skew %v", first.Skew)
	g.run(t, 30, 0, 1, 2, 3)
	second := g.steers[0].Report()
	assert.Assert(t, second.Skew < 1.1, "skew %v after the jump", second.Skew)
	assert.Assert(t, second.Map.Version != first.Map.Version)
	assert.Assert(t, g.sets[0].GetOrCreateCounter("filberttrack_expert_moved_bytes_total").Get() > 0)
}

func TestNextAgentTakesOverFromSilentAgent(t *testing.T) {
	g := newGroup(1000)
	g.run(t, 10, 1, 2, 3)
	assert.Equal(t, g.coordinator(), track.InstanceID(""))
	g.run(t, 30, 1, 2, 3)
	assert.Equal(t, g.coordinator(), track.InstanceID("agent-1"))
}

func TestTwoCoordinatorsAtOnceKeepGroupWorking(t *testing.T) {
	g := newGroup(3)
	for range 60 {
		g.clock.Advance(time.Second)
		var tickers sync.WaitGroup
		for _, s := range g.steers[:2] {
			tickers.Go(func() { s.Tick(context.Background()) })
		}
		tickers.Wait()
		for range 20 {
			g.ranks.Step()
		}
		assert.NilError(t, g.ranks.MapMismatch())
	}
	before := g.ranks.Open()
	g.run(t, 5, 0)
	assert.Assert(t, g.ranks.Open() > before, "the group does not step")
}

func TestPausedAgentOnlyPlans(t *testing.T) {
	g := newGroup(1000)
	g.steers[0].SetPaused(true)
	g.run(t, 20, 0)
	report := g.steers[0].Report()
	assert.Assert(t, report.Paused && len(report.Moves) > 0 && report.Bytes > 0, "%+v", report)
	assert.Equal(t, g.coordinator(), track.InstanceID(""))
	g.steers[0].SetPaused(false)
	g.run(t, 20, 0)
	assert.Equal(t, g.coordinator(), track.InstanceID("agent-0"))
}

func TestIncompleteGroupKeepsItsMap(t *testing.T) {
	g := newGroup(1000)
	g.agents = g.agents[:3]
	g.run(t, 20, 0, 1, 2)
	assert.Equal(t, g.coordinator(), track.InstanceID(""))
}

func TestBlankRankIsRestored(t *testing.T) {
	g := newGroup(1000)
	g.run(t, 20, 0, 1, 2, 3)
	g.ranks.Rank(5).Restart()
	g.run(t, 10, 1, 2, 3)
	before := g.ranks.Open()
	g.run(t, 2, 1, 2, 3)
	assert.Assert(t, g.ranks.Open() > before, "the group does not step")
}
