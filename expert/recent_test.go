package expert_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/expert"
)

// addChoices returns the cumulative counts of two experts after more choices of each.
func addChoices(counts []float64, first, second float64) []float64 {
	return []float64{counts[0] + first, counts[1] + second}
}

func TestRecentDiscardsChoicesBeforeShift(t *testing.T) {
	var recent expert.RecentChoices
	counts := []float64{0, 0}
	assert.Assert(t, !recent.Add(1, counts))
	for i := range 5 {
		counts = addChoices(counts, 9000, 1000)
		assert.Equal(t, recent.Add(1, counts), i == 0)
	}
	counts = addChoices(counts, 1000, 9000)
	assert.Assert(t, recent.Add(1, counts), "a move of most choices to the other expert must count as a shift")
	assert.DeepEqual(t, recent.Weights(), []float64{1000, 9000})
}

func TestRecentResetsWhenRankRestarts(t *testing.T) {
	var recent expert.RecentChoices
	recent.Add(1, []float64{0, 0})
	recent.Add(1, []float64{5000, 0})
	assert.Assert(t, !recent.Add(2, []float64{10, 10}))
	assert.Assert(t, recent.Weights() == nil)
	assert.Assert(t, recent.Add(2, []float64{10, 8000}))
	assert.DeepEqual(t, recent.Weights(), []float64{0, 7990})
}

func TestRecentWaitsForMinimumChoices(t *testing.T) {
	var recent expert.RecentChoices
	recent.Add(1, []float64{0, 0})
	assert.Assert(t, !recent.Add(1, []float64{1000, 0}))
	assert.Assert(t, recent.Add(1, []float64{1000, 1000}), "the choices of both calls together reach the minimum")
	assert.DeepEqual(t, recent.Weights(), []float64{1000, 1000})
}
