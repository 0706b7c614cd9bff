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

// operatorToken returns the token that authorizes operators to make changes. Without
// one in the settings it authorizes nobody.
func operatorToken(o conf.Operators) (*certs.Token, error) {
	switch {
	case o.TokenFile != "":
		return certs.ReadToken(o.TokenFile)
	case o.TokenSHA256 != "":
		return certs.ParseTokenHash(o.TokenSHA256)
	default:
		return certs.RefuseAll(), nil
	}
}

// newConfigStore returns the configuration store of an instance and the handler that
// passes its configuration on to peers. The membership is not called before the
// store has started. The log is nil for an agent, which has none.
func newConfigStore(
	self track.Instance, started time.Time, deps Dependencies, log track.Log, retention time.Duration,
	set *metrics.Set, membership func() *beat.Exchange,
) (*config.Store, track.TopicHandler) {
	store := config.New(config.Options{
		Self: self, Log: log, Clock: deps.Clock, Logger: deps.Logger, Metrics: set,
		RandomSeed: randomSeed(self.ID, started),
		Retention:  retention,
		Peers: &config.MemberPeers{
			Self: self.ID, Dialer: deps.PeerDialer,
			PollTargets:    func() []track.Instance { return membership().RegularPeers() },
			KnownInstances: func() []track.Instance { return membership().KnownInstances() },
		},
	})
	return store, config.NewHandler(store)
}

// randomSeed returns a seed for random numbers that differs from instance to instance
// and from start to start.
func randomSeed(id track.InstanceID, started time.Time) uint64 {
	return xxhash.Sum64String(fmt.Sprint(id, started.UnixNano()))
}
