package edge

import (
	"context"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/keyed"
	"filberttrack.example/track/latest"
)

// follower makes the followers of topics of one process.
type follower struct {
	clock  clockwork.Clock
	logger *zap.Logger
	peers  func() []track.KeyedLog
}

// topic returns a follower that reads from a log.
func (f follower) topic(log track.KeyedLog, o keyed.Options) *keyed.Follower {
	o.Log, o.Clock, o.Logger, o.Peers = log, f.clock, f.logger, f.peers
	return keyed.New(o)
}

// offer has a holder take the configurations among the records of a topic.
func offer(holder *latest.Holder, key string) func([]track.KeyedRecord) {
	return func(records []track.KeyedRecord) {
		for _, r := range records {
			if r.Key == key && len(r.Value) > 0 {
				holder.Offer(r.Value)
			}
		}
	}
}

// startMembership starts the duties that entries and agents share: they follow the
// configuration and the members, make themselves known, and exchange notes.
func startMembership(ctx context.Context, config, list *keyed.Follower, node *gossip.Node, makeKnown func(context.Context) error) []*duty.Duty {
	return []*duty.Duty{
		duty.Start(ctx, "follow configuration", config.Run),
		duty.Start(ctx, "ask peers for configuration", config.RunPeers),
		duty.Start(ctx, "follow members", list.Run),
		duty.Start(ctx, "make known", makeKnown),
		duty.Start(ctx, "send notes", node.RunSend),
		duty.Start(ctx, "receive notes", node.RunReceive),
	}
}
