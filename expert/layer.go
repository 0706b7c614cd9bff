package expert

import "slices"

// change is a group of moves in one layer that only make sense together.
type change struct {
	moves [2]Move
	n     int
	// peak is the load of the slowest rank after the change.
	peak float64
}

// layerState is one layer while the planner tries changes on it. Loads are
// relative to the mean of the ranks.
type layerState struct {
	Shape
	layer int
	slots []int32
	// load is the load of each expert, share the load of each of its copies.
	load   []float64
	share  []float64
	copies []int
	// holders lists the ranks with a copy of the expert.
	holders [][]int32
	// holds is set for each rank and expert if the rank has a copy.
	holds []bool
	// ranks is the load of each rank, weighed by its pace.
	ranks []float64
	// pace is the time that each rank needs for the same work, relative to others.
	pace []float64
	// penalty is the penalty of each rank's load.
	penalty []float64
	// order lists the ranks by load, least first.
	order []int
	// empty is the first of the experts without load that stand for empty slots; 0 if
	// slots are never empty.
	empty int
	// kept is set for each rank and expert that the rank held at the start; nil
	// without a limit on new copies.
	kept []bool
	// fresh counts the copies that each rank has got, maxFresh bounds them.
	fresh    []int
	maxFresh []int
}

// limitFresh bounds the copies that each rank gets beyond those that it holds and
// those that it fetches in other layers.
func (st *layerState) limitFresh(limits SpreadLimits, fetched []int) {
	st.kept = append(st.kept[:0], st.holds...)
	st.fresh = make([]int, st.Ranks)
	st.maxFresh = make([]int, st.Ranks)
	for rank := range st.maxFresh {
		st.maxFresh[rank] = limits.FreshPerLayer
		if limits.FreshPerRank > 0 {
			st.maxFresh[rank] = min(limits.FreshPerLayer, limits.FreshPerRank-fetched[rank])
		}
	}
}

// mayTake reports whether a rank may get a copy of expert b in place of a.
func (st *layerState) mayTake(rank int, a, b int32) bool {
	if st.kept == nil || st.standsForEmpty(b) || st.kept[rank*st.Experts+int(b)] || st.fresh[rank] < st.maxFresh[rank] {
		return true
	}
	return !st.kept[rank*st.Experts+int(a)] && !st.standsForEmpty(a)
}

// standsForEmpty reports whether an expert stands for an empty slot, which nobody has
// to fetch.
func (st *layerState) standsForEmpty(e int32) bool {
	return st.empty > 0 && int(e) >= st.empty
}

func newLayerState(s Shape) *layerState {
	st := &layerState{
		Shape:   s,
		slots:   make([]int32, s.Ranks*s.Slots),
		load:    make([]float64, s.Experts),
		share:   make([]float64, s.Experts),
		copies:  make([]int, s.Experts),
		holders: make([][]int32, s.Experts),
		holds:   make([]bool, s.Ranks*s.Experts),
		pace:    slices.Repeat([]float64{1}, s.Ranks),
		ranks:   make([]float64, s.Ranks),
		penalty: make([]float64, s.Ranks),
		order:   make([]int, s.Ranks),
	}
	for e := range st.holders {
		st.holders[e] = make([]int32, 0, s.Ranks)
	}
	return st
}

// reset loads the slots and tokens of a layer. It returns false for a layer
// without tokens.
func (st *layerState) reset(layer int, slots []int32, tokens []float64) bool {
	total := 0.0
	for _, t := range tokens {
		total += t
	}
	if total <= 0 {
		return false
	}
	st.layer = layer
	copy(st.slots, slots)
	clear(st.holds)
	for e, t := range tokens {
		st.load[e] = t * float64(st.Ranks) / total
		st.holders[e] = st.holders[e][:0]
	}
	for i, e := range st.slots {
		rank := i / st.Slots
		st.holders[e] = append(st.holders[e], int32(rank))
		st.holds[rank*st.Experts+int(e)] = true
	}
	for e := range st.copies {
		st.copies[e] = len(st.holders[e])
		st.share[e] = st.load[e] / float64(max(st.copies[e], 1))
	}
	clear(st.ranks)
	for i, e := range st.slots {
		st.ranks[i/st.Slots] += st.share[e] * st.pace[i/st.Slots]
	}
	for r, x := range st.ranks {
		st.penalty[r] = penalty(x)
		st.order[r] = r
	}
	return true
}

// penalty weighs the load of a rank such that the slowest ranks count most.
func penalty(x float64) float64 {
	x *= x
	x *= x
	return x * x
}

func (st *layerState) peak() float64 {
	return slices.Max(st.ranks)
}

// sortRanks orders the ranks by load; equal loads keep the order of the ranks.
// Few ranks change between calls, so that an insertion sort moves little.
func (st *layerState) sortRanks() {
	for i := 1; i < len(st.order); i++ {
		rank := st.order[i]
		j := i
		for ; j > 0 && st.after(st.order[j-1], rank); j-- {
			st.order[j] = st.order[j-1]
		}
		st.order[j] = rank
	}
}

func (st *layerState) after(a, b int) bool {
	return st.ranks[a] > st.ranks[b] || st.ranks[a] == st.ranks[b] && a > b
}

// replaceGain returns how much the penalty falls if the slot takes expert b in
// place of its redundant copy of a.
func (st *layerState) replaceGain(slot int, b int32) float64 {
	rank := int32(slot / st.Slots)
	a := st.slots[slot]
	newB := st.load[b] / float64(st.copies[b]+1)
	riseA, fallB := st.riseWithout(a), st.share[b]-newB
	gain := 0.0
	for _, r := range st.holders[a] {
		if r == rank {
			continue
		}
		x := st.ranks[r] + riseA*st.pace[r]
		if st.holds[int(r)*st.Experts+int(b)] {
			x -= fallB * st.pace[r]
		}
		gain += st.penalty[r] - penalty(x)
	}
	for _, r := range st.holders[b] {
		if !st.holds[int(r)*st.Experts+int(a)] {
			gain += st.penalty[r] - penalty(st.ranks[r]-fallB*st.pace[r])
		}
	}
	return gain + st.penalty[rank] - penalty(st.ranks[rank]+(newB-st.share[a])*st.pace[rank])
}

// riseWithout returns how much the share of each copy of an expert rises with one copy
// less. An expert with one copy has no load.
func (st *layerState) riseWithout(a int32) float64 {
	if st.copies[a] < 2 {
		return 0
	}
	return st.load[a]/float64(st.copies[a]-1) - st.share[a]
}

// swapGain returns how much the penalty falls if two slots exchange experts.
func (st *layerState) swapGain(slotA, slotB int) float64 {
	ra, rb := slotA/st.Slots, slotB/st.Slots
	d := st.share[st.slots[slotA]] - st.share[st.slots[slotB]]
	return st.penalty[ra] + st.penalty[rb] - penalty(st.ranks[ra]-d*st.pace[ra]) - penalty(st.ranks[rb]+d*st.pace[rb])
}

// put replaces the expert of a slot and updates the loads.
func (st *layerState) put(slot int, b int32) Move {
	rank := slot / st.Slots
	a := st.slots[slot]
	if st.kept != nil {
		if !st.kept[rank*st.Experts+int(a)] && !st.standsForEmpty(a) {
			st.fresh[rank]--
		}
		if !st.kept[rank*st.Experts+int(b)] && !st.standsForEmpty(b) {
			st.fresh[rank]++
		}
	}
	st.shift(a, -1)
	st.shift(b, 1)
	i := slices.Index(st.holders[a], int32(rank))
	st.holders[a] = slices.Delete(st.holders[a], i, i+1)
	st.ranks[rank] += (st.share[b] - st.share[a]) * st.pace[rank]
	st.holders[b] = append(st.holders[b], int32(rank))
	st.holds[rank*st.Experts+int(a)] = false
	st.holds[rank*st.Experts+int(b)] = true
	st.slots[slot] = b
	st.penalty[rank] = penalty(st.ranks[rank])
	return Move{Layer: st.layer, Rank: rank, Slot: slot % st.Slots, From: int(a), To: int(b)}
}

// shift changes the number of copies of an expert and the load of its holders.
func (st *layerState) shift(e int32, by int) {
	st.copies[e] += by
	share := 0.0
	if st.copies[e] > 0 {
		share = st.load[e] / float64(st.copies[e])
	}
	for _, r := range st.holders[e] {
		st.ranks[r] += (share - st.share[e]) * st.pace[r]
		st.penalty[r] = penalty(st.ranks[r])
	}
	st.share[e] = share
}

// candidate is a change that was weighed. A swap has a second slot.
type candidate struct {
	slot   int
	expert int32
	other  int
	gain   float64
}

// step applies the change with the most gain for each move that involves the
// slowest rank. It returns false if no change has any.
func (st *layerState) step(cool int) (change, bool) {
	st.sortRanks()
	hot := st.order[st.Ranks-1]
	best := candidate{other: -1, gain: minPenaltyGain}
	st.tryCopies(hot, cool, &best)
	st.tryRelief(hot, &best)
	st.trySwaps(hot, cool, &best)
	st.tryDrops(hot, &best)
	if best.gain == minPenaltyGain {
		return change{}, false
	}
	var c change
	if best.other < 0 {
		c.moves[0] = st.put(best.slot, best.expert)
		c.n = 1
	} else {
		a, b := st.slots[best.slot], st.slots[best.other]
		c.moves[0] = st.put(best.slot, b)
		c.moves[1] = st.put(best.other, a)
		c.n = 2
	}
	c.peak = st.peak()
	return c, true
}

// tryCopies weighs further copies of the hot rank's experts on cool ranks.
func (st *layerState) tryCopies(hot, cool int, best *candidate) {
	for _, b := range st.slots[hot*st.Slots : (hot+1)*st.Slots] {
		relief := st.relief(b)
		for _, rank := range st.order[:min(cool, st.Ranks-1)] {
			st.tryRank(rank, b, relief, best)
		}
	}
}

// tryRelief weighs experts of other hot ranks in place of the hot rank's
// redundant copies.
func (st *layerState) tryRelief(hot int, best *candidate) {
	for _, rank := range st.order[max(0, st.Ranks-hotRanks) : st.Ranks-1] {
		for _, b := range st.slots[rank*st.Slots : (rank+1)*st.Slots] {
			st.tryRank(hot, b, st.relief(b), best)
		}
	}
}

// relief returns how much the penalty of the holders of an expert falls if there
// is another copy.
func (st *layerState) relief(b int32) float64 {
	fall := st.share[b] - st.load[b]/float64(st.copies[b]+1)
	gain := 0.0
	for _, r := range st.holders[b] {
		gain += st.penalty[r] - penalty(st.ranks[r]-fall*st.pace[r])
	}
	return gain
}

// tryRank weighs a further copy of expert b in each slot of a rank that has a
// redundant copy. The relief bounds the gain from above, together with the
// change of the rank itself.
func (st *layerState) tryRank(rank int, b int32, relief float64, best *candidate) {
	if st.holds[rank*st.Experts+int(b)] {
		return
	}
	newB := st.load[b] / float64(st.copies[b]+1)
	for slot := rank * st.Slots; slot < (rank+1)*st.Slots; slot++ {
		a := st.slots[slot]
		if st.copies[a] < 2 && !st.standsForEmpty(a) || !st.mayTake(rank, a, b) {
			continue
		}
		bound := relief + st.penalty[rank] - penalty(st.ranks[rank]+(newB-st.share[a])*st.pace[rank])
		if st.outweighed(slot, b, bound-best.gain) {
			continue
		}
		if gain := st.replaceGain(slot, b); gain > best.gain {
			*best = candidate{slot: slot, expert: b, other: -1, gain: gain}
		}
	}
}

// outweighed reports whether the loss of the copy in a slot exceeds what a
// further copy of expert b may gain at most, up to rounding.
func (st *layerState) outweighed(slot int, b int32, gain float64) bool {
	if gain <= 0 {
		return true
	}
	a := st.slots[slot]
	rank := int32(slot / st.Slots)
	rise := st.riseWithout(a)
	fall := st.share[b] - st.load[b]/float64(st.copies[b]+1)
	for _, r := range st.holders[a] {
		if r == rank {
			continue
		}
		x, before := st.ranks[r], st.penalty[r]
		if st.holds[int(r)*st.Experts+int(b)] {
			x -= fall * st.pace[r]
			before = penalty(x)
		}
		gain -= penalty(x+rise*st.pace[r]) - before
		if gain < -rounding {
			return true
		}
	}
	return false
}

// tryDrops weighs an empty slot in place of each redundant copy of the hot rank.
func (st *layerState) tryDrops(hot int, best *candidate) {
	nothing := int32(st.empty)
	for nothing < int32(st.Experts) && st.holds[hot*st.Experts+int(nothing)] {
		nothing++
	}
	if st.empty == 0 || int(nothing) == st.Experts {
		return
	}
	for slot := hot * st.Slots; slot < (hot+1)*st.Slots; slot++ {
		if st.copies[st.slots[slot]] < 2 {
			continue
		}
		if gain := st.replaceGain(slot, nothing); gain > best.gain {
			*best = candidate{slot: slot, expert: nothing, other: -1, gain: gain}
		}
	}
}

// trySwaps weighs exchanges between the hot rank and cool ranks.
func (st *layerState) trySwaps(hot, cool int, best *candidate) {
	for _, rank := range st.order[:min(cool, st.Ranks-1)] {
		for a := hot * st.Slots; a < (hot+1)*st.Slots; a++ {
			if st.holds[rank*st.Experts+int(st.slots[a])] {
				continue
			}
			for b := rank * st.Slots; b < (rank+1)*st.Slots; b++ {
				if st.holds[hot*st.Experts+int(st.slots[b])] || !st.mayTake(rank, st.slots[b], st.slots[a]) || !st.mayTake(hot, st.slots[a], st.slots[b]) {
					continue
				}
				if gain := st.swapGain(a, b) / 2; gain > best.gain {
					*best = candidate{slot: a, other: b, gain: gain}
				}
			}
		}
	}
}
