package steer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/swap"
)

// largeGroup is a group of 64 ranks in three zones, as the agent of rank 0 sees it.
type largeGroup struct {
	peers []PeerAgent
	// deadRelay is an agent that doesn't pass anything on, deadMember one that answers
	// nobody but its coordinator.
	deadRelay, deadMember track.InstanceID

	mu            sync.Mutex
	direct        map[track.InstanceID]int
	relayed       int
	longestRelay  int
	relaysOfZones map[track.AvailabilityZone]int
}

const largeGroupRanks = 64

func newLargeGroup() *largeGroup {
	g := &largeGroup{direct: map[track.InstanceID]int{}, relaysOfZones: map[track.AvailabilityZone]int{}}
	for i := 1; i < largeGroupRanks; i++ {
		g.peers = append(g.peers, PeerAgent{
			Agent: agentName(i), Rank: i, Zone: track.AvailabilityZone(fmt.Sprint("zone-", i%3)), AgentAddress: fmt.Sprint(i),
		})
	}
	return g
}

func agentName(i int) track.InstanceID { return track.InstanceID(fmt.Sprintf("side-%02d", i)) }

func (g *largeGroup) balancer() *Balancer {
	return NewBalancer(BalancerOptions{
		Self: agentName(0), Peers: func(string, int64) []PeerAgent { return g.peers }, Relays: g,
		Gateway: swap.NewGateway(agentName(0), 1, nil, nil, clockwork.NewFakeClock()),
		SendOrder: func(_ context.Context, peer PeerAgent, o track.MapOrder) (track.MapReply, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.direct[peer.Agent]++
			return track.MapReply{From: o.To, Kind: o.Kind, Incarnation: o.Incarnation}, nil
		},
		QueryStatus: func(_ context.Context, peer PeerAgent) (track.RankStatus, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.direct[peer.Agent]++
			return track.RankStatus{Rank: peer.Rank, Counts: []float64{1, 2}}, nil
		},
		Clock: clockwork.NewFakeClock(), Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
}

// record counts a call of a relay.
func (g *largeGroup) record(relay PeerAgent, targets []RelayTarget) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relayed++
	g.longestRelay = max(g.longestRelay, len(targets))
	g.relaysOfZones[relay.Zone]++
	if relay.Agent == g.deadRelay {
		return errors.New("no answer")
	}
	return nil
}

func (g *largeGroup) Orders(ctx context.Context, relay PeerAgent, o RelayedOrder) (RelayedReplies, error) {
	if err := g.record(relay, o.Targets); err != nil {
		return RelayedReplies{}, err
	}
	return g.relay().Orders(ctx, o), nil
}

func (g *largeGroup) Statuses(ctx context.Context, relay PeerAgent, targets []RelayTarget) (RelayedStatuses, error) {
	if err := g.record(relay, targets); err != nil {
		return RelayedStatuses{}, err
	}
	return g.relay().Statuses(ctx, targets), nil
}

// relay returns the relay part of any agent of the group.
func (g *largeGroup) relay() Relay {
	return Relay{
		Clock: clockwork.NewFakeClock(),
		SendOrder: func(_ context.Context, target RelayTarget, order track.MapOrder) (track.MapReply, error) {
			if target.Agent == g.deadMember {
				return track.MapReply{}, errors.New("no answer")
			}
			return track.MapReply{From: order.To, Kind: order.Kind, Incarnation: order.Incarnation}, nil
		},
		QueryStatus: func(_ context.Context, target RelayTarget) (track.RankStatus, error) {
			for _, peer := range g.peers {
				if peer.Agent == target.Agent && peer.Agent != g.deadMember {
					return track.RankStatus{Rank: peer.Rank, Counts: []float64{1, 2}}, nil
				}
			}
			return track.RankStatus{}, errors.New("no answer")
		},
	}
}

// The driver of a large group has a link of 6 Mbit/s and a quarter of a core, and each phase of a
// change goes to 63 agents.
func TestOrdersInLargeGroupGoThroughRelays(t *testing.T) {
	g := newLargeGroup()
	b := g.balancer()
	var orders []track.MapOrder
	for i, peer := range g.peers {
		orders = append(orders, track.MapOrder{
			Kind: track.OrderArm, To: track.RankID{Agent: peer.Agent}, Incarnation: track.Incarnation(100 + i),
		})
	}
	g.deadRelay, g.deadMember = agentName(3), agentName(1+8*3)
	type answer struct {
		to    track.RankID
		reply track.MapReply
		err   error
	}
	answers := make(chan answer, len(orders))
	b.sendOrders(t.Context(), orders, func(to track.RankID, reply track.MapReply, err error) {
		answers <- answer{to, reply, err}
	})
	failed := 0
	seen := map[track.InstanceID]bool{}
	for range orders {
		a := <-answers
		assert.Assert(t, !seen[a.to.Agent], "two answers of %s", a.to)
		seen[a.to.Agent] = true
		if a.err != nil {
			failed++
			continue
		}
		assert.Equal(t, a.reply.From, a.to)
	}
	assert.Equal(t, len(g.direct), 0)
	assert.Equal(t, g.longestRelay, 8)
	assert.Assert(t, g.relayed <= 9, "%d calls", g.relayed)
	assert.Equal(t, failed, 9, "those of the dead relay and the dead member, which are sent again directly")
}

func TestSilentAgentsAndSmallGroupsAreCalledDirectly(t *testing.T) {
	g := newLargeGroup()
	g.peers = g.peers[:maxDirectPeers]
	b := g.balancer()
	answers := make(chan track.RankStatus, len(g.peers))
	b.readShares(t.Context(), g.peers, func(share track.RankStatus, _ error) { answers <- share })
	for range g.peers {
		<-answers
	}
	assert.Equal(t, g.relayed, 0)
	assert.Equal(t, len(g.direct), maxDirectPeers)
}

// laggingReports is a rank that was armed just before it is claimed, and reports that with a lag.
type laggingReports struct {
	RemoteRank
	armedAt time.Time
	lag     time.Duration
}

func (laggingReports) Claim(context.Context, uint64) error { return nil }

func (r laggingReports) State(context.Context, bool) (track.RankState, error) {
	if time.Since(r.armedAt) < r.lag {
		return track.RankState{}, nil
	}
	return track.RankState{Armed: &track.MapSwitch{Step: 7}}, nil
}

// A rank is reported to other machines with a lag. A coordinator that decides by such a report must not miss that
// the rank was armed, or disarmed, just before it promised: the ranks would begin a pass with two maps.
func TestDirectPromiseShowsWhatTheRankDidJustBefore(t *testing.T) {
	for _, reported := range []time.Duration{0, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := newLargeGroup()
			b := g.balancer()
			b.options.Clock = clockwork.NewRealClock()
			b.options.Spec = func() (track.ExpertSpec, bool) { return track.ExpertSpec{ReportLag: reported}, true }
			rank := laggingReports{armedAt: time.Now(), lag: 200 * time.Millisecond}
			b.options.DirectRank = func(string) RemoteRank { return rank }
			g.peers[0].Silent = true
			reply, err := b.sendOrder(t.Context(), track.MapOrder{Kind: track.OrderPromise, To: track.RankID{Agent: g.peers[0].Agent}})
			assert.NilError(t, err)
			assert.Assert(t, reply.State.Armed != nil)
			b.options.Spec = func() (track.ExpertSpec, bool) { return track.ExpertSpec{}, false }
			_, err = b.sendOrder(t.Context(), track.MapOrder{Kind: track.OrderPromise, To: track.RankID{Agent: g.peers[0].Agent}})
			assert.Assert(t, track.IsKind(err, swap.EngineFailed), "the lag isn't known: %v", err)
		})
	}
}

// unreadableRank is a rank that doesn't answer.
type unreadableRank struct{ RemoteRank }

func (unreadableRank) Claim(context.Context, uint64) error { return errors.New("no answer") }

func (unreadableRank) State(context.Context, bool) (track.RankState, error) {
	return track.RankState{}, errors.New("no answer")
}

// An agent that is heard again must not get the orders that rest on a promise made without it: it would refuse
// them, and the switch would stay undecided.
func TestOrdersAfterDirectPromiseAreSentDirectly(t *testing.T) {
	for _, size := range []int{2, largeGroupRanks - 1} {
		g := newLargeGroup()
		g.peers = g.peers[:size]
		b := g.balancer()
		b.options.DirectRank = func(string) RemoteRank { return unreadableRank{} }
		peer := &g.peers[0]
		peer.RankAddress, peer.Silent = "rank-1", true
		to := track.RankID{Agent: peer.Agent}
		_, err := b.sendOrder(t.Context(), track.MapOrder{Kind: track.OrderPromise, To: to})
		assert.Assert(t, track.IsKind(err, swap.EngineFailed), "%v", err)

		peer.Silent = false
		promised := track.Incarnation(b.options.Clock.Now().UnixMilli())
		var orders []track.MapOrder
		for _, p := range g.peers {
			orders = append(orders, track.MapOrder{Kind: track.OrderCommit, To: track.RankID{Agent: p.Agent}, Incarnation: 7})
		}
		orders[0].Incarnation = promised
		failures := make(chan error, len(orders))
		b.sendOrders(t.Context(), orders, func(_ track.RankID, _ track.MapReply, err error) { failures <- err })
		failed := 0
		for range orders {
			if track.IsKind(<-failures, swap.EngineFailed) {
				failed++
			}
		}
		assert.Equal(t, failed, 1, "only the rank itself was asked, %d ranks", size+1)
		assert.Equal(t, g.direct[peer.Agent], 0)
		orders[0].Incarnation = 8
		_, err = b.sendOrder(t.Context(), orders[0])
		assert.NilError(t, err, "a promise of the agent itself")
	}
}

func TestStatesOfLargeGroupAreReadThroughRelays(t *testing.T) {
	g := newLargeGroup()
	g.deadRelay, g.deadMember = agentName(3), agentName(1+8*3)
	b := g.balancer()
	type answer struct {
		share track.RankStatus
		err   error
	}
	answers := make(chan answer, len(g.peers))
	b.readShares(t.Context(), g.peers, func(share track.RankStatus, err error) { answers <- answer{share, err} })
	sum := [2]float64{}
	ranks := map[int]bool{}
	for range g.peers {
		a := <-answers
		assert.NilError(t, a.err)
		ranks[a.share.Rank] = true
		for i, n := range a.share.Counts {
			sum[i] += n
		}
	}
	assert.Equal(t, len(ranks), largeGroupRanks-1)
	assert.Equal(t, sum, [2]float64{largeGroupRanks - 1, 2 * (largeGroupRanks - 1)})
	assert.Equal(t, len(g.direct), 9, "those that the relays got no answer from")
}
