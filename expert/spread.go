package expert

import (
	"slices"

	"filberttrack.example/track"
)

// SpreadLimits bounds one change of a placement.
type SpreadLimits struct {
	// FreshPerLayer is the number of copies that a rank can stage in a layer.
	FreshPerLayer int
	// FreshPerRank is the number of copies that a rank may fetch in all layers; 0
	// sets no bound.
	FreshPerRank int
	// FreshInLayer is the number of copies that all ranks together may fetch in a
	// layer; 0 sets no bound.
	FreshInLayer int
	// Pace is the time that each rank needs for the same work, relative to a rank in
	// good health; nil if all are.
	Pace []float64
	// MoveCost is the fall of the skew that pays for one copy on each rank.
	MoveCost float64
}

// Spreading is a proposed change of a placement.
type Spreading struct {
	// Map is the whole new map.
	Map track.ExpertMap
	// Skew is the skew before, Expected after the change.
	Skew     float64
	Expected float64
	// Fresh is the number of copies that ranks have to fetch, and FreshMost the
	// number on the rank with the most.
	Fresh     int
	FreshMost int
}

// Spread moves and copies experts of a map so that the most loaded rank of each
// layer gets less, as far as that is worth the copies. Ranks may have empty slots.
func Spread(m track.ExpertMap, loads Loads, limits SpreadLimits) (Spreading, error) {
	shape, filled := fillEmpty(m)
	actual := shape
	actual.Experts = m.Experts
	if err := actual.Check(); err != nil {
		return Spreading{}, err
	}
	out := Spreading{Map: m}
	out.Map.Layers = make([][]int32, len(m.Layers))
	st := newLayerState(shape)
	st.empty = m.Experts
	if len(limits.Pace) == shape.Ranks {
		st.pace = limits.Pace
	}
	fresh := make([]int, shape.Ranks)
	for layer := range m.Layers {
		tokens := make([]float64, shape.Experts)
		copy(tokens, loads[layer])
		if !st.reset(layer, filled[layer], tokens) {
			out.Map.Layers[layer] = slices.Clone(m.Layers[layer])
			out.Skew, out.Expected = out.Skew+1, out.Expected+1
			continue
		}
		out.Skew += st.peak()
		best, peak := improve(st, limits, fresh)
		out.Expected += peak
		out.Map.Layers[layer] = best
	}
	out.Skew /= float64(len(m.Layers))
	out.Expected /= float64(len(m.Layers))
	for _, n := range fresh {
		out.Fresh += n
		out.FreshMost = max(out.FreshMost, n)
	}
	for i := range out.Map.Layers {
		empty(out.Map.Layers[i], m.Experts)
	}
	return out, nil
}

// improve takes single steps, and returns the slots after that prefix of them with
// the largest gain for its copies. It adds the copies to those that the ranks fetch
// in other layers.
func improve(st *layerState, limits SpreadLimits, fetched []int) ([]int32, float64) {
	st.limitFresh(limits, fetched)
	bestFresh := make([]int, st.Ranks)
	before := st.peak()
	best, peak, net := slices.Clone(st.slots), before, 0.0
	for range 2 * len(st.slots) {
		c, ok := st.step(st.Ranks)
		if !ok {
			break
		}
		taken := 0
		for _, n := range st.fresh {
			taken += n
		}
		if limits.FreshInLayer > 0 && taken > limits.FreshInLayer {
			break
		}
		if n := before - c.peak - limits.MoveCost*float64(taken)/float64(st.Ranks); n > net {
			net, peak = n, c.peak
			copy(best, st.slots)
			copy(bestFresh, st.fresh)
		}
		if c.peak < evenPeak {
			break
		}
	}
	for rank, n := range bestFresh {
		fetched[rank] += n
	}
	return best, peak
}

// fillEmpty puts experts without load into empty slots, so that every slot holds
// one. They have numbers beyond those of the map.
func fillEmpty(m track.ExpertMap) (Shape, [][]int32) {
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
	// A rank may have any number of empty slots.
	shape.Experts += m.Slots
	return shape, filled
}

func empty(slots []int32, experts int) {
	for i, e := range slots {
		if int(e) >= experts {
			slots[i] = track.NoExpert
		}
	}
}
