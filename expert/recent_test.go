package expert_test

import (
	"math"
	"math/rand/v2"
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

// flatDemand draws choices among many experts of nearly equal popularity, as the ranks of a large group
// see them. Each pass has the choices of the same requests' tokens, and some have those of a long
// prompt, which prefers some experts.
type flatDemand struct {
	rng        *rand.Rand
	popularity []float64
	counts     []float64
}

func newFlatDemand(seed uint64) *flatDemand {
	const experts = 12 * 256
	d := &flatDemand{rng: rand.New(rand.NewPCG(seed, 1)), counts: make([]float64, experts)}
	d.popularity = make([]float64, experts)
	for e := range d.popularity {
		d.popularity[e] = d.drawPopularity()
	}
	return d
}

// drawPopularity draws the popularity of an expert from a power law of the ranking among 256.
func (d *flatDemand) drawPopularity() float64 {
	return math.Pow(1+255*d.rng.Float64(), -0.63)
}

// shift draws the popularity of a share of the experts anew.
func (d *flatDemand) shift(share float64) {
	for e := range d.popularity {
		if d.rng.Float64() < share {
			d.popularity[e] = d.drawPopularity()
		}
	}
}

// pass adds the choices of a pass, which may include a prompt.
func (d *flatDemand) pass(prompt bool) []float64 {
	total := 0.0
	for _, p := range d.popularity {
		total += p
	}
	counts := make([]float64, len(d.counts))
	for e, p := range d.popularity {
		mean := 25000 * p / total
		counts[e] = d.counts[e] + max(math.Round(mean+math.Sqrt(mean)*d.rng.NormFloat64()), 0)
		if prompt {
			counts[e] += 800000 * p / total * (0.6 + 0.8*float64(e%7)/6)
		}
	}
	d.counts = counts
	return counts
}

// A shift of half of the experts moves a quarter of the choices where popularity is nearly equal, little
// more than what a sample varies at random.
func TestRecentSeesShiftOfFlatDemand(t *testing.T) {
	for seed := range uint64(20) {
		d := newFlatDemand(seed)
		var recent expert.RecentChoices
		recent.Add(1, d.pass(false))
		assert.Assert(t, recent.Add(1, d.pass(false)))
		for i := range 60 {
			assert.Assert(t, !recent.Add(1, d.pass(i%9 == 5)), "seed %d: no shift at pass %d", seed, i)
		}
		d.shift(0.5)
		assert.Assert(t, recent.Add(1, d.pass(false)), "seed %d", seed)
	}
}
