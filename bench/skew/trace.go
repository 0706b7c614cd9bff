// Package skew compares the expert placement policy with baselines, on traces of the load
// of experts over a day. The traces are generated from seeds and so are reproducible.
package skew

import (
	"math"
	"math/rand/v2"
	"time"

	"filberttrack.example/track/expert"
)

// Window is the time over which the tokens of each expert are counted.
const Window = 5 * time.Second

const (
	day = 24 * time.Hour
	// loadStdDev is the standard deviation of the logarithm of an expert's load.
	loadStdDev = 0.7
	// jumpAngle is the angle in radians by which the popularity turns at a jump. At a
	// right angle the new popularity doesn't depend on the old one.
	jumpAngle = 75 * math.Pi / 180
	// tokensPerRankSecond is the number of tokens that each rank routes to experts per
	// second. A token counts once for each expert to which it is routed.
	tokensPerRankSecond = 4000
)

// Kind says how the load of a trace changes over time.
type Kind string

// The kinds of traces.
const (
	// Drift changes the popularity slowly, with a period of one day.
	Drift Kind = "drift"
	// Lunch is drift with sudden changes at given times.
	Lunch Kind = "lunch"
	// Noise is drift with more jitter, noisy counts and lost counts.
	Noise Kind = "noise"
	// Jitter is drift with the jitter of Noise, but with counts as exact as those of
	// Drift. It separates the effect of jitter from that of bad counts.
	Jitter Kind = "jitter"
	// Exact is drift without jitter.
	Exact Kind = "exact"
)

// jitterStdDev holds the standard deviation of an expert's load from window to window,
// relative to the load.
var jitterStdDev = map[Kind]float64{Drift: 0.01, Lunch: 0.01, Noise: 0.02, Jitter: 0.02}

// Trace generates the load of the experts of a rank group over a day.
type Trace struct {
	shape    expert.Shape
	kind     Kind
	jumps    []time.Duration
	rng      *rand.Rand
	mix      [][]wave
	otherMix [][]wave
	load     expert.Loads
	counts   expert.Loads
}

// wave describes the popularity of an expert as a sine of the time of day.
type wave struct{ cos, sin float64 }

// NewTrace returns a trace. For the kind Lunch, jumps are the times of day at which the
// popularity changes to another mix and back, in turn.
func NewTrace(shape expert.Shape, kind Kind, jumps []time.Duration, seed uint64) *Trace {
	t := &Trace{
		shape:  shape,
		kind:   kind,
		rng:    rand.New(rand.NewPCG(seed, 6)),
		load:   expert.NewLoads(shape),
		counts: expert.NewLoads(shape),
	}
	if kind == Lunch {
		t.jumps = jumps
	}
	t.mix = t.randomWaves()
	t.otherMix = t.randomWaves()
	return t
}

func (t *Trace) randomWaves() [][]wave {
	out := make([][]wave, t.shape.Layers)
	for layer := range out {
		out[layer] = make([]wave, t.shape.Experts)
		for e := range out[layer] {
			out[layer][e] = wave{t.rng.NormFloat64(), t.rng.NormFloat64()}
		}
	}
	return out
}

// Windows returns the number of windows in the trace.
func (t *Trace) Windows() int {
	return int(day / Window)
}

// Next returns the true load of a window and the counts reported for it. Both are valid
// until the next call. Windows must be requested in order.
func (t *Trace) Next(window int) (load, counts expert.Loads) {
	at := time.Duration(window) * Window
	sin, cos := math.Sincos(2 * math.Pi * float64(at) / float64(day))
	otherShare := t.otherMixShare(at)
	lost := t.kind == Noise && t.rng.Float64() < 0.1
	for layer := range t.load {
		t.drawLoad(layer, sin, cos, otherShare)
		t.drawCounts(layer, lost)
	}
	return t.load, t.counts
}

// otherMixShare returns the share of the window in which the other mix applies. Jumps
// are in the middle of a window.
func (t *Trace) otherMixShare(at time.Duration) float64 {
	share := 0.0
	for i, jump := range t.jumps {
		past := min(1, max(0, float64(at+Window-jump)/float64(Window)))
		if i%2 == 0 {
			share += past
		} else {
			share -= past
		}
	}
	return share
}

func (t *Trace) drawLoad(layer int, sin, cos, otherShare float64) {
	turnSin, turnCos := math.Sincos(jumpAngle)
	jitter := jitterStdDev[t.kind]
	total := 0.0
	for e := range t.load[layer] {
		w, o := t.mix[layer][e], t.otherMix[layer][e]
		z := w.cos*cos + w.sin*sin
		load := math.Exp(loadStdDev * z)
		if otherShare > 0 {
			zo := turnCos*z + turnSin*(o.cos*cos+o.sin*sin)
			load += otherShare * (math.Exp(loadStdDev*zo) - load)
		}
		load *= 1 + jitter*t.rng.NormFloat64()
		t.load[layer][e] = load
		total += load
	}
	scale := tokensPerRankSecond * float64(t.shape.Ranks) * Window.Seconds() / total
	for e := range t.load[layer] {
		t.load[layer][e] *= scale
	}
}

// drawCounts fills in the reported counts of a layer, which are random values around the
// true load. Lost counts are zero.
func (t *Trace) drawCounts(layer int, lost bool) {
	if lost || t.kind == Noise && t.rng.Float64() < 0.05 {
		clear(t.counts[layer])
		return
	}
	for e, load := range t.load[layer] {
		n := load + math.Sqrt(load)*t.rng.NormFloat64()
		if t.kind == Noise {
			n *= math.Exp(0.2 * t.rng.NormFloat64())
		}
		t.counts[layer][e] = max(0, math.Round(n))
	}
}
