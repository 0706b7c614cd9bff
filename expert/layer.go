package expert

import "slices"

// change is a single move, or the two moves of a swap, in one layer.
type change struct {
	moves     [2]Move
	moveCount int
	// peak is the load of the slowest rank after the change.
	peak float64
}

// layerState is the state of one layer while changes to it are tried. Loads are
// relative to the mean load of the ranks.
type layerState struct {
	Shape
	layer int
	slots []int32
	// expertLoad is the load of each expert, copyLoad the load of each of its copies.
	expertLoad []float64
	copyLoad   []float64
	copies     []int
	// holders lists the ranks with a copy of the expert.
	holders [][]int32
	// holds is set for each rank and expert if the rank has a copy.
	holds []bool
	// rankLoad is the load of each rank, multiplied by its slowdown.
	rankLoad []float64
	// slowdown is the time that each rank needs for the same work, relative to a rank
	// in good health.
	slowdown []float64
	// rankPenalty is the penalty of each rank's load.
	rankPenalty []float64
	// ranksByLoad lists the ranks by load, least loaded first.
	ranksByLoad []int
	// firstPlaceholder is the first of the placeholder experts without load that fill
	// empty slots; 0 if slots are never empty.
	firstPlaceholder int
	// initialHolds is holds before the first change; nil if the number of new copies
	// isn't limited.
	initialHolds []bool
	// newCopies is the number of copies that each rank has received, maxNewCopies its
	// limit.
	newCopies    []int
	maxNewCopies []int
}

// limitNewCopies limits the copies that each rank receives beyond those that it
// holds, given the number of copies that it fetches in other layers.
func (st *layerState) limitNewCopies(limits RebalanceLimits, fetched []int) {
	st.initialHolds = append(st.initialHolds[:0], st.holds...)
	st.newCopies = make([]int, st.Ranks)
	st.maxNewCopies = make([]int, st.Ranks)
	for rank := range st.maxNewCopies {
		st.maxNewCopies[rank] = limits.MaxFetchesPerRankAndLayer
		if limits.MaxFetchesPerRank > 0 {
			st.maxNewCopies[rank] = min(limits.MaxFetchesPerRankAndLayer, limits.MaxFetchesPerRank-fetched[rank])
		}
	}
}

// mayReplace reports whether the limit on new copies allows a rank to replace its
// copy of one expert by a copy of another.
func (st *layerState) mayReplace(rank int, from, to int32) bool {
	if st.initialHolds == nil || st.isPlaceholder(to) || st.initialHolds[rank*st.Experts+int(to)] ||
		st.newCopies[rank] < st.maxNewCopies[rank] {
		return true
	}
	return !st.initialHolds[rank*st.Experts+int(from)] && !st.isPlaceholder(from)
}

// isPlaceholder reports whether an expert represents an empty slot, for which no
// weights are fetched.
func (st *layerState) isPlaceholder(e int32) bool {
	return st.firstPlaceholder > 0 && int(e) >= st.firstPlaceholder
}

func newLayerState(s Shape) *layerState {
	st := &layerState{
		Shape:       s,
		slots:       make([]int32, s.Ranks*s.Slots),
		expertLoad:  make([]float64, s.Experts),
		copyLoad:    make([]float64, s.Experts),
		copies:      make([]int, s.Experts),
		holders:     make([][]int32, s.Experts),
		holds:       make([]bool, s.Ranks*s.Experts),
		slowdown:    slices.Repeat([]float64{1}, s.Ranks),
		rankLoad:    make([]float64, s.Ranks),
		rankPenalty: make([]float64, s.Ranks),
		ranksByLoad: make([]int, s.Ranks),
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
		st.expertLoad[e] = t * float64(st.Ranks) / total
		st.holders[e] = st.holders[e][:0]
	}
	for i, e := range st.slots {
		rank := i / st.Slots
		st.holders[e] = append(st.holders[e], int32(rank))
		st.holds[rank*st.Experts+int(e)] = true
	}
	for e := range st.copies {
		st.copies[e] = len(st.holders[e])
		st.copyLoad[e] = st.expertLoad[e] / float64(max(st.copies[e], 1))
	}
	clear(st.rankLoad)
	for i, e := range st.slots {
		st.rankLoad[i/st.Slots] += st.copyLoad[e] * st.slowdown[i/st.Slots]
	}
	for rank, load := range st.rankLoad {
		st.rankPenalty[rank] = penalty(load)
		st.ranksByLoad[rank] = rank
	}
	return true
}

// penalty returns the eighth power of a rank's load, so that the slowest ranks
// dominate the sum over the ranks.
func penalty(load float64) float64 {
	load *= load
	load *= load
	return load * load
}

// peak returns the load of the slowest rank.
func (st *layerState) peak() float64 {
	return slices.Max(st.rankLoad)
}

// sortRanks sorts the ranks by load, and ranks of equal load by number. Few ranks
// change between calls, so an insertion sort moves few elements.
func (st *layerState) sortRanks() {
	for i := 1; i < len(st.ranksByLoad); i++ {
		rank := st.ranksByLoad[i]
		j := i
		for ; j > 0 && st.sortsAfter(st.ranksByLoad[j-1], rank); j-- {
			st.ranksByLoad[j] = st.ranksByLoad[j-1]
		}
		st.ranksByLoad[j] = rank
	}
}

func (st *layerState) sortsAfter(a, b int) bool {
	return st.rankLoad[a] > st.rankLoad[b] || st.rankLoad[a] == st.rankLoad[b] && a > b
}

// replaceGain returns how much the penalty falls if the redundant copy in a slot is
// replaced by a copy of another expert.
func (st *layerState) replaceGain(slot int, to int32) float64 {
	rank := int32(slot / st.Slots)
	from := st.slots[slot]
	newCopyLoad := st.expertLoad[to] / float64(st.copies[to]+1)
	rise, fall := st.riseWithoutCopy(from), st.copyLoad[to]-newCopyLoad
	gain := 0.0
	for _, r := range st.holders[from] {
		if r == rank {
			continue
		}
		load := st.rankLoad[r] + rise*st.slowdown[r]
		if st.holds[int(r)*st.Experts+int(to)] {
			load -= fall * st.slowdown[r]
		}
		gain += st.rankPenalty[r] - penalty(load)
	}
	for _, r := range st.holders[to] {
		if !st.holds[int(r)*st.Experts+int(from)] {
			gain += st.rankPenalty[r] - penalty(st.rankLoad[r]-fall*st.slowdown[r])
		}
	}
	return gain + st.rankPenalty[rank] -
		penalty(st.rankLoad[rank]+(newCopyLoad-st.copyLoad[from])*st.slowdown[rank])
}

// riseWithoutCopy returns how much the load of each other copy of an expert rises if
// one copy is removed. Experts with a single copy that can be removed are
// placeholders, which have no load.
func (st *layerState) riseWithoutCopy(e int32) float64 {
	if st.copies[e] < 2 {
		return 0
	}
	return st.expertLoad[e]/float64(st.copies[e]-1) - st.copyLoad[e]
}

// swapGain returns how much the penalty falls if two slots exchange experts.
func (st *layerState) swapGain(slotA, slotB int) float64 {
	rankA, rankB := slotA/st.Slots, slotB/st.Slots
	difference := st.copyLoad[st.slots[slotA]] - st.copyLoad[st.slots[slotB]]
	return st.rankPenalty[rankA] + st.rankPenalty[rankB] -
		penalty(st.rankLoad[rankA]-difference*st.slowdown[rankA]) -
		penalty(st.rankLoad[rankB]+difference*st.slowdown[rankB])
}

// replace puts an expert into a slot in place of another and updates the loads.
func (st *layerState) replace(slot int, to int32) Move {
	rank := slot / st.Slots
	from := st.slots[slot]
	if st.initialHolds != nil {
		if !st.initialHolds[rank*st.Experts+int(from)] && !st.isPlaceholder(from) {
			st.newCopies[rank]--
		}
		if !st.initialHolds[rank*st.Experts+int(to)] && !st.isPlaceholder(to) {
			st.newCopies[rank]++
		}
	}
	st.addCopies(from, -1)
	st.addCopies(to, 1)
	i := slices.Index(st.holders[from], int32(rank))
	st.holders[from] = slices.Delete(st.holders[from], i, i+1)
	st.rankLoad[rank] += (st.copyLoad[to] - st.copyLoad[from]) * st.slowdown[rank]
	st.holders[to] = append(st.holders[to], int32(rank))
	st.holds[rank*st.Experts+int(from)] = false
	st.holds[rank*st.Experts+int(to)] = true
	st.slots[slot] = to
	st.rankPenalty[rank] = penalty(st.rankLoad[rank])
	return Move{Layer: st.layer, Rank: rank, Slot: slot % st.Slots, From: int(from), To: int(to)}
}

// addCopies changes the number of copies of an expert by delta and updates the load
// of the ranks that hold it.
func (st *layerState) addCopies(e int32, delta int) {
	st.copies[e] += delta
	load := 0.0
	if st.copies[e] > 0 {
		load = st.expertLoad[e] / float64(st.copies[e])
	}
	for _, r := range st.holders[e] {
		st.rankLoad[r] += (load - st.copyLoad[e]) * st.slowdown[r]
		st.rankPenalty[r] = penalty(st.rankLoad[r])
	}
	st.copyLoad[e] = load
}

// candidate is the best change found so far: a slot receives an expert, or exchanges
// experts with another slot.
type candidate struct {
	slot   int
	expert int32
	// swapSlot is the other slot of a swap, -1 if the change isn't one.
	swapSlot int
	// gain is the fall of the penalty for each move.
	gain float64
}

// applyBestChange applies the change with the largest gain for each move that
// involves the slowest rank, with up to the given number of least loaded ranks as
// targets. It returns false if no change has a gain.
func (st *layerState) applyBestChange(targets int) (change, bool) {
	st.sortRanks()
	slowest := st.ranksByLoad[st.Ranks-1]
	best := candidate{swapSlot: -1, gain: minPenaltyGain}
	st.tryNewCopies(slowest, targets, &best)
	st.tryReplacements(slowest, &best)
	st.trySwaps(slowest, targets, &best)
	st.tryDrops(slowest, &best)
	if best.gain == minPenaltyGain {
		return change{}, false
	}
	var c change
	if best.swapSlot < 0 {
		c.moves[0] = st.replace(best.slot, best.expert)
		c.moveCount = 1
	} else {
		a, b := st.slots[best.slot], st.slots[best.swapSlot]
		c.moves[0] = st.replace(best.slot, b)
		c.moves[1] = st.replace(best.swapSlot, a)
		c.moveCount = 2
	}
	c.peak = st.peak()
	return c, true
}

// tryNewCopies tries additional copies of the slowest rank's experts on the least
// loaded ranks.
func (st *layerState) tryNewCopies(slowest, targets int, best *candidate) {
	for _, e := range st.slots[slowest*st.Slots : (slowest+1)*st.Slots] {
		holdersGain := st.holdersGain(e)
		for _, rank := range st.ranksByLoad[:min(targets, st.Ranks-1)] {
			st.tryNewCopy(rank, e, holdersGain, best)
		}
	}
}

// tryReplacements tries experts of other heavily loaded ranks in place of the
// slowest rank's redundant copies.
func (st *layerState) tryReplacements(slowest int, best *candidate) {
	for _, rank := range st.ranksByLoad[max(0, st.Ranks-mostLoadedRanks) : st.Ranks-1] {
		for _, e := range st.slots[rank*st.Slots : (rank+1)*st.Slots] {
			st.tryNewCopy(slowest, e, st.holdersGain(e), best)
		}
	}
}

// holdersGain returns how much the penalty of the ranks that hold an expert falls if
// there is one more copy elsewhere.
func (st *layerState) holdersGain(e int32) float64 {
	fall := st.copyLoad[e] - st.expertLoad[e]/float64(st.copies[e]+1)
	gain := 0.0
	for _, r := range st.holders[e] {
		gain += st.rankPenalty[r] - penalty(st.rankLoad[r]-fall*st.slowdown[r])
	}
	return gain
}

// tryNewCopy tries an additional copy of an expert in each slot of a rank that has a
// redundant copy. The gain of the expert's holders, together with the change on the
// rank itself, is an upper bound of the gain.
func (st *layerState) tryNewCopy(rank int, to int32, holdersGain float64, best *candidate) {
	if st.holds[rank*st.Experts+int(to)] {
		return
	}
	newCopyLoad := st.expertLoad[to] / float64(st.copies[to]+1)
	for slot := rank * st.Slots; slot < (rank+1)*st.Slots; slot++ {
		from := st.slots[slot]
		if st.copies[from] < 2 && !st.isPlaceholder(from) || !st.mayReplace(rank, from, to) {
			continue
		}
		bound := holdersGain + st.rankPenalty[rank] -
			penalty(st.rankLoad[rank]+(newCopyLoad-st.copyLoad[from])*st.slowdown[rank])
		if st.lossExceeds(slot, to, bound-best.gain) {
			continue
		}
		if gain := st.replaceGain(slot, to); gain > best.gain {
			*best = candidate{slot: slot, expert: to, swapSlot: -1, gain: gain}
		}
	}
}

// lossExceeds reports whether removing the copy in a slot costs more than the upper
// bound of what an additional copy of another expert gains, up to rounding errors.
func (st *layerState) lossExceeds(slot int, to int32, gain float64) bool {
	if gain <= 0 {
		return true
	}
	from := st.slots[slot]
	rank := int32(slot / st.Slots)
	rise := st.riseWithoutCopy(from)
	fall := st.copyLoad[to] - st.expertLoad[to]/float64(st.copies[to]+1)
	for _, r := range st.holders[from] {
		if r == rank {
			continue
		}
		load, before := st.rankLoad[r], st.rankPenalty[r]
		if st.holds[int(r)*st.Experts+int(to)] {
			load -= fall * st.slowdown[r]
			before = penalty(load)
		}
		gain -= penalty(load+rise*st.slowdown[r]) - before
		if gain < -gainTolerance {
			return true
		}
	}
	return false
}

// tryDrops tries an empty slot in place of each redundant copy of the slowest rank.
func (st *layerState) tryDrops(slowest int, best *candidate) {
	placeholder := int32(st.firstPlaceholder)
	for placeholder < int32(st.Experts) && st.holds[slowest*st.Experts+int(placeholder)] {
		placeholder++
	}
	if st.firstPlaceholder == 0 || int(placeholder) == st.Experts {
		return
	}
	for slot := slowest * st.Slots; slot < (slowest+1)*st.Slots; slot++ {
		if st.copies[st.slots[slot]] < 2 {
			continue
		}
		if gain := st.replaceGain(slot, placeholder); gain > best.gain {
			*best = candidate{slot: slot, expert: placeholder, swapSlot: -1, gain: gain}
		}
	}
}

// trySwaps tries exchanges between the slowest rank and the least loaded ranks.
func (st *layerState) trySwaps(slowest, targets int, best *candidate) {
	for _, rank := range st.ranksByLoad[:min(targets, st.Ranks-1)] {
		for a := slowest * st.Slots; a < (slowest+1)*st.Slots; a++ {
			if st.holds[rank*st.Experts+int(st.slots[a])] {
				continue
			}
			for b := rank * st.Slots; b < (rank+1)*st.Slots; b++ {
				if st.holds[slowest*st.Experts+int(st.slots[b])] || !st.mayReplace(rank, st.slots[b], st.slots[a]) ||
					!st.mayReplace(slowest, st.slots[a], st.slots[b]) {
					continue
				}
				if gain := st.swapGain(a, b) / 2; gain > best.gain {
					*best = candidate{slot: a, swapSlot: b, gain: gain}
				}
			}
		}
	}
}
