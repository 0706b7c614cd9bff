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

// RefreshInterval is the time between two looks at those who wait.
const RefreshInterval = 100 * time.Millisecond

// Capacity tells how many requests the replicas of a target run at once.
type Capacity interface {
	// Slots returns 0 if the target has no replica within reach.
	Slots(target string) int
	// Replicas returns the number of replicas, within reach or not.
	Replicas(target string) int
}

// Gates holds the gate of each target.
type Gates struct {
	clock    clockwork.Clock
	capacity Capacity
	metrics  *metrics.Set

	mu    sync.Mutex
	rng   *rand.Rand
	gates map[string]*Gate
}

// NewGates returns gates in front of the capacity.
func NewGates(clock clockwork.Clock, rng *rand.Rand, capacity Capacity, set *metrics.Set) *Gates {
	return &Gates{clock: clock, rng: rng, capacity: capacity, metrics: set, gates: make(map[string]*Gate)}
}

// For returns the gate of a target.
func (g *Gates) For(target string) *Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate, ok := g.gates[target]
	if !ok {
		rng := rand.New(rand.NewPCG(g.rng.Uint64(), g.rng.Uint64()))
		slots := func() int { return g.capacity.Slots(target) }
		gate = NewGate(g.clock, rng, target, slots, g.metrics)
		g.gates[target] = gate
	}
	return gate
}

// Run decides anew at each interval, until the context ends. It is a duty of an
// entry.
func (g *Gates) Run(ctx context.Context) error {
	return duty.Every(ctx, g.clock, RefreshInterval, func() {
		for _, gate := range g.all() {
			gate.Refresh()
		}
	})
}

func (g *Gates) all() []*Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gates := make([]*Gate, 0, len(g.gates))
	for _, gate := range g.gates {
		gates = append(gates, gate)
	}
	return gates
}
