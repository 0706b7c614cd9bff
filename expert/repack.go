package expert

import (
	"cmp"
	"slices"
)

// Repack computes a placement from nothing: spare slots go to the experts with
// the largest load for each copy, then the copies go, largest first, to the
// rank with the least load that has room.
func Repack(s Shape, loads Loads) Placement {
	p := Placement{Shape: s, slots: make([]int32, 0, s.Layers*s.Ranks*s.Slots)}
	for layer := range s.Layers {
		p.slots = append(p.slots, repackLayer(s, loads[layer])...)
	}
	return p
}

// Uniform returns the placement for experts of equal load.
func Uniform(s Shape) Placement {
	loads := NewLoads(s)
	for _, layer := range loads {
		for e := range layer {
			layer[e] = 1
		}
	}
	return Repack(s, loads)
}

// LowerBound returns the least skew that a placement with the slots of the
// shape can have: no rank is below the mean, nor below its share of the hottest
// expert spread over its copies. It is averaged over the layers.
func LowerBound(s Shape, loads Loads) float64 {
	sum := 0.0
	for _, tokens := range loads {
		sum += lowerBoundLayer(s, tokens)
	}
	return sum / float64(len(loads))
}

func lowerBoundLayer(s Shape, tokens []float64) float64 {
	total := 0.0
	for _, t := range tokens {
		total += t
	}
	if total == 0 {
		return 1
	}
	hottest := 0.0
	for e, c := range spread(s, tokens) {
		hottest = max(hottest, tokens[e]/float64(c))
	}
	return max(1, hottest*float64(s.Ranks)/total)
}

// spread returns the number of copies of each expert such that the largest load
// of a copy is least. The slots are used up.
func spread(s Shape, tokens []float64) []int {
	copies := make([]int, s.Experts)
	for e := range copies {
		copies[e] = 1
	}
	for range s.Ranks*s.Slots - s.Experts {
		best := -1
		for e, t := range tokens {
			if copies[e] < s.Ranks && (best < 0 || t/float64(copies[e]) > tokens[best]/float64(copies[best])) {
				best = e
			}
		}
		copies[best]++
	}
	return copies
}

func repackLayer(s Shape, tokens []float64) []int32 {
	copies := spread(s, tokens)
	order := make([]int, s.Experts)
	for e := range order {
		order[e] = e
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(tokens[b]/float64(copies[b]), tokens[a]/float64(copies[a]))
	})
	b := newBins(s)
	for _, e := range order {
		for range copies[e] {
			b.place(int32(e), tokens[e]/float64(copies[e]))
		}
	}
	return b.slots()
}

// bins are the ranks of a layer while they are filled.
type bins struct {
	Shape
	held [][]int32
	load []float64
}

func newBins(s Shape) *bins {
	return &bins{Shape: s, held: make([][]int32, s.Ranks), load: make([]float64, s.Ranks)}
}

// place puts a copy on the rank with the least load that has room for it. If
// every rank with room holds the expert already, another copy makes way.
func (b *bins) place(e int32, load float64) {
	best := -1
	for r, held := range b.held {
		if len(held) == b.Slots || slices.Contains(held, e) {
			continue
		}
		if best < 0 || b.load[r] < b.load[best] {
			best = r
		}
	}
	if best < 0 {
		best = b.makeRoom(e)
	}
	b.held[best] = append(b.held[best], e)
	b.load[best] += load
}

// makeRoom moves a copy from a rank without the expert to a rank with room, and
// returns the rank that has room now.
func (b *bins) makeRoom(e int32) int {
	room := slices.IndexFunc(b.held, func(held []int32) bool { return len(held) < b.Slots })
	for r, held := range b.held {
		if slices.Contains(held, e) {
			continue
		}
		for i, other := range held {
			if !slices.Contains(b.held[room], other) {
				b.held[room] = append(b.held[room], other)
				b.held[r] = slices.Delete(held, i, i+1)
				return r
			}
		}
	}
	return room
}

func (b *bins) slots() []int32 {
	out := make([]int32, 0, b.Ranks*b.Slots)
	for _, held := range b.held {
		out = append(out, held...)
	}
	return out
}

// fit renames the ranks of a repacked layer, and orders their slots, so that
// they hold as much as possible of what they hold now.
func fit(s Shape, held, packed []int32) []int32 {
	out := make([]int32, len(packed))
	for _, pair := range overlaps(s, held, packed) {
		copy(out[pair.rank*s.Slots:], align(rankSlots(s, held, pair.rank), rankSlots(s, packed, pair.bin)))
	}
	return out
}

func rankSlots(s Shape, slots []int32, rank int) []int32 {
	return slots[rank*s.Slots : (rank+1)*s.Slots]
}

// pair says which bin of a repacked layer a rank takes.
type pair struct{ rank, bin int }

// overlaps pairs each rank with a bin, those with the most in common first.
func overlaps(s Shape, held, packed []int32) []pair {
	common := commonExperts(s, held, packed)
	out := make([]pair, 0, s.Ranks)
	used := make([]bool, s.Ranks)
	done := make([]bool, s.Ranks)
	for want := s.Slots; want >= 0; want-- {
		for rank := range s.Ranks {
			for bin := 0; bin < s.Ranks && !done[rank]; bin++ {
				if !used[bin] && common[rank*s.Ranks+bin] >= want {
					used[bin], done[rank] = true, true
					out = append(out, pair{rank, bin})
				}
			}
		}
	}
	return out
}

// commonExperts counts for each rank and bin the experts that both hold.
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

// align orders the wanted experts such that those held stay in their slots.
func align(held, wanted []int32) []int32 {
	out := make([]int32, len(held))
	var rest []int32
	for _, e := range wanted {
		if !slices.Contains(held, e) {
			rest = append(rest, e)
		}
	}
	for i, e := range held {
		if slices.Contains(wanted, e) {
			out[i] = e
			continue
		}
		out[i], rest = rest[0], rest[1:]
	}
	return out
}
