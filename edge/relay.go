package edge

import (
	"context"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
	"filberttrack.example/track/steer"
	"filberttrack.example/track/talk"
)

// relayRequest asks an agent for the states of the ranks of several agents.
type relayRequest struct {
	Targets []steer.RelayTarget
}

// packedStatuses holds the states of ranks and the sum of their counts, encoded by
// expert.PackCounts.
type packedStatuses struct {
	Shares []track.RankStatus
	Packed []byte
}

// relayClient implements steer.Relays by calls to other agents.
type relayClient struct {
	client *talk.Client
}

// Orders implements steer.Relays.
func (c relayClient) Orders(
	ctx context.Context, relay steer.PeerAgent, o steer.RelayedOrder,
) (steer.RelayedReplies, error) {
	return talk.Call[steer.RelayedOrder, steer.RelayedReplies](ctx, c.client, relay.AgentAddress, pathRelayOrder, o)
}

// Statuses implements steer.Relays.
func (c relayClient) Statuses(
	ctx context.Context, relay steer.PeerAgent, targets []steer.RelayTarget,
) (steer.RelayedStatuses, error) {
	reply, err := talk.Call[relayRequest, packedStatuses](
		ctx, c.client, relay.AgentAddress, pathRelayStatuses, relayRequest{Targets: targets})
	return steer.RelayedStatuses{Shares: reply.Shares, Counts: expert.UnpackCounts(reply.Packed)}, err
}

// newRelay returns the part of the agent that passes calls on to other agents.
func (a *Agent) newRelay() steer.Relay {
	return steer.Relay{
		Clock: a.options.Clock,
		SendOrder: func(ctx context.Context, target steer.RelayTarget, order track.MapOrder) (track.MapReply, error) {
			if target.Agent == a.options.Self {
				return a.gateway.Order(ctx, order)
			}
			return talk.Call[track.MapOrder, track.MapReply](ctx, a.client, target.Address, pathMapOrder, order)
		},
		QueryStatus: func(ctx context.Context, target steer.RelayTarget) (track.RankStatus, error) {
			if target.Agent == a.options.Self {
				status, _, err := a.balancer.ReadOwnStatus(ctx)
				return status, err
			}
			return a.queryStatus(ctx, target.Address)
		},
	}
}

// queryStatus asks another agent for the state of its rank.
func (a *Agent) queryStatus(ctx context.Context, address string) (track.RankStatus, error) {
	reply, err := talk.Call[struct{}, packedStatus](ctx, a.client, address, pathRankStatus, struct{}{})
	return reply.unpack(), err
}
