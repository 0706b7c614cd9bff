package boot

import (
	"context"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
	"filberttrack.example/track/admit"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/limit"
	"filberttrack.example/track/router"
)

// joinPolicies makes the parts of an entry that route, limit and admit requests.
func (c *EntryCore) joinPolicies(gossip track.Gossip) {
	p := c.ports
	// The membership never offers the replicas of a zone that is cut off.
	c.router = router.New(p.Clock, c.random("route"), c.instance.Zone, router.AllReachable{})
	c.limiter = limit.New(p.Clock, c.instance.ID, gossip, p.Logger, c.metrics)
	c.gates = admit.NewControllers(p.Clock, c.random("admit"), c.router, c.metrics)
	c.crashes = crash.New(p.Clock, crash.DefaultPolicy(), c.instance.ID, gossip, p.Logger, c.metrics)
}

// random returns a source of random numbers that differs between instances and
// purposes.
func (c *EntryCore) random(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(randomSeed(c.instance.ID, c.started), xxhash.Sum64String(purpose)))
}

// share publishes the demand of accounts and the standing of crashing requests
// at each interval. It is a duty of an entry.
func (c *EntryCore) share(ctx context.Context) error {
	return duty.Every(ctx, c.ports.Clock, limit.PublishInterval, func() {
		c.limiter.Publish()
		c.crashes.Publish()
	})
}
