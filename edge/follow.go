package edge

import (
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
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
