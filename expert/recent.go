package expert

import (
	"math"
	"slices"
)

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
	// minExcessDistance is the share, beyond what varies at random, from which on the
	// choices of usual samples show a shift.
	minExcessDistance = 0.1
	// usualSamples is the number of latest samples whose median size is usual, and
	// maxUsualRatio the size up to which a sample is usual, relative to the median. Larger
	// ones hold the prompt of a new request, whose choices differ from those of the others
	// without any shift.
	usualSamples  = 8
	maxUsualRatio = 3
	// meanAbsoluteNormal is the mean absolute value of a standard normal variable.
	meanAbsoluteNormal = 0.7979
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
	// reference is the decayed number of choices of each expert in usual samples, and
	// referenceTotal their sum; nil before the first.
	reference      []float64
	referenceTotal float64
	// sizes holds the sizes of the latest samples.
	sizes []float64
}

// Add adds the cumulative counts since the rank started, where rankStart tells
// restarts of the rank apart. It reports whether they show that the demand has
// shifted; the first choices after a start count as a shift.
func (r *RecentChoices) Add(rankStart int64, counts []float64) bool {
	if rankStart != r.rankStart || len(counts) != len(r.lastCounts) {
		r.rankStart, r.lastCounts, r.weights, r.reference, r.sizes = rankStart, counts, nil, nil, nil
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
	shifted := r.compareUsual(added, total)
	if shifted || r.weights == nil || totalVariation(r.weights, added, total) > minShiftDistance {
		r.weights = added
		return true
	}
	for i := range added {
		r.weights[i] = recentDecay*r.weights[i] + added[i]
	}
	return false
}

// compareUsual adds a sample of choices to the reference if it is a usual one, and reports whether
// it shows that the demand has shifted. A small shift of many experts is less than what the
// choices of a sample vary at random, so the expected variation is left out.
func (r *RecentChoices) compareUsual(added []float64, total float64) bool {
	r.sizes = append(r.sizes, total)
	if len(r.sizes) > usualSamples {
		r.sizes = r.sizes[1:]
	}
	median := slices.Sorted(slices.Values(r.sizes))[len(r.sizes)/2]
	if total > maxUsualRatio*median {
		return false
	}
	if r.reference == nil {
		r.reference, r.referenceTotal = slices.Clone(added), total
		return false
	}
	excess := totalVariation(r.reference, added, total) - r.randomVariation(total)
	if excess > minExcessDistance {
		r.reference, r.referenceTotal = slices.Clone(added), total
		return true
	}
	for i := range added {
		r.reference[i] = recentDecay*r.reference[i] + added[i]
	}
	r.referenceTotal = recentDecay*r.referenceTotal + total
	return false
}

// randomVariation returns the total variation to be expected between the reference and a sample of the
// same distribution.
func (r *RecentChoices) randomVariation(total float64) float64 {
	sum := 0.0
	for _, n := range r.reference {
		sum += math.Sqrt(n / r.referenceTotal)
	}
	return meanAbsoluteNormal / 2 * sum * math.Sqrt(1/r.referenceTotal+1/total)
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
