package expert_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
)

// initialMap returns the map that a group starts with: experts are assigned to the
// ranks round-robin, and the remaining slots are empty.
func initialMap(ranks, layers, experts, slots int) track.ExpertMap {
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

// skewedLoads returns loads like those of real demand: in each layer, the load of the
// n-th most popular expert is proportional to 1/n, so that a few experts are hot. Their
// order is random.
func skewedLoads(rng *rand.Rand, layers, experts int) expert.Loads {
	loads := expert.NewLoads(expert.Shape{Layers: layers, Experts: experts})
	for layer := range loads {
		for i, e := range rng.Perm(experts) {
			loads[layer][e] = 1e5 / float64(i+1)
		}
	}
	return loads
}

// checkMap fails the test unless each expert has a copy in each layer, and no rank
// holds two copies of one.
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
				assert.Assert(t, e >= 0 && int(e) < m.Experts && !seen[e],
					"a rank holds a duplicate or unknown expert: %v", layer[rank:rank+m.Slots])
				seen[e] = true
				held[e]++
			}
		}
		assert.Assert(t, !slices.Contains(held, 0), "an expert has no copy")
	}
}

// countFetches returns the number of copies that each rank must fetch to change from
// one map to the other, by layer.
func countFetches(from, to track.ExpertMap) [][]int {
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

func TestRebalanceRespectsLimits(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	for _, shape := range []struct{ ranks, layers, experts, slots int }{
		{12, 3, 96, 11}, {24, 16, 96, 5}, {3, 1, 6, 3}, {4, 2, 8, 2},
	} {
		current := initialMap(shape.ranks, shape.layers, shape.experts, shape.slots)
		limits := expert.RebalanceLimits{MaxFetchesPerRankAndLayer: 2, MaxFetchesPerRank: 5, MoveCost: 0.1}
		for range 6 {
			result, err := expert.Rebalance(current, skewedLoads(rng, shape.layers, shape.experts), limits)
			assert.NilError(t, err)
			checkMap(t, result.Map)
			assert.Assert(t, result.ExpectedSkew <= result.Skew+1e-9)
			perRank := make([]int, shape.ranks)
			total := 0
			for _, layer := range countFetches(current, result.Map) {
				for rank, n := range layer {
					assert.Assert(t, n <= limits.MaxFetchesPerRankAndLayer)
					perRank[rank] += n
					total += n
				}
			}
			assert.Assert(t, slices.Max(perRank) <= limits.MaxFetchesPerRank)
			assert.Equal(t, result.Fetches, total)
			assert.Equal(t, result.MaxFetchesOfRank, slices.Max(perRank))
			current = result.Map
		}
	}
}

func TestRebalanceDividesLimitedCopiesAmongLayers(t *testing.T) {
	// Right after a shift of demand, the group is slow until the new copies have been
	// fetched. The first change is therefore limited to few copies, and each layer must
	// get some of them.
	rng := rand.New(rand.NewPCG(8, 1))
	current := initialMap(24, 16, 96, 5)
	result, err := expert.Rebalance(current, skewedLoads(rng, 16, 96), expert.RebalanceLimits{
		MaxFetchesPerRankAndLayer: 2, MaxFetchesPerRank: 3, MaxFetchesPerLayer: 4, MoveCost: 0.6,
	})
	assert.NilError(t, err)
	for layer, ranks := range countFetches(current, result.Map) {
		total := 0
		for _, n := range ranks {
			total += n
		}
		assert.Assert(t, total >= 1 && total <= 4, "layer %d fetches %d copies", layer, total)
	}
	assert.Assert(t, result.MaxFetchesOfRank <= 3)
	assert.Assert(t, result.Skew-result.ExpectedSkew > 0.8,
		"skew %.2f, expected skew %.2f", result.Skew, result.ExpectedSkew)
}

func TestRebalanceBalancesShiftInOneChange(t *testing.T) {
	// After a shift, one expert takes a fifth of the choices of its layer, and a single
	// rank holds it.
	rng := rand.New(rand.NewPCG(8, 1))
	result, err := expert.Rebalance(initialMap(12, 3, 96, 11), skewedLoads(rng, 3, 96), expert.RebalanceLimits{
		MaxFetchesPerRankAndLayer: 4, MaxFetchesPerRank: 3, MoveCost: 0.6,
	})
	assert.NilError(t, err)
	assert.Assert(t, result.Skew > 2.5, "skew %.2f", result.Skew)
	assert.Assert(t, result.ExpectedSkew < 1.3, "expected skew %.2f", result.ExpectedSkew)
	assert.Assert(t, result.Fetches <= 36)
}

func TestRebalanceMovesLoadOffSlowRank(t *testing.T) {
	even := expert.NewLoads(expert.Shape{Layers: 1, Experts: 96})
	for e := range even[0] {
		even[0][e] = 1000
	}
	pace := slices.Repeat([]float64{1}, 12)
	pace[4] = 12
	current := initialMap(12, 1, 96, 11)
	result, err := expert.Rebalance(current, even,
		expert.RebalanceLimits{MaxFetchesPerRankAndLayer: 4, MoveCost: 0.02, Slowdown: pace})
	assert.NilError(t, err)
	checkMap(t, result.Map)
	assert.Assert(t, result.Skew > 11, "skew %.2f", result.Skew)
	assert.Assert(t, result.ExpectedSkew < 2, "the slow rank keeps too much load: expected skew %.2f", result.ExpectedSkew)
}

func TestRebalanceRejectsMapWithTooFewSlots(t *testing.T) {
	_, err := expert.Rebalance(track.ExpertMap{Experts: 4, Slots: 1, Layers: [][]int32{{0, 1}}},
		expert.NewLoads(expert.Shape{Layers: 1, Experts: 4}), expert.RebalanceLimits{})
	assert.Assert(t, track.IsKind(err, expert.Invalid))
}

func TestSkewIsThatOfRebalance(t *testing.T) {
	m, loads := largeMap()
	plan, err := expert.Rebalance(m, loads, expert.RebalanceLimits{MaxFetchesPerRankAndLayer: 2, MoveCost: 0.6})
	assert.NilError(t, err)
	skew, err := expert.Skew(m, loads, nil)
	assert.NilError(t, err)
	assert.Equal(t, skew, plan.Skew)
	_, err = expert.Skew(track.ExpertMap{}, nil, nil)
	assert.Assert(t, err != nil)
}

// largeMap returns the initial map of 64 ranks with 12 layers of 256 experts, and loads of which a tenth
// of the experts has most.
func largeMap() (track.ExpertMap, expert.Loads) {
	const ranks, layers, experts, slots = 64, 12, 256, 5
	rng := rand.New(rand.NewPCG(1, 2))
	m := initialMap(ranks, layers, experts, slots)
	loads := expert.NewLoads(expert.Shape{Layers: layers, Experts: experts})
	for layer := range layers {
		for e := range experts {
			loads[layer][e] = 100 + 900*math.Exp(4*rng.Float64())/50
		}
	}
	return m, loads
}

// BenchmarkRebalanceLargeGroup measures one plan for a group of 64 ranks.
func BenchmarkRebalanceLargeGroup(b *testing.B) {
	m, loads := largeMap()
	for b.Loop() {
		_, err := expert.Rebalance(m, loads, expert.RebalanceLimits{
			MaxFetchesPerRankAndLayer: 2, MaxFetchesPerRank: 6, MaxFetchesPerLayer: 32, MoveCost: 0.6,
		})
		assert.NilError(b, err)
	}
}
