package edge

import (
	"context"
	"slices"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/keyed"
	"filberttrack.example/track/latest"
)

// followerFactory creates the followers of the topics that a process reads. They share a
// clock, a logger and the peers to read from if the log doesn't answer.
type followerFactory struct {
	clock  clockwork.Clock
	logger *zap.Logger
	peers  func() []track.KeyedLog
}

// newFollower returns a follower that reads from the given log.
func (f followerFactory) newFollower(log track.KeyedLog, o keyed.Options) *keyed.Follower {
	o.Log, o.Clock, o.Logger, o.Peers = log, f.clock, f.logger, f.peers
	return keyed.NewFollower(o)
}

// applyConfig returns a function that passes the newest configuration record with the given
// key to the holder, or the one before if it can't be decoded.
func applyConfig(holder *latest.ConfigHolder, key string) func([]track.KeyedRecord) {
	return func(records []track.KeyedRecord) {
		for _, r := range slices.Backward(records) {
			if r.Key == key && len(r.Value) > 0 && holder.Update(r.Value) {
				return
			}
		}
	}
}

// rewriter writes the records of this process again that the log may have lost.
type rewriter interface {
	Again()
}

// applyRestoredConfig returns a function for the configuration records of a log that came back
// from an older copy. The holder ignores an older configuration. The rewriters write again what the
// copy may lack.
func applyRestoredConfig(
	holder *latest.ConfigHolder, key string, rewriters ...rewriter,
) func([]track.KeyedRecord) {
	apply := applyConfig(holder, key)
	return func(records []track.KeyedRecord) {
		for _, r := range rewriters {
			r.Again()
		}
		apply(records)
	}
}

// startCommonTasks starts the background tasks that entries and agents share: they follow
// the members, publish their own member record, and exchange messages.
func startCommonTasks(
	ctx context.Context, tasks duty.Supervisor, members *keyed.Follower, node *gossip.Node, announcer *announcer,
) []*duty.Duty {
	return []*duty.Duty{
		tasks.Start(ctx, "follow members", members.Run),
		tasks.Start(ctx, "announce member", announcer.Run),
		tasks.Start(ctx, "send messages", node.RunSend),
		tasks.Start(ctx, "receive messages", node.RunReceive),
	}
}
