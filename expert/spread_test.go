package expert_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
)

// firstMap returns the map in which experts are dealt in turn, as a group starts with.
func firstMap(ranks, layers, experts, slots int) track.ExpertMap {
	m := track.ExpertMap{Experts: experts, Slots: slots}
	for range layers {
		layer := slices.Repeat([]int32{track.NoExpert}, ranks*slots)
		for e := range experts {
			layer[e%ranks*slots+e/ranks] = int32(e)
		}
		m.Layers = append(m.Layers, layer)
	}
	return m
}

// skewed returns loads like those of real demand: a few hot experts, in random order.
func skewed(rng *rand.Rand, layers, experts int) expert.Loads {
	loads := expert.NewLoads(expert.Shape{Layers: layers, Experts: experts})
	for layer := range loads {
		for i, e := range rng.Perm(experts) {
			loads[layer][e] = 1e5 / float64(i+1)
		}
	}
	return loads
}

// checkMap fails unless each expert is held, and none twice on a rank.
func checkMap(t *testing.T, m track.ExpertMap) {
	t.Helper()
	for _, layer := range m.Layers {
		held := make([]int, m.Experts)
		for rank := 0; rank < len(layer); rank += m.Slots {
			seen := map[int32]bool{}
			for _, e := range layer[rank : rank+m.Slots] {
				if e == track.NoExpert {
					continue
				}
				assert.Assert(t, e >= 0 && int(e) < m.Experts && !seen[e], "rank holds %v", layer[rank:rank+m.Slots])
				seen[e] = true
				held[e]++
			}
		}
		assert.Assert(t, !slices.Contains(held, 0), "an expert is held nowhere")
	}
}

// fetched returns the copies that each rank lacks for the change, by layer.
func fetched(from, to track.ExpertMap) [][]int {
	out := make([][]int, len(from.Layers))
	for layer := range from.Layers {
		for rank := 0; rank < len(from.Layers[layer]); rank += from.Slots {
			n := 0
			for _, e := range to.Layers[layer][rank : rank+from.Slots] {
				if e != track.NoExpert && !slices.Contains(from.Layers[layer][rank:rank+from.Slots], e) {
					n++
				}
			}
			out[layer] = append(out[layer], n)
		}
	}
	return out
}

func TestSpreadKeepsItsLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	for _, shape := range []struct{ ranks, layers, experts, slots int }{{12, 3, 96, 11}, {24, 16, 96, 5}, {3, 1, 6, 3}, {4, 2, 8, 2}} {
		m := firstMap(shape.ranks, shape.layers, shape.experts, shape.slots)
		limits := expert.SpreadLimits{FreshPerLayer: 2, FreshPerRank: 5, MoveCost: 0.1}
		for range 6 {
			s, err := expert.Spread(m, skewed(rng, shape.layers, shape.experts), limits)
			assert.NilError(t, err)
			checkMap(t, s.Map)
			assert.Assert(t, s.Expected <= s.Skew+1e-9)
			perRank := make([]int, shape.ranks)
			total := 0
			for _, layer := range fetched(m, s.Map) {
				for rank, n := range layer {
					assert.Assert(t, n <= limits.FreshPerLayer)
					perRank[rank] += n
					total += n
				}
			}
			assert.Assert(t, slices.Max(perRank) <= limits.FreshPerRank)
			assert.Equal(t, s.Fresh, total)
			assert.Equal(t, s.FreshMost, slices.Max(perRank))
			m = s.Map
		}
	}
}

func TestSpreadSharesFewCopiesAmongLayers(t *testing.T) {
	// The pattern: right after a shift the group is slow until the copies are there, so
	// the first change takes few, and each layer needs its part of them.
	rng := rand.New(rand.NewPCG(8, 1))
	m := firstMap(24, 16, 96, 5)
	s, err := expert.Spread(m, skewed(rng, 16, 96), expert.SpreadLimits{FreshPerLayer: 2, FreshPerRank: 3, FreshInLayer: 4, MoveCost: 0.6})
	assert.NilError(t, err)
	for layer, ranks := range fetched(m, s.Map) {
		total := 0
		for _, n := range ranks {
			total += n
		}
		assert.Assert(t, total >= 1 && total <= 4, "layer %d fetches %d", layer, total)
	}
	assert.Assert(t, s.FreshMost <= 3)
	assert.Assert(t, s.Skew-s.Expected > 0.8, "skew %.2f, expected %.2f", s.Skew, s.Expected)
}

func TestSpreadEvensOutAShiftInOneChange(t *testing.T) {
	// The pattern: one expert takes a fifth of a layer's choices, on one rank.
	rng := rand.New(rand.NewPCG(8, 1))
	s, err := expert.Spread(firstMap(12, 3, 96, 11), skewed(rng, 3, 96), expert.SpreadLimits{FreshPerLayer: 4, FreshPerRank: 3, MoveCost: 0.6})
	assert.NilError(t, err)
	assert.Assert(t, s.Skew > 2.5, "skew %.2f", s.Skew)
	assert.Assert(t, s.Expected < 1.3, "expected %.2f", s.Expected)
	assert.Assert(t, s.Fresh <= 36)
}

func TestSpreadEmptiesASlowRank(t *testing.T) {
	even := expert.NewLoads(expert.Shape{Layers: 1, Experts: 96})
	for e := range even[0] {
		even[0][e] = 1000
	}
	pace := slices.Repeat([]float64{1}, 12)
	pace[4] = 12
	m := firstMap(12, 1, 96, 11)
	s, err := expert.Spread(m, even, expert.SpreadLimits{FreshPerLayer: 4, MoveCost: 0.02, Pace: pace})
	assert.NilError(t, err)
	checkMap(t, s.Map)
	assert.Assert(t, s.Skew > 11, "skew %.2f", s.Skew)
	assert.Assert(t, s.Expected < 2, "the slow rank keeps next to nothing: %.2f", s.Expected)
}

func TestSpreadRefusesAMapThatCannotBe(t *testing.T) {
	_, err := expert.Spread(track.ExpertMap{Experts: 4, Slots: 1, Layers: [][]int32{{0, 1}}}, expert.NewLoads(expert.Shape{Layers: 1, Experts: 4}), expert.SpreadLimits{})
	assert.Assert(t, track.IsKind(err, expert.Invalid))
}
