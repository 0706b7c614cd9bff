package expert

const (
	// recentDecay is the factor applied to the earlier counts when new ones are added.
	recentDecay = 0.6
	// minNewChoices is the least number of new choices for which the counts are
	// evaluated; fewer are left for a later call.
	minNewChoices = 1500
	// minShiftDistance is the share of the choices that must have moved to other experts
	// for the demand to count as shifted. With the few requests of one rank, the
	// choices vary by about half of that at random.
	minShiftDistance = 0.3
)

// RecentChoices tracks how often a rank's requests chose each expert recently. Older
// choices decay, and are discarded once the demand has shifted to other experts. It
// is not safe for concurrent use.
type RecentChoices struct {
	// lastCounts holds the cumulative counts up to which choices were evaluated.
	lastCounts []float64
	// rankStart identifies the start of the rank to which the counts belong.
	rankStart int64
	// weights is the decayed number of choices of each expert; nil before the first.
	weights []float64
}

// Add adds the cumulative counts since the rank started, where rankStart tells
// restarts of the rank apart. It reports whether they show that the demand has
// shifted; the first choices after a start count as a shift.
func (r *RecentChoices) Add(rankStart int64, counts []float64) bool {
	if rankStart != r.rankStart || len(counts) != len(r.lastCounts) {
		r.rankStart, r.lastCounts, r.weights = rankStart, counts, nil
		return false
	}
	total := 0.0
	added := make([]float64, len(counts))
	for i, n := range counts {
		added[i] = max(n-r.lastCounts[i], 0)
		total += added[i]
	}
	if total < minNewChoices {
		return false
	}
	r.lastCounts = counts
	if r.weights == nil {
		r.weights = added
		return true
	}
	if totalVariation(r.weights, added, total) > minShiftDistance {
		r.weights = added
		return true
	}
	for i := range added {
		r.weights[i] = recentDecay*r.weights[i] + added[i]
	}
	return false
}

// Weights returns the weight of each expert's recent choices, in decayed counts; nil
// before the first choices.
func (r *RecentChoices) Weights() []float64 {
	return r.weights
}

// totalVariation returns the share of the choices, from 0 to 1, that would have to
// move to other experts to turn the previous distribution into the current one. It
// returns 1 if there are no previous choices.
func totalVariation(previous, current []float64, currentTotal float64) float64 {
	previousTotal := 0.0
	for _, n := range previous {
		previousTotal += n
	}
	if previousTotal == 0 {
		return 1
	}
	sum := 0.0
	for i := range previous {
		difference := previous[i]/previousTotal - current[i]/currentTotal
		sum += max(difference, -difference)
	}
	return sum / 2
}
