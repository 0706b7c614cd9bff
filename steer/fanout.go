package steer

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

const (
	// maxDirectPeers is the number of other agents up to which all are called directly.
	maxDirectPeers = 12
	// relayOrderTimeout is the time after which a relay replies without the agents that have
	// not answered. They are then called directly.
	relayOrderTimeout = 150 * time.Millisecond
	// relayPrepareTimeout is that time for an order to prepare a map, whose answers wait for
	// the copies.
	relayPrepareTimeout = 400 * time.Millisecond
)

// RelayTarget is an agent that a relay calls.
type RelayTarget struct {
	Agent   track.InstanceID
	Address string
	// Incarnation is that of the agent's member; see track.MapOrder.
	Incarnation track.Incarnation
}

// RelayedOrder is an order that an agent passes on to the agents of other ranks of its
// group.
type RelayedOrder struct {
	// Order is the order without its member.
	Order   track.MapOrder
	Targets []RelayTarget
}

// RelayedReplies holds the replies of the agents that answered in time.
type RelayedReplies struct {
	Replies []track.MapReply
}

// RelayedStatuses holds the states of the ranks whose agents answered in time.
type RelayedStatuses struct {
	// Shares holds the states without counts.
	Shares []track.RankStatus
	// Counts is the sum of the counts of all these ranks.
	Counts []float64
}

// Relays is the interface through which the coordinator of a large group reaches other agents
// through some of them, so that neither its link nor its processor limits the group.
type Relays interface {
	// Orders passes an order on through the relay.
	Orders(ctx context.Context, relay PeerAgent, o RelayedOrder) (RelayedReplies, error)
	// Statuses reads the states of the ranks of several agents through the relay.
	Statuses(ctx context.Context, relay PeerAgent, targets []RelayTarget) (RelayedStatuses, error)
}

// relayGroups divides agents into groups of about the square root of their number, each in
// one availability zone. The first agent of a group is its relay.
func relayGroups(peers []PeerAgent) [][]PeerAgent {
	sorted := slices.SortedFunc(slices.Values(peers), func(a, b PeerAgent) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rank, b.Rank))
	})
	size := int(math.Ceil(math.Sqrt(float64(len(peers)))))
	var groups [][]PeerAgent
	for _, peer := range sorted {
		last := len(groups) - 1
		if last >= 0 && len(groups[last]) < size && groups[last][0].Zone == peer.Zone {
			groups[last] = append(groups[last], peer)
			continue
		}
		groups = append(groups, []PeerAgent{peer})
	}
	return groups
}

// targetsOf returns the agents as targets of a relay, with the incarnations of their members.
func targetsOf(peers []PeerAgent, incarnations map[track.InstanceID]track.Incarnation) []RelayTarget {
	targets := make([]RelayTarget, len(peers))
	for i, peer := range peers {
		targets[i] = RelayTarget{Agent: peer.Agent, Address: peer.AgentAddress, Incarnation: incarnations[peer.Agent]}
	}
	return targets
}

// sendOrders sends the orders of a phase. It calls handle once for each, with the reply or an
// error. In a large group it sends them through relays.
func (b *Balancer) sendOrders(
	ctx context.Context, orders []track.MapOrder, handle func(track.RankID, track.MapReply, error),
) {
	own := b.ownShare()
	byAgent := make(map[track.InstanceID]track.MapOrder, len(orders))
	for _, o := range orders {
		byAgent[o.To.Agent] = o
	}
	var relayed []PeerAgent
	if b.options.Relays != nil && sameExceptMember(orders) {
		for _, peer := range b.options.Peers(own.Group, own.Epoch) {
			if o, ok := byAgent[peer.Agent]; ok && !peer.Silent && !b.promisedDirectly(peer, o) {
				relayed = append(relayed, peer)
			}
		}
	}
	if len(relayed) <= maxDirectPeers {
		relayed = nil
	}
	incarnations := make(map[track.InstanceID]track.Incarnation, len(relayed))
	for _, peer := range relayed {
		incarnations[peer.Agent] = byAgent[peer.Agent].Incarnation
	}
	template := orders[0]
	for _, peers := range relayGroups(relayed) {
		for _, peer := range peers {
			delete(byAgent, peer.Agent)
		}
		go b.relayOrder(ctx, template, peers, targetsOf(peers, incarnations), handle)
	}
	for _, o := range byAgent {
		go func() {
			reply, err := b.sendOrder(ctx, o)
			handle(o.To, reply, err)
		}()
	}
}

// sameExceptMember reports whether the orders differ only in the member that they are for.
func sameExceptMember(orders []track.MapOrder) bool {
	first := orders[0]
	for _, o := range orders[1:] {
		o.To, o.Incarnation = first.To, first.Incarnation
		if o != first {
			return false
		}
	}
	return true
}

// relayOrder sends an order to agents through the first of them.
func (b *Balancer) relayOrder(
	ctx context.Context, o track.MapOrder, peers []PeerAgent, targets []RelayTarget,
	handle func(track.RankID, track.MapReply, error),
) {
	o.To, o.Incarnation = track.RankID{}, 0
	answer, err := b.options.Relays.Orders(ctx, peers[0], RelayedOrder{Order: o, Targets: targets})
	replies := make(map[track.InstanceID]track.MapReply, len(answer.Replies))
	for _, reply := range answer.Replies {
		replies[reply.From.Agent] = reply
	}
	for _, target := range targets {
		reply, ok := replies[target.Agent]
		replyErr := err
		if !ok && err == nil {
			replyErr = track.Fail("relay order", track.Ambiguous, fmt.Errorf("no answer from %s", target.Agent))
		}
		handle(track.RankID{Agent: target.Agent}, reply, replyErr)
	}
}

// readShares reads the states of the ranks of agents, in a large group through relays. It
// calls handle once for each agent.
func (b *Balancer) readShares(ctx context.Context, peers []PeerAgent, handle func(track.RankStatus, error)) {
	direct, relayed := peers, []PeerAgent(nil)
	if b.options.Relays != nil && len(peers) > maxDirectPeers {
		direct = nil
		for _, peer := range peers {
			if peer.Silent {
				direct = append(direct, peer)
			} else {
				relayed = append(relayed, peer)
			}
		}
	}
	for _, peer := range direct {
		go func() { handle(b.readPeerShare(ctx, peer)) }()
	}
	for _, group := range relayGroups(relayed) {
		go b.relayStatuses(ctx, group, handle)
	}
}

// relayStatuses reads the states of the ranks of agents through the first of them, and
// directly from those that the relay got no answer from.
func (b *Balancer) relayStatuses(ctx context.Context, peers []PeerAgent, handle func(track.RankStatus, error)) {
	answer, err := b.options.Relays.Statuses(ctx, peers[0], targetsOf(peers, nil))
	known := make(map[int]track.RankStatus, len(answer.Shares))
	if err == nil {
		for _, share := range answer.Shares {
			known[share.Rank] = share
		}
	}
	counts := answer.Counts
	for _, peer := range peers {
		share, ok := known[peer.Rank]
		if !ok {
			go func() { handle(b.readPeerShare(ctx, peer)) }()
			continue
		}
		// The sum of the counts is all that matters, so one rank has those of all.
		share.Counts, counts = counts, nil
		handle(share, nil)
	}
}

// Relay is the part of an agent that passes calls on to the agents of other ranks.
type Relay struct {
	Clock clockwork.Clock
	// SendOrder sends an order to an agent, or to the relay's own member.
	SendOrder func(context.Context, RelayTarget, track.MapOrder) (track.MapReply, error)
	// QueryStatus reads the state of an agent's rank, or of the relay's own.
	QueryStatus func(context.Context, RelayTarget) (track.RankStatus, error)
}

// Orders sends an order to each target and returns the replies that arrive in time.
func (r Relay) Orders(ctx context.Context, o RelayedOrder) RelayedReplies {
	timeout := relayOrderTimeout
	if o.Order.Kind == track.OrderPrepare {
		timeout = relayPrepareTimeout
	}
	replies := collect(ctx, r.Clock, timeout, o.Targets, func(ctx context.Context, target RelayTarget) (track.MapReply, error) {
		order := o.Order
		order.To, order.Incarnation = track.RankID{Agent: target.Agent}, target.Incarnation
		return r.SendOrder(ctx, target, order)
	})
	return RelayedReplies{Replies: replies}
}

// Statuses reads the state of each target's rank and returns those that arrive in time.
func (r Relay) Statuses(ctx context.Context, targets []RelayTarget) RelayedStatuses {
	var statuses RelayedStatuses
	for _, share := range collect(ctx, r.Clock, relayOrderTimeout, targets, r.QueryStatus) {
		if statuses.Counts == nil && len(share.Counts) > 0 {
			statuses.Counts = make([]float64, len(share.Counts))
		}
		for i := range min(len(share.Counts), len(statuses.Counts)) {
			statuses.Counts[i] += share.Counts[i]
		}
		share.Counts = nil
		statuses.Shares = append(statuses.Shares, share)
	}
	return statuses
}

// collect calls all targets and returns the results that arrive within the timeout.
func collect[T any](
	ctx context.Context, clock clockwork.Clock, timeout time.Duration, targets []RelayTarget,
	call func(context.Context, RelayTarget) (T, error),
) []T {
	ctx, cancel := clockwork.WithTimeout(ctx, clock, timeout)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	results := make(chan result, len(targets))
	for _, target := range targets {
		go func() {
			value, err := call(ctx, target)
			results <- result{value, err}
		}()
	}
	var values []T
	for range targets {
		select {
		case r := <-results:
			if r.err == nil {
				values = append(values, r.value)
			}
		case <-ctx.Done():
			return values
		}
	}
	return values
}
