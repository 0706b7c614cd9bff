package expert

import (
	"fmt"
	"math"

	"filberttrack.example/track"
)

const (
	// minPenaltyGain ends the search for changes of a layer.
	minPenaltyGain = 1e-4
	// rounding is above the rounding errors of a gain.
	rounding = 1e-6
	// coolRanks is the number of least loaded ranks weighed as targets.
	coolRanks = 12
	// hotRanks is the number of most loaded ranks whose experts are weighed for
	// further copies.
	hotRanks = 8
	// evenPeak is the load of the slowest rank at which a layer counts as even.
	evenPeak = 1.015
	// stuckPeak is the load of the slowest rank beyond which a repack of the layer
	// is weighed.
	stuckPeak = 1.03
	// roughPeak is the load of the slowest rank beyond which a repack is weighed
	// before single steps.
	roughPeak = 1.5
	// cheapRebuild is the share of the possible gain above which a repack is taken
	// without a search for fewer moves.
	cheapRebuild = 0.9
	// minHysteresis and maxHysteresis bound the rise of a layer's peak, relative
	// to the mean load, before the layer is changed again.
	minHysteresis = 0.01
	maxHysteresis = 0.25
	// noiseHysteresis is the multiple of the relative error of a rank's load that a
	// rise must exceed: the most loaded of many ranks is several errors off.
	noiseHysteresis = 3.5
	// hysteresisMoves is the movement on each rank that a rise must outweigh.
	hysteresisMoves = 0.5
	// maxSmoothing and minSmoothing bound the weight of the newest window in the
	// estimate.
	maxSmoothing = 0.15
	minSmoothing = 0.02
	// estimateNoise is the relative error of an expert's load that smoothing aims
	// at.
	estimateNoise = 0.02
	// noisePerDistance is the relative error of the counts for each unit of
	// distance between a window and the estimate, for normal errors.
	noisePerDistance = 2.5
	// distanceSmoothing is the weight of the newest window in the usual distance.
	distanceSmoothing = 0.05
	// jumpFactor is the multiple of the usual distance between window and
	// estimate beyond which the popular experts have jumped.
	jumpFactor = 2.5
	// jumpFloor is the least distance that is a jump, as a share of all tokens.
	jumpFloor = 0.06
)

// Estimate smooths the counts of windows and recognises jumps.
type Estimate struct {
	shape Shape
	// share is the estimated share of the tokens of each layer; nil before the
	// first window.
	share Loads
	// usual is the usual distance between a window and the estimate.
	usual float64
	// windows counts those since the estimate started anew.
	windows int
	// known is set once the usual distance was measured.
	known bool
}

// NewEstimate returns an estimate that has seen no counts.
func NewEstimate(s Shape) *Estimate {
	return &Estimate{shape: s}
}

// Loads returns the estimated shares, or nil before the first counts.
func (e *Estimate) Loads() Loads {
	return e.share
}

// Add takes the counts of a window and reports whether they show a jump: then
// the estimate starts anew from them.
func (e *Estimate) Add(counts Loads) (bool, error) {
	if err := e.check(counts); err != nil {
		return false, err
	}
	window, counted := shares(counts)
	if counted == 0 {
		return false, nil
	}
	if e.share == nil {
		e.share = NewLoads(e.shape)
		e.restart(window)
		return true, nil
	}
	d := distance(window, e.share, counted)
	if !e.known {
		e.usual, e.known = d, true
	} else if d > max(jumpFloor, jumpFactor*e.usual) {
		e.restart(window)
		return true, nil
	}
	e.usual += distanceSmoothing * (d - e.usual)
	e.windows++
	e.blend(window, e.smoothing())
	return false, nil
}

// restart takes the layers of the window that were counted.
func (e *Estimate) restart(window Loads) {
	e.windows = 1
	for layer, w := range window {
		if w != nil {
			e.share[layer] = w
		}
	}
}

// smoothing returns the weight of the newest window: the mean of the first
// windows, then less the noisier the counts are.
func (e *Estimate) smoothing() float64 {
	ratio := estimateNoise / (noisePerDistance * max(e.usual, 1e-9))
	weight := min(maxSmoothing, max(minSmoothing, 2*ratio*ratio))
	return max(weight, 1/float64(e.windows))
}

// Noise returns the relative error of the estimated load of an expert.
func (e *Estimate) Noise() float64 {
	return noisePerDistance * e.usual * math.Sqrt(e.smoothing()/2)
}

func (e *Estimate) blend(window Loads, weight float64) {
	for layer, w := range window {
		for i, share := range w {
			e.share[layer][i] += weight * (share - e.share[layer][i])
		}
	}
}

func (e *Estimate) check(counts Loads) error {
	if len(counts) != e.shape.Layers {
		return track.Fail("take counts", Invalid, fmt.Errorf("%d layers, want %d", len(counts), e.shape.Layers))
	}
	for layer, tokens := range counts {
		if len(tokens) != e.shape.Experts {
			return track.Fail("take counts", Invalid, fmt.Errorf("layer %d: %d experts, want %d", layer, len(tokens), e.shape.Experts))
		}
		for _, t := range tokens {
			if t < 0 || math.IsNaN(t) || math.IsInf(t, 0) {
				return track.Fail("take counts", Invalid, fmt.Errorf("layer %d: %v tokens", layer, t))
			}
		}
	}
	return nil
}

// shares returns each expert's share of the tokens of its layer, and the number
// of layers that were counted; the others are nil.
func shares(counts Loads) (Loads, int) {
	out := make(Loads, len(counts))
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
		out[layer] = make([]float64, len(tokens))
		for i, t := range tokens {
			out[layer][i] = t / total
		}
	}
	return out, counted
}

// distance is the total variation distance, averaged over the counted layers.
func distance(window, share Loads, counted int) float64 {
	sum := 0.0
	for layer, w := range window {
		for i, s := range w {
			sum += math.Abs(s - share[layer][i])
		}
	}
	return sum / 2 / float64(counted)
}
