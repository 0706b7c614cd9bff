package expert

import (
	"fmt"
	"math"

	"filberttrack.example/track"
)

const (
	// minPenaltyGain is the fall of the penalty that a change must exceed; the search
	// in a layer ends when no change does.
	minPenaltyGain = 1e-4
	// gainTolerance exceeds the rounding errors of a computed gain.
	gainTolerance = 1e-6
	// leastLoadedRanks is the number of least loaded ranks considered as targets.
	leastLoadedRanks = 12
	// mostLoadedRanks is the number of most loaded ranks whose experts are considered
	// for additional copies.
	mostLoadedRanks = 8
	// balancedPeak is the load of the slowest rank, relative to the mean, below which
	// a layer counts as balanced.
	balancedPeak = 1.015
	// repackPeak is the load of the slowest rank beyond which a repack of the layer
	// is tried after the search for single changes.
	repackPeak = 1.03
	// repackFirstPeak is the load of the slowest rank beyond which a repack is tried
	// before single changes.
	repackFirstPeak = 1.5
	// sufficientGainShare is the share of the possible gain from which on a repack is
	// accepted without a search for fewer moves.
	sufficientGainShare = 0.9
	// minHysteresis and maxHysteresis bound the rise of a layer's peak, relative
	// to the mean load, before the layer is changed again.
	minHysteresis = 0.01
	maxHysteresis = 0.25
	// hysteresisErrorFactor is the multiple of the relative error of a rank's load
	// that a rise must exceed: the most loaded of many ranks is off by several times
	// the error of one rank.
	hysteresisErrorFactor = 3.5
	// hysteresisMoves is the number of moves on each rank that a rise must outweigh.
	hysteresisMoves = 0.5
	// maxSmoothing and minSmoothing bound the smoothing factor of the estimate, which
	// is the weight of the newest window.
	maxSmoothing = 0.15
	minSmoothing = 0.02
	// targetError is the relative error of an expert's estimated load for which the
	// smoothing factor is chosen.
	targetError = 0.02
	// errorPerDistance is the relative error of the counts for each unit of
	// distance between a window and the estimate, for normally distributed errors.
	errorPerDistance = 2.5
	// distanceSmoothing is the weight of the newest window in the typical distance.
	distanceSmoothing = 0.05
	// jumpFactor is the multiple of the typical distance between window and estimate
	// beyond which expert popularity has jumped.
	jumpFactor = 2.5
	// minJumpDistance is the least distance that counts as a jump, as a share of all
	// tokens.
	minJumpDistance = 0.06
)

// LoadEstimate estimates the load of each expert from the token counts of
// successive windows. It smooths the counts and detects jumps in expert popularity.
type LoadEstimate struct {
	shape Shape
	// loads is each expert's estimated share of the tokens of its layer; nil before
	// the first window.
	loads Loads
	// typicalDistance is the smoothed distance between a window and the estimate.
	typicalDistance float64
	// windows is the number of windows since the estimate was last reset.
	windows int
	// hasDistance is set once the typical distance was measured.
	hasDistance bool
}

// NewLoadEstimate returns an estimate that has seen no counts.
func NewLoadEstimate(s Shape) *LoadEstimate {
	return &LoadEstimate{shape: s}
}

// Loads returns each expert's estimated share of the tokens of its layer, or nil
// before the first counts.
func (e *LoadEstimate) Loads() Loads {
	return e.loads
}

// Add adds the token counts of a window and reports whether they show a jump, in
// which case the estimate is reset to them. The first counts are reported as a jump
// too. It returns an error of kind Invalid if the counts don't fit the shape or
// aren't finite and non-negative.
func (e *LoadEstimate) Add(counts Loads) (bool, error) {
	if err := e.validate(counts); err != nil {
		return false, err
	}
	window, counted := tokenShares(counts)
	if counted == 0 {
		return false, nil
	}
	if e.loads == nil {
		e.loads = NewLoads(e.shape)
		e.reset(window)
		return true, nil
	}
	distance := meanDistance(window, e.loads, counted)
	if !e.hasDistance {
		e.typicalDistance, e.hasDistance = distance, true
	} else if distance > max(minJumpDistance, jumpFactor*e.typicalDistance) {
		e.reset(window)
		return true, nil
	}
	e.typicalDistance += distanceSmoothing * (distance - e.typicalDistance)
	e.windows++
	e.blend(window, e.smoothing())
	return false, nil
}

// reset replaces the estimate by the window, except in layers without counts.
func (e *LoadEstimate) reset(window Loads) {
	e.windows = 1
	for layer, shares := range window {
		if shares != nil {
			e.loads[layer] = shares
		}
	}
}

// smoothing returns the weight of the newest window. The first windows are
// averaged; later the weight is the smaller the noisier the counts are.
func (e *LoadEstimate) smoothing() float64 {
	ratio := targetError / (errorPerDistance * max(e.typicalDistance, 1e-9))
	weight := min(maxSmoothing, max(minSmoothing, 2*ratio*ratio))
	return max(weight, 1/float64(e.windows))
}

// RelativeError returns the relative error of the estimated load of an expert.
func (e *LoadEstimate) RelativeError() float64 {
	return errorPerDistance * e.typicalDistance * math.Sqrt(e.smoothing()/2)
}

// blend moves the estimate towards the window; a weight of 1 replaces it.
func (e *LoadEstimate) blend(window Loads, weight float64) {
	for layer, shares := range window {
		for i, share := range shares {
			e.loads[layer][i] += weight * (share - e.loads[layer][i])
		}
	}
}

func (e *LoadEstimate) validate(counts Loads) error {
	if len(counts) != e.shape.Layers {
		return track.Fail("add expert counts", Invalid,
			fmt.Errorf("got %d layers, want %d", len(counts), e.shape.Layers))
	}
	for layer, tokens := range counts {
		if len(tokens) != e.shape.Experts {
			return track.Fail("add expert counts", Invalid,
				fmt.Errorf("layer %d: got %d experts, want %d", layer, len(tokens), e.shape.Experts))
		}
		for _, t := range tokens {
			if t < 0 || math.IsNaN(t) || math.IsInf(t, 0) {
				return track.Fail("add expert counts", Invalid,
					fmt.Errorf("layer %d: invalid token count %v", layer, t))
			}
		}
	}
	return nil
}

// tokenShares returns each expert's share of the tokens of its layer, and the
// number of layers with counts. Layers without counts are nil.
func tokenShares(counts Loads) (Loads, int) {
	shares := make(Loads, len(counts))
	counted := 0
	for layer, tokens := range counts {
		total := 0.0
		for _, t := range tokens {
			total += t
		}
		if total == 0 {
			continue
		}
		counted++
		shares[layer] = make([]float64, len(tokens))
		for i, t := range tokens {
			shares[layer][i] = t / total
		}
	}
	return shares, counted
}

// meanDistance returns the total variation distance between a window and the
// estimate, averaged over the layers with counts.
func meanDistance(window, estimate Loads, counted int) float64 {
	sum := 0.0
	for layer, shares := range window {
		for i, share := range shares {
			sum += math.Abs(share - estimate[layer][i])
		}
	}
	return sum / 2 / float64(counted)
}
