package expert_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/expert"
)

// added returns the counts after more choices of two experts.
func added(counts []float64, first, second float64) []float64 {
	return []float64{counts[0] + first, counts[1] + second}
}

func TestRecentForgetsTheTimeBeforeAShift(t *testing.T) {
	var r expert.Recent
	counts := []float64{0, 0}
	assert.Assert(t, !r.Add(1, counts))
	for i := range 5 {
		counts = added(counts, 9000, 1000)
		assert.Equal(t, r.Add(1, counts), i == 0)
	}
	counts = added(counts, 1000, 9000)
	assert.Assert(t, r.Add(1, counts), "the choices moved from one expert to the other")
	assert.DeepEqual(t, r.Profile(), []float64{1000, 9000})
}

func TestRecentStartsAnewWithTheRank(t *testing.T) {
	var r expert.Recent
	r.Add(1, []float64{0, 0})
	r.Add(1, []float64{5000, 0})
	assert.Assert(t, !r.Add(2, []float64{10, 10}))
	assert.Assert(t, r.Profile() == nil)
	assert.Assert(t, r.Add(2, []float64{10, 8000}))
	assert.DeepEqual(t, r.Profile(), []float64{0, 7990})
}

func TestRecentWaitsForEnoughChoices(t *testing.T) {
	var r expert.Recent
	r.Add(1, []float64{0, 0})
	assert.Assert(t, !r.Add(1, []float64{1000, 0}))
	assert.Assert(t, r.Add(1, []float64{1000, 1000}), "both looks together are enough")
	assert.DeepEqual(t, r.Profile(), []float64{1000, 1000})
}
