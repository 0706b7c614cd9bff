package tier_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/stand/tier"
)

var shape = tier.Shape{Ranks: 2, Sets: 1, Experts: 4, Places: 3, Spare: 2}

// same is a map that all ranks have already, so that nothing is copied.
var same = [][][]int32{{{0, 2}, {1, 3}}}

func give(t *testing.T, g *tier.Group, rank int, o tier.Order) tier.Answer {
	t.Helper()
	o.Epoch = g.Report(rank).Epoch
	answer, ok := g.Give(rank, o)
	assert.Assert(t, ok)
	return answer
}

func TestRanksSwitchTogether(t *testing.T) {
	g := tier.New(1, shape)
	for rank := range shape.Ranks {
		assert.Equal(t, give(t, g, rank, tier.Order{Operation: tier.Prepare, Version: 7, Map: same}), tier.Begun)
		assert.Equal(t, give(t, g, rank, tier.Order{Operation: tier.Hold, Step: 2}), tier.Begun)
		assert.Equal(t, give(t, g, rank, tier.Order{Operation: tier.Arm, Version: 7, Step: 2}), tier.Begun)
		assert.Equal(t, give(t, g, rank, tier.Order{Operation: tier.Arm, Version: 7, Step: 2}), tier.Holds)
	}
	g.Pass()
	g.Pass()
	assert.Equal(t, g.Report(0).Step, uint64(1), "the group holds before pass 2")
	for rank := range shape.Ranks {
		give(t, g, rank, tier.Order{Operation: tier.Release, Step: 2})
	}
	g.Pass()
	mixed, changes := g.Mixed()
	assert.Equal(t, mixed, "")
	assert.Equal(t, changes, 2)
}

func TestAPassWithTwoMapsIsNoticed(t *testing.T) {
	g := tier.New(1, shape)
	give(t, g, 1, tier.Order{Operation: tier.Prepare, Version: 7, Map: same})
	give(t, g, 1, tier.Order{Operation: tier.Arm, Version: 7, Step: 1})
	g.Pass()
	mixed, _ := g.Mixed()
	assert.Equal(t, mixed, "pass 1: rank 0 uses map 0, rank 1 map 7")
}

func TestOldOrdersAreRefused(t *testing.T) {
	g := tier.New(1, shape)
	assert.Equal(t, give(t, g, 0, tier.Order{Operation: tier.Hold, Step: 5, Fence: 9}), tier.Begun)
	assert.Equal(t, give(t, g, 0, tier.Order{Operation: tier.Release, Step: 5, Fence: 8}), tier.Fenced)
	answer, _ := g.Give(0, tier.Order{Operation: tier.Release, Step: 5, Fence: 9, Epoch: 99})
	assert.Equal(t, answer, tier.Conflict)
	g.Lose(1)
	_, ok := g.Give(0, tier.Order{Operation: tier.Release, Step: 5, Fence: 9, Epoch: 1})
	assert.Assert(t, !ok)
}
