package swap_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/swap"
)

const (
	simulations         = 800
	eventsPerSimulation = 800
)

// Under random faults, all ranks use the same map in every step. Once the faults end, the
// group goes on stepping and can change its map.
func TestRanksUseTheSameMapInEveryStep(t *testing.T) {
	outcomes := map[swap.Outcome]int{}
	for seed := range uint64(simulations) {
		s := newSimulation(seed, 2+int(seed%3))
		for range eventsPerSimulation {
			s.randomEvent()
			assert.NilError(t, s.group.MapMismatch(), "seed %d", seed)
		}
		for o, n := range s.outcomes {
			outcomes[o] += n
		}
		s.stopFaults()
		switched := false
		for range 12 {
			before := s.outcomes[swap.Switched]
			s.runAttempt(true)
			s.group.Step()
			switched = switched || s.outcomes[swap.Switched] > before
		}
		assert.NilError(t, s.group.MapMismatch(), "seed %d", seed)
		open := s.group.Open()
		for range 20 {
			s.group.Step()
		}
		assert.Equal(t, s.group.Open(), open+20, "seed %d: the group stopped stepping", seed)
		assert.Assert(t, switched, "seed %d: no map change after the faults ended: %v", seed, s.outcomes)
	}
	for _, o := range []swap.Outcome{swap.Switched, swap.Settled, swap.Idle, swap.Undone, swap.Outbid, swap.Stuck} {
		assert.Assert(t, outcomes[o] > simulations/10, "too few attempts ended as %s: %v", o, outcomes)
	}
	t.Log(outcomes)
}
