package boot

import (
	"context"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
	"filberttrack.example/track/admit"
	"filberttrack.example/track/barred"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/limit"
	"filberttrack.example/track/parts"
	"filberttrack.example/track/router"
)

// setUpPolicies creates the components that route, limit and admit requests and track
// the requests that crash backend servers.
func (c *EntryCore) setUpPolicies(gossip track.Gossip) {
	deps := c.deps
	// The router can treat all replicas as reachable, because the membership leaves out
	// those of a zone that is cut off.
	c.router = router.New(deps.Clock, c.newRand("route"), c.instance.Zone, router.AllReachable{})
	c.limiter = limit.New(deps.Clock, c.instance.ID, gossip, deps.Logger, c.metrics)
	c.admission = admit.NewControllers(deps.Clock, c.newRand("admit"), c.router, c.metrics)
	c.partsTracker = parts.New(deps.Clock, deps.Logger, c.metrics)
	c.partsSharer = parts.NewSharer(c.partsTracker, c.instance.ID, gossip, deps.Logger)
	c.crashTracker = crash.New(deps.Clock, crash.DefaultPolicy(), c.instance.ID, gossip, deps.Logger, c.metrics)
	c.barredKeeper = barred.New(barred.Options{
		Self: c.instance.ID, Log: deps.Platform.Log, Requests: c.crashTracker, Parts: c.partsTracker,
		Clock: deps.Clock, Logger: deps.Logger,
	})
}

// newRand returns a source of random numbers whose seed differs from instance to
// instance, from start to start and from purpose to purpose.
func (c *EntryCore) newRand(purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(randomSeed(c.instance.ID, c.started), xxhash.Sum64String(purpose)))
}

// publishUsageAndQuarantine sends the demand of client accounts and the records of crashing
// requests to the other entries once per interval, until the context ends.
func (c *EntryCore) publishUsageAndQuarantine(ctx context.Context) error {
	return duty.Every(ctx, c.deps.Clock, limit.PublishInterval, func() {
		c.limiter.Publish()
		c.crashTracker.Publish()
		c.partsSharer.Publish()
	})
}
