package boot

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
	"filberttrack.example/track/beat"
	"filberttrack.example/track/certs"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/config"
)

// adminToken returns the guard of calls that change something.
func adminToken(o conf.Operators) (*certs.Token, error) {
	switch {
	case o.TokenFile != "":
		return certs.ReadToken(o.TokenFile)
	case o.TokenSHA256 != "":
		return certs.ParseTokenHash(o.TokenSHA256)
	default:
		return certs.RefuseAll(), nil
	}
}

// newStore returns the configuration of an instance, and the handler that hands
// it on to peers. The members are asked only once the store has started. The log
// is nil for an agent.
func newStore(
	self track.Instance, started time.Time, ports Ports, log track.Log, retention time.Duration, set *metrics.Set, members func() *beat.Exchange,
) (*config.Store, track.TopicHandler) {
	store := config.New(config.Options{
		Self: self, Log: log, Clock: ports.Clock, Logger: ports.Logger, Metrics: set,
		RandomSeed: randomSeed(self.ID, started),
		Retention:  retention,
		Peers: &config.MemberPeers{
			Self: self.ID, Dialer: ports.Peers,
			PollTargets:    func() []track.Instance { return members().RegularPeers() },
			KnownInstances: func() []track.Instance { return members().KnownInstances() },
		},
	})
	return store, config.NewHandler(store)
}

// randomSeed returns a seed that differs between instances and starts.
func randomSeed(id track.InstanceID, started time.Time) uint64 {
	return xxhash.Sum64String(fmt.Sprint(id, started.UnixNano()))
}
