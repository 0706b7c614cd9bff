package admit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"filberttrack.example/track/duty"
)

// ReevaluationInterval is the time between two evaluations of the waiting requests.
const ReevaluationInterval = 100 * time.Millisecond

// Capacity reports how many requests the replicas of a target can run at once.
type Capacity interface {
	// Slots returns the number of requests that may run at once; 0 if the target has
	// no reachable replica.
	Slots(target string) int
	// Replicas returns the number of replicas, reachable or not.
	Replicas(target string) int
}

// Controllers holds the admission controllers of an entry, one for each target. Its methods
// may be called concurrently.
type Controllers struct {
	clock    clockwork.Clock
	capacity Capacity
	metrics  *metrics.Set

	mu          sync.Mutex
	rng         *rand.Rand
	controllers map[string]*Controller
}

// NewControllers returns an empty set of controllers for targets of the given capacity.
// The controllers add their counters to set.
func NewControllers(clock clockwork.Clock, rng *rand.Rand, capacity Capacity, set *metrics.Set) *Controllers {
	return &Controllers{
		clock: clock, rng: rng, capacity: capacity, metrics: set, controllers: make(map[string]*Controller),
	}
}

// ForTarget returns the controller of a target, which it creates on first use.
func (c *Controllers) ForTarget(target string) *Controller {
	c.mu.Lock()
	defer c.mu.Unlock()
	controller, ok := c.controllers[target]
	if !ok {
		rng := rand.New(rand.NewPCG(c.rng.Uint64(), c.rng.Uint64()))
		slots := func() int { return c.capacity.Slots(target) }
		controller = NewController(c.clock, rng, target, slots, c.metrics)
		c.controllers[target] = controller
	}
	return controller
}

// Run reevaluates the waiting requests of all targets at each ReevaluationInterval,
// until the context ends.
func (c *Controllers) Run(ctx context.Context) error {
	return duty.Every(ctx, c.clock, ReevaluationInterval, func() {
		for _, controller := range c.all() {
			controller.Reevaluate()
		}
	})
}

func (c *Controllers) all() []*Controller {
	c.mu.Lock()
	defer c.mu.Unlock()
	controllers := make([]*Controller, 0, len(c.controllers))
	for _, controller := range c.controllers {
		controllers = append(controllers, controller)
	}
	return controllers
}
