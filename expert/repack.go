package expert

import (
	"cmp"
	"slices"
)

// Repack computes a placement from scratch. Spare slots go to the experts with the
// largest load for each copy. Then each copy, the most loaded first, goes to the
// least loaded rank that has a free slot and no copy of the expert yet.
func Repack(s Shape, loads Loads) Placement {
	p := Placement{Shape: s, slots: make([]int32, 0, s.Layers*s.Ranks*s.Slots)}
	for layer := range s.Layers {
		p.slots = append(p.slots, repackLayer(s, loads[layer])...)
	}
	return p
}

// Uniform returns the placement that Repack computes for experts of equal load.
func Uniform(s Shape) Placement {
	loads := NewLoads(s)
	for _, layer := range loads {
		for e := range layer {
			layer[e] = 1
		}
	}
	return Repack(s, loads)
}

// LowerBound returns a lower bound of the skew of any placement with the slots of the
// shape, averaged over the layers. The load of the slowest rank is never below the
// mean, nor below the largest load of a copy when the spare slots are allocated so
// that this load is as small as possible.
func LowerBound(s Shape, loads Loads) float64 {
	sum := 0.0
	for _, tokens := range loads {
		sum += layerLowerBound(s, tokens)
	}
	return sum / float64(len(loads))
}

func layerLowerBound(s Shape, tokens []float64) float64 {
	total := 0.0
	for _, t := range tokens {
		total += t
	}
	if total == 0 {
		return 1
	}
	hottest := 0.0
	for e, c := range allocateCopies(s, tokens) {
		hottest = max(hottest, tokens[e]/float64(c))
	}
	return max(1, hottest*float64(s.Ranks)/total)
}

// allocateCopies returns the number of copies of each expert that minimizes the
// largest load of a copy. The copies fill all slots.
func allocateCopies(s Shape, tokens []float64) []int {
	copies := make([]int, s.Experts)
	for e := range copies {
		copies[e] = 1
	}
	for range s.Ranks*s.Slots - s.Experts {
		hottest := -1
		for e, t := range tokens {
			if copies[e] < s.Ranks && (hottest < 0 || t/float64(copies[e]) > tokens[hottest]/float64(copies[hottest])) {
				hottest = e
			}
		}
		copies[hottest]++
	}
	return copies
}

// repackLayer returns the slots of a layer computed from scratch; see Repack.
func repackLayer(s Shape, tokens []float64) []int32 {
	copies := allocateCopies(s, tokens)
	byLoad := make([]int, s.Experts)
	for e := range byLoad {
		byLoad[e] = e
	}
	slices.SortStableFunc(byLoad, func(a, b int) int {
		return cmp.Compare(tokens[b]/float64(copies[b]), tokens[a]/float64(copies[a]))
	})
	b := newBins(s)
	for _, e := range byLoad {
		for range copies[e] {
			b.place(int32(e), tokens[e]/float64(copies[e]))
		}
	}
	return b.slots()
}

// bins holds the ranks of a layer while copies are assigned to them.
type bins struct {
	Shape
	held [][]int32
	load []float64
}

func newBins(s Shape) *bins {
	return &bins{Shape: s, held: make([][]int32, s.Ranks), load: make([]float64, s.Ranks)}
}

// place assigns a copy to the least loaded rank that has a free slot and doesn't hold
// the expert yet. If every rank with a free slot holds the expert already, a copy of
// another expert is moved to free a slot elsewhere.
func (b *bins) place(e int32, load float64) {
	target := -1
	for r, held := range b.held {
		if len(held) == b.Slots || slices.Contains(held, e) {
			continue
		}
		if target < 0 || b.load[r] < b.load[target] {
			target = r
		}
	}
	if target < 0 {
		target = b.freeSlot(e)
	}
	b.held[target] = append(b.held[target], e)
	b.load[target] += load
}

// freeSlot moves a copy from a rank without the expert to a rank with a free slot, and
// returns the rank that has a free slot now.
func (b *bins) freeSlot(e int32) int {
	freeRank := slices.IndexFunc(b.held, func(held []int32) bool { return len(held) < b.Slots })
	for r, held := range b.held {
		if slices.Contains(held, e) {
			continue
		}
		for i, other := range held {
			if !slices.Contains(b.held[freeRank], other) {
				b.held[freeRank] = append(b.held[freeRank], other)
				b.held[r] = slices.Delete(held, i, i+1)
				return r
			}
		}
	}
	return freeRank
}

func (b *bins) slots() []int32 {
	out := make([]int32, 0, b.Ranks*b.Slots)
	for _, held := range b.held {
		out = append(out, held...)
	}
	return out
}

// alignToHeld renumbers the ranks of a repacked layer and reorders their slots so
// that ranks keep as many of the experts that they hold as possible.
func alignToHeld(s Shape, held, packed []int32) []int32 {
	out := make([]int32, len(packed))
	for _, match := range matchRanks(s, held, packed) {
		copy(out[match.rank*s.Slots:], alignSlots(rankSlots(s, held, match.rank), rankSlots(s, packed, match.bin)))
	}
	return out
}

// rankSlots returns the slots of a rank from those of a layer.
func rankSlots(s Shape, slots []int32, rank int) []int32 {
	return slots[rank*s.Slots : (rank+1)*s.Slots]
}

// rankMatch assigns a bin of a repacked layer to a rank.
type rankMatch struct{ rank, bin int }

// matchRanks assigns a bin to each rank, starting with the pairs that have the most
// experts in common.
func matchRanks(s Shape, held, packed []int32) []rankMatch {
	common := commonExperts(s, held, packed)
	out := make([]rankMatch, 0, s.Ranks)
	binUsed := make([]bool, s.Ranks)
	rankMatched := make([]bool, s.Ranks)
	for minCommon := s.Slots; minCommon >= 0; minCommon-- {
		for rank := range s.Ranks {
			for bin := 0; bin < s.Ranks && !rankMatched[rank]; bin++ {
				if !binUsed[bin] && common[rank*s.Ranks+bin] >= minCommon {
					binUsed[bin], rankMatched[rank] = true, true
					out = append(out, rankMatch{rank, bin})
				}
			}
		}
	}
	return out
}

// commonExperts returns the number of experts that both hold, for each rank and bin.
func commonExperts(s Shape, held, packed []int32) []int {
	holders := make([][]int, s.Experts)
	for i, e := range held {
		holders[e] = append(holders[e], i/s.Slots)
	}
	common := make([]int, s.Ranks*s.Ranks)
	for i, e := range packed {
		for _, rank := range holders[e] {
			common[rank*s.Ranks+i/s.Slots]++
		}
	}
	return common
}

// alignSlots orders the wanted experts so that those already held stay in their slots.
func alignSlots(held, wanted []int32) []int32 {
	out := make([]int32, len(held))
	var missing []int32
	for _, e := range wanted {
		if !slices.Contains(held, e) {
			missing = append(missing, e)
		}
	}
	for i, e := range held {
		if slices.Contains(wanted, e) {
			out[i] = e
			continue
		}
		out[i], missing = missing[0], missing[1:]
	}
	return out
}
