package steer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/steer"
	"filberttrack.example/track/swap"
)

// balancedGroup is a rank group with one Balancer for each rank; they call each other
// directly. Each rank starts with two of six experts and has three slots.
type balancedGroup struct {
	t         *testing.T
	clock     clockwork.Clock
	advance   func(time.Duration)
	ranks     []*fakeRank
	balancers []*steer.Balancer
	silent    map[int]bool
	// peersUnknown is set while the agents don't know of each other.
	peersUnknown bool
}

const (
	numRanks   = 3
	numExperts = 6
)

// fakeRank is a rank engine that carries out orders at once.
type fakeRank struct {
	track.RankState
	index    int
	counts   []float64
	slowdown float64
	held     [][]int32
	// detailReads counts the reads of counts and experts.
	detailReads int
	next        track.ExpertMap
}

func newBalancedGroup(t *testing.T, options ...func(*steer.BalancerOptions)) *balancedGroup {
	clock := clockwork.NewFakeClock()
	return newBalancedGroupWithClock(t, clock, clock.Advance, options...)
}

// newBalancedGroupWithClock returns a group whose time passes by calls of advance.
func newBalancedGroupWithClock(
	t *testing.T, clock clockwork.Clock, advance func(time.Duration), options ...func(*steer.BalancerOptions),
) *balancedGroup {
	g := &balancedGroup{t: t, clock: clock, advance: advance, silent: map[int]bool{}}
	for i := range numRanks {
		g.ranks = append(g.ranks, &fakeRank{
			index: i, counts: make([]float64, numExperts), slowdown: 1, held: [][]int32{{int32(2 * i), int32(2*i + 1)}},
			RankState: track.RankState{StartID: 1, Step: 1},
		})
	}
	var gateways []*swap.Gateway
	for i := range numRanks {
		gateways = append(gateways, swap.NewGateway(agentID(i), 1, []track.RankEngine{g.ranks[i]}, nil, g.clock))
	}
	for i := range numRanks {
		o := steer.BalancerOptions{
			Self: agentID(i), Reader: g.ranks[i], Gateway: gateways[i],
			Peers:      func(string, int64) []steer.PeerAgent { return g.peers(i) },
			DirectRank: func(server string) steer.RemoteRank { return g.ranks[rankNumber(server)] },
			QueryStatus: func(ctx context.Context, m steer.PeerAgent) (track.RankStatus, error) {
				share, _, err := g.balancers[m.Rank].ReadOwnStatus(ctx)
				return share, err
			},
			SendOrder: func(ctx context.Context, m steer.PeerAgent, o track.MapOrder) (track.MapReply, error) {
				return gateways[m.Rank].Order(ctx, o)
			},
			Spec: func() (track.ExpertSpec, bool) {
				return track.ExpertSpec{
					Layers: 1, Experts: numExperts, SlotsPerRank: 3, StagedPerLayer: 2, ExpertBytes: 1e8, LinkBytesPerSecond: 1e9,
				}, true
			},
			Clock: g.clock, Logger: zap.NewNop(), Metrics: metrics.NewSet(), OnStatus: func(track.RankStatus) {},
		}
		for _, option := range options {
			option(&o)
		}
		g.balancers = append(g.balancers, steer.NewBalancer(o))
	}
	return g
}

func agentID(i int) track.InstanceID { return track.InstanceID(fmt.Sprintf("agent-%d", i)) }

// rankNumber returns the number of the rank with the given address.
func rankNumber(server string) int { return int(server[0] - '0') }

func (g *balancedGroup) peers(self int) []steer.PeerAgent {
	var peers []steer.PeerAgent
	if g.peersUnknown {
		return nil
	}
	for i := range numRanks {
		if i != self {
			peers = append(peers, steer.PeerAgent{
				Agent: agentID(i), Rank: i, RankAddress: fmt.Sprint(i), Slowdown: g.ranks[i].slowdown, Silent: g.silent[i],
			})
		}
	}
	return peers
}

// serve runs the given number of rounds, 100 ms apart. In each round, requests on all
// ranks choose experts by weight, each agent that isn't silent ticks once, and the ranks
// begin a pass.
func (g *balancedGroup) serve(weights [numExperts]float64, rounds int) {
	for range rounds {
		for _, r := range g.ranks {
			counts := make([]float64, numExperts)
			for e, n := range weights {
				counts[e] = r.counts[e] + n
			}
			r.counts = counts
		}
		for i, b := range g.balancers {
			if !g.silent[i] {
				b.Tick(g.t.Context())
			}
		}
		for _, r := range g.ranks {
			r.beginPass()
		}
		g.advance(100 * time.Millisecond)
	}
}

// skew returns the load of the most loaded rank, weighted by its slowdown, over the mean.
func (g *balancedGroup) skew(weights [numExperts]float64) float64 {
	copies, total, most := [numExperts]float64{}, 0.0, 0.0
	for _, r := range g.ranks {
		for _, e := range r.held[0] {
			copies[e]++
		}
	}
	for _, n := range weights {
		total += n
	}
	for _, r := range g.ranks {
		sum := 0.0
		for _, e := range r.held[0] {
			sum += weights[e] / copies[e]
		}
		most = max(most, sum*r.slowdown)
	}
	return most * numRanks / total
}

// beginPass begins the next pass, in which an armed and decided switch takes effect. The
// rank waits while the switch is armed for this pass but not decided.
func (r *fakeRank) beginPass() {
	if r.Armed != nil && !r.Committed && r.Armed.Step == r.Step {
		return
	}
	if r.Armed != nil && r.Armed.Step == r.Step {
		r.Map.Version, r.Armed, r.Prepared, r.Committed = r.Armed.Version, nil, nil, false
		r.held = [][]int32{nil}
		for _, e := range r.next.Layers[0][r.index*r.next.Slots : (r.index+1)*r.next.Slots] {
			if e != track.NoExpert {
				r.held[0] = append(r.held[0], e)
			}
		}
	}
	r.Step++
}

// Status implements track.RankReader.
func (r *fakeRank) Status(context.Context) (track.RankStatus, error) {
	return track.RankStatus{
		Group: "g", Epoch: 1, Rank: r.index, Ranks: numRanks, Serving: true, StartID: 1, Slowdown: r.slowdown,
		Step: r.Step, Version: r.Map.Version, AwaitingDecision: r.Armed != nil && !r.Committed,
	}, nil
}

// WithExperts implements track.RankReader.
func (r *fakeRank) WithExperts(_ context.Context, share track.RankStatus) (track.RankStatus, error) {
	r.detailReads++
	share.Counts, share.HeldExperts = r.counts, r.held
	return share, nil
}

// State implements track.RankEngine.
func (r *fakeRank) State(context.Context, bool) (track.RankState, error) { return r.RankState, nil }

// Prepare implements track.RankEngine.
func (r *fakeRank) Prepare(_ context.Context, _ uint64, m track.ExpertMap) error {
	r.next, r.Prepared = m, &track.ExpertMap{Version: m.Version}
	return nil
}

// Arm implements track.RankEngine.
func (r *fakeRank) Arm(_ context.Context, _ uint64, s track.MapSwitch, _ uint64) error {
	r.Armed, r.Committed = &s, false
	return nil
}

// ReplaceArmID implements track.RankEngine.
func (r *fakeRank) ReplaceArmID(context.Context, uint64, uint64) error { return nil }

// Commit implements track.RankEngine.
func (r *fakeRank) Commit(context.Context, uint64, uint64) error {
	r.Committed = true
	return nil
}

// Disarm implements track.RankEngine.
func (r *fakeRank) Disarm(context.Context, uint64, uint64) error {
	r.Armed = nil
	return nil
}

// Claim implements track.RankClaimer.
func (r *fakeRank) Claim(context.Context, uint64) error { return nil }

// Restore implements track.RankEngine.
func (r *fakeRank) Restore(context.Context, uint64, track.RankState) error { return nil }

var (
	firstExpertHot = [numExperts]float64{9000, 600, 600, 600, 600, 600}
	lastExpertHot  = [numExperts]float64{600, 600, 600, 600, 600, 9000}
)

func TestBalancerSpreadsHotExpertsAfterDemandShift(t *testing.T) {
	g := newBalancedGroup(t)
	assert.Assert(t, g.skew(firstExpertHot) > 2.3)
	g.serve(firstExpertHot, 20)
	assert.Assert(t, g.skew(firstExpertHot) < 1.2, "skew %.2f", g.skew(firstExpertHot))
	assert.Assert(t, g.skew(lastExpertHot) > 1.9)
	g.serve(lastExpertHot, 15)
	assert.Assert(t, g.skew(lastExpertHot) < 1.4, "skew %.2f 1.5 s after the shift", g.skew(lastExpertHot))
}

func TestBalancerKeepsMapUnderSteadyDemand(t *testing.T) {
	g := newBalancedGroup(t)
	g.serve(firstExpertHot, 30)
	version := g.ranks[0].Map.Version
	g.serve(firstExpertHot, 60)
	assert.Equal(t, g.ranks[0].Map.Version, version, "a change that reduces the skew only a little must not be made")
}

// Engines that don't check fencing tokens get changes of the map as well, but only from their own agents.
func TestBalancerWithoutDirectAccessToRanks(t *testing.T) {
	g := newBalancedGroup(t, func(o *steer.BalancerOptions) { o.DirectRank = nil })
	g.serve(firstExpertHot, 30)
	version := g.ranks[0].Map.Version
	assert.Assert(t, version != track.Ballot{}, "the map must be changed")
	g.silent[1] = true
	g.serve(lastExpertHot, 30)
	assert.Equal(t, g.ranks[0].Map.Version, version, "the silent agent could still carry out an order of an earlier driver")
	g.silent[1] = false
	g.serve(lastExpertHot, 30)
	assert.Assert(t, g.ranks[0].Map.Version != version, "the map must be changed once the agent is back")
}

func TestBalancerMovesExpertsOffSlowRank(t *testing.T) {
	even := [numExperts]float64{2000, 2000, 2000, 2000, 2000, 2000}
	g := newBalancedGroup(t)
	// After this the group is no longer new, and plans are less frequent.
	g.serve(even, 41)
	g.ranks[1].slowdown = 5
	assert.Assert(t, g.skew(even) > 4.5)
	g.serve(even, 5)
	assert.Assert(t, g.skew(even) < 3.5, "skew %.2f half a second later", g.skew(even))
	g.serve(even, 25)
	assert.Assert(t, g.skew(even) < 2.5, "skew %.2f", g.skew(even))
}

// When all agents restart at once, each reads its own rank before it has received a
// message from the others. The first plan therefore fails and must be repeated soon.
func TestBalancerPlansForNewGroupSoon(t *testing.T) {
	g := newBalancedGroup(t)
	g.peersUnknown = true
	g.serve(firstExpertHot, 3)
	g.peersUnknown = false
	g.serve(firstExpertHot, 7)
	assert.Assert(t, g.skew(firstExpertHot) < 1.6,
		"skew %.2f 0.7 s after the agents learned of each other", g.skew(firstExpertHot))
}

func TestNextBalancerTakesOverFromSilentAgent(t *testing.T) {
	// The takeover waits until the reports of the silent agent's rank are recent.
	synctest.Test(t, func(t *testing.T) {
		g := newBalancedGroupWithClock(t, clockwork.NewRealClock(), time.Sleep)
		g.serve(firstExpertHot, 20)
		g.silent[0] = true
		g.serve(lastExpertHot, 30)
		assert.Assert(t, g.skew(lastExpertHot) < 1.6,
			"skew %.2f: the rank of the silent agent must take part in changes", g.skew(lastExpertHot))
	})
}

// A large group has thousands of counts. They change with the steps of the rank only, so they aren't
// read more often.
func TestCountsAreReadOncePerStep(t *testing.T) {
	g := newBalancedGroup(t)
	for range 5 {
		_, _, err := g.balancers[0].ReadOwnStatus(t.Context())
		assert.NilError(t, err)
	}
	assert.Equal(t, g.ranks[0].detailReads, 1)
	g.ranks[0].beginPass()
	status, _, err := g.balancers[0].ReadOwnStatus(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, g.ranks[0].detailReads, 2)
	assert.DeepEqual(t, status.HeldExperts, g.ranks[0].held)
}

// An engine that lists an expert which its model doesn't have must not take the agent down.
func TestUnknownExpertsKeepTheMap(t *testing.T) {
	for _, expert := range []int32{-1, numExperts, 1 << 30} {
		g := newBalancedGroup(t)
		g.ranks[1].held = [][]int32{{0, expert}}
		g.serve(firstExpertHot, 10)
		assert.Equal(t, g.ranks[0].Map.Version, track.Ballot{})
	}
}
