package tier_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/stand/tier"
)

var shape = tier.Shape{Ranks: 2, Sets: 1, Experts: 4, Places: 3, Spare: 2}

// initialMap is the map that all ranks use at first, so that no expert has to be
// copied.
var initialMap = [][][]int32{{{0, 2}, {1, 3}}}

// give sends an order in the current epoch and returns its result.
func give(t *testing.T, g *tier.Group, rank int, o tier.Order) tier.OrderResult {
	t.Helper()
	o.Epoch = g.Report(rank).Epoch
	answer, ok := g.Give(rank, o)
	assert.Assert(t, ok)
	return answer
}

func TestRanksSwitchMapsInTheSameStep(t *testing.T) {
	g := tier.New(1, shape)
	for rank := range shape.Ranks {
		assert.Equal(t, give(t, g, rank, tier.Order{Operation: tier.Prepare, Version: 7, Map: initialMap}), tier.Accepted)
		assert.Equal(t, give(t, g, rank, tier.Order{Operation: tier.Hold, Step: 2}), tier.Accepted)
		assert.Equal(t, give(t, g, rank, tier.Order{Operation: tier.Arm, Version: 7, Step: 2}), tier.Accepted)
		assert.Equal(t, give(t, g, rank, tier.Order{Operation: tier.Arm, Version: 7, Step: 2}), tier.AlreadyInEffect)
	}
	g.RunStep()
	g.RunStep()
	assert.Equal(t, g.Report(0).Step, uint64(1), "the group must not start step 2 while it is held")
	for rank := range shape.Ranks {
		give(t, g, rank, tier.Order{Operation: tier.Release, Step: 2})
	}
	g.RunStep()
	mapMismatch, mapChanges := g.MapMismatch()
	assert.Equal(t, mapMismatch, "")
	assert.Equal(t, mapChanges, 2)
}

func TestStepWithDifferentMapsIsDetected(t *testing.T) {
	g := tier.New(1, shape)
	give(t, g, 1, tier.Order{Operation: tier.Prepare, Version: 7, Map: initialMap})
	give(t, g, 1, tier.Order{Operation: tier.Arm, Version: 7, Step: 1})
	g.RunStep()
	mapMismatch, _ := g.MapMismatch()
	assert.Equal(t, mapMismatch, "step 1: rank 0 uses map 0, rank 1 map 7")
}

func TestOutdatedOrdersAreRefused(t *testing.T) {
	g := tier.New(1, shape)
	assert.Equal(t, give(t, g, 0, tier.Order{Operation: tier.Hold, Step: 5, FencingToken: 9}), tier.Accepted)
	assert.Equal(t, give(t, g, 0, tier.Order{Operation: tier.Release, Step: 5, FencingToken: 8}),
		tier.FencingTokenOutdated)
	answer, _ := g.Give(0, tier.Order{Operation: tier.Release, Step: 5, FencingToken: 9, Epoch: 99})
	assert.Equal(t, answer, tier.Conflict)
	g.SetLossRate(1)
	_, ok := g.Give(0, tier.Order{Operation: tier.Release, Step: 5, FencingToken: 9, Epoch: 1})
	assert.Assert(t, !ok)
}
