package expert

const (
	// recentDecay is the weight of the earlier counts when new ones are added.
	recentDecay = 0.6
	// recentTokens is the least number of new choices that are weighed.
	recentTokens = 1500
	// shiftDistance is the part of the choices that must have moved to other experts
	// for the demand to count as shifted. The few requests of a rank make their
	// choices vary by about half of that.
	shiftDistance = 0.3
)

// Recent keeps the choices that a rank's requests made lately, and forgets what was
// chosen before the demand shifted. It is not safe for concurrent use.
type Recent struct {
	last    []float64
	born    int64
	profile []float64
}

// Add takes the counts since the rank was born, and reports whether they show that
// the demand has shifted.
func (r *Recent) Add(born int64, counts []float64) bool {
	if born != r.born || len(counts) != len(r.last) {
		r.born, r.last, r.profile = born, counts, nil
		return false
	}
	total := 0.0
	delta := make([]float64, len(counts))
	for i, n := range counts {
		delta[i] = max(n-r.last[i], 0)
		total += delta[i]
	}
	if total < recentTokens {
		return false
	}
	r.last = counts
	if r.profile == nil {
		r.profile = delta
		return true
	}
	if movedShare(r.profile, delta, total) > shiftDistance {
		r.profile = delta
		return true
	}
	for i := range delta {
		r.profile[i] = recentDecay*r.profile[i] + delta[i]
	}
	return false
}

// Profile returns the weight of each expert's recent choices; nil if there were
// none.
func (r *Recent) Profile() []float64 {
	return r.profile
}

// movedShare returns the part of the choices that would have to move to turn one
// profile into the other, 0 to 1.
func movedShare(a, b []float64, totalB float64) float64 {
	totalA := 0.0
	for _, n := range a {
		totalA += n
	}
	if totalA == 0 {
		return 1
	}
	sum := 0.0
	for i := range a {
		d := a[i]/totalA - b[i]/totalB
		sum += max(d, -d)
	}
	return sum / 2
}
