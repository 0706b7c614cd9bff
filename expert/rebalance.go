package expert

import (
	"slices"

	"filberttrack.example/track"
)

// rebalanceTargets is the number of least loaded ranks that are tried as targets of a change. In
// large groups more of them take long and change the result by a hundredth.
const rebalanceTargets = 16

// RebalanceLimits limits one change of a placement.
type RebalanceLimits struct {
	// MaxFetchesPerRankAndLayer is the number of fetched copies that a rank can stage in a layer.
	MaxFetchesPerRankAndLayer int
	// MaxFetchesPerRank is the number of copies that a rank may fetch in all layers
	// together; 0 sets no limit.
	MaxFetchesPerRank int
	// MaxFetchesPerLayer is the number of copies that all ranks together may fetch in a
	// layer; 0 sets no limit.
	MaxFetchesPerLayer int
	// Slowdown is the time that each rank needs for the same work, relative to a rank in
	// good health; nil if all ranks are in good health.
	Slowdown []float64
	// MoveCost is the fall of the skew in a layer that justifies one fetched copy on
	// each rank.
	MoveCost float64
}

// RebalancePlan is a proposed change of a placement.
type RebalancePlan struct {
	// Map is the new map in full.
	Map track.ExpertMap
	// Skew is the skew of the map in use, ExpectedSkew that of the new map. Both are the
	// load of the slowest rank over the mean, averaged over the layers.
	Skew         float64
	ExpectedSkew float64
	// Fetches is the number of copies that ranks have to fetch, and MaxFetchesOfRank
	// the number on the rank with the most.
	Fetches          int
	MaxFetchesOfRank int
}

// Rebalance moves and copies experts of a map to reduce the load of the most loaded rank
// of each layer, as long as the reduction is worth the fetched copies. Ranks may have
// empty slots. It returns an error of kind Invalid if the dimensions of the map aren't
// valid.
func Rebalance(m track.ExpertMap, loads Loads, limits RebalanceLimits) (RebalancePlan, error) {
	shape, filled := fillEmptySlots(m)
	actual := shape
	actual.Experts = m.Experts
	if err := actual.Check(); err != nil {
		return RebalancePlan{}, err
	}
	out := RebalancePlan{Map: m}
	out.Map.Layers = make([][]int32, len(m.Layers))
	state := newRebalanceState(shape, m.Experts, limits.Slowdown)
	fetches := make([]int, shape.Ranks)
	for layer := range m.Layers {
		tokens := make([]float64, shape.Experts)
		copy(tokens, loads[layer])
		if !state.reset(layer, filled[layer], tokens) {
			out.Map.Layers[layer] = slices.Clone(m.Layers[layer])
			out.Skew, out.ExpectedSkew = out.Skew+1, out.ExpectedSkew+1
			continue
		}
		out.Skew += state.peak()
		bestSlots, peak := improveLayer(state, limits, fetches)
		out.ExpectedSkew += peak
		out.Map.Layers[layer] = bestSlots
	}
	out.Skew /= float64(len(m.Layers))
	out.ExpectedSkew /= float64(len(m.Layers))
	for _, n := range fetches {
		out.Fetches += n
		out.MaxFetchesOfRank = max(out.MaxFetchesOfRank, n)
	}
	for i := range out.Map.Layers {
		clearPlaceholders(out.Map.Layers[i], m.Experts)
	}
	return out, nil
}

// newRebalanceState returns the state for the layers of a map with a number of experts besides
// placeholders.
func newRebalanceState(shape Shape, experts int, slowdown []float64) *layerState {
	state := newLayerState(shape)
	state.firstPlaceholder = experts
	if len(slowdown) == shape.Ranks {
		state.slowdown = slowdown
	}
	return state
}

// Skew returns the load of the slowest rank over the mean, averaged over the layers of a map. Slowdown is that
// of RebalanceLimits. It returns an error of kind Invalid if the dimensions of the map aren't valid.
func Skew(m track.ExpertMap, loads Loads, slowdown []float64) (float64, error) {
	shape, filled := fillEmptySlots(m)
	actual := shape
	actual.Experts = m.Experts
	if err := actual.Check(); err != nil {
		return 0, err
	}
	state := newRebalanceState(shape, m.Experts, slowdown)
	sum := 0.0
	for layer := range m.Layers {
		tokens := make([]float64, shape.Experts)
		copy(tokens, loads[layer])
		if !state.reset(layer, filled[layer], tokens) {
			sum++
			continue
		}
		sum += state.peak()
	}
	return sum / float64(len(m.Layers)), nil
}

// improveLayer applies changes one by one, and returns the slots after the prefix of
// them with the largest gain less the cost of its copies, and the load of the slowest
// rank then. It adds the copies of the prefix to fetched, the number of copies that
// each rank fetches in all layers.
func improveLayer(state *layerState, limits RebalanceLimits, fetched []int) ([]int32, float64) {
	state.limitNewCopies(limits, fetched)
	bestFetches := make([]int, state.Ranks)
	before := state.peak()
	bestSlots, peak, bestGain := slices.Clone(state.slots), before, 0.0
	for range 2 * len(state.slots) {
		c, ok := state.applyBestChange(min(state.Ranks, rebalanceTargets))
		if !ok {
			break
		}
		copies := 0
		for _, n := range state.newCopies {
			copies += n
		}
		if limits.MaxFetchesPerLayer > 0 && copies > limits.MaxFetchesPerLayer {
			break
		}
		if gain := before - c.peak - limits.MoveCost*float64(copies)/float64(state.Ranks); gain > bestGain {
			bestGain, peak = gain, c.peak
			copy(bestSlots, state.slots)
			copy(bestFetches, state.newCopies)
		}
		if c.peak < balancedPeak {
			break
		}
	}
	for rank, n := range bestFetches {
		fetched[rank] += n
	}
	return bestSlots, peak
}

// fillEmptySlots fills empty slots with placeholder experts, which have no load and
// are numbered after the experts of the map. It returns the shape with them included,
// and the slots of each layer.
func fillEmptySlots(m track.ExpertMap) (Shape, [][]int32) {
	shape := Shape{Layers: len(m.Layers), Experts: m.Experts, Slots: m.Slots}
	if len(m.Layers) > 0 && m.Slots > 0 {
		shape.Ranks = len(m.Layers[0]) / m.Slots
	}
	filled := make([][]int32, len(m.Layers))
	for i, layer := range m.Layers {
		filled[i] = slices.Clone(layer)
		for rank := range shape.Ranks {
			n := 0
			for slot := rank * m.Slots; slot < (rank+1)*m.Slots; slot++ {
				if layer[slot] == track.NoExpert {
					filled[i][slot] = int32(m.Experts + n)
					n++
				}
			}
		}
	}
	// A rank may have any number of empty slots, and holds each placeholder once.
	shape.Experts += m.Slots
	return shape, filled
}

// clearPlaceholders replaces placeholder experts by empty slots.
func clearPlaceholders(slots []int32, experts int) {
	for i, e := range slots {
		if int(e) >= experts {
			slots[i] = track.NoExpert
		}
	}
}
