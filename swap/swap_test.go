package swap_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/swap"
)

const (
	worlds  = 800
	actions = 800
)

// Whatever fails, all ranks use the same map in every step; and once nothing
// fails any more, the group goes on stepping and can change its map.
func TestRanksAgreeInEveryStepAndGoOn(t *testing.T) {
	outcomes := map[swap.Outcome]int{}
	for seed := range uint64(worlds) {
		w := newWorld(seed, 2+int(seed%3))
		for range actions {
			w.act()
			assert.NilError(t, w.group.Broken(), "seed %d", seed)
		}
		for o, n := range w.outcome {
			outcomes[o] += n
		}
		w.heal()
		switched := false
		for range 12 {
			before := w.outcome[swap.Switched]
			w.settle(true)
			w.group.Step()
			switched = switched || w.outcome[swap.Switched] > before
		}
		assert.NilError(t, w.group.Broken(), "seed %d", seed)
		open := w.group.Open()
		for range 20 {
			w.group.Step()
		}
		assert.Equal(t, w.group.Open(), open+20, "seed %d: the group does not step", seed)
		assert.Assert(t, switched, "seed %d: no change after the faults were over: %v", seed, w.outcome)
	}
	for _, o := range []swap.Outcome{swap.Switched, swap.Settled, swap.Idle, swap.Undone, swap.Outbid, swap.Stuck} {
		assert.Assert(t, outcomes[o] > worlds/10, "too few attempts ended %s: %v", o, outcomes)
	}
	t.Log(outcomes)
}
