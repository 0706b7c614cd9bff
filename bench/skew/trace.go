// Package skew compares the expert placement policy with its baselines on
// seeded traces of a day.
package skew

import (
	"math"
	"math/rand/v2"
	"time"

	"filberttrack.example/track/expert"
)

// Window is the time over which tokens are counted.
const Window = 5 * time.Second

const (
	day = 24 * time.Hour
	// spread is the standard deviation of the logarithm of an expert's load.
	spread = 0.7
	// jumpAngle is how far the popularity turns at a jump; at a right angle
	// nothing of the old popularity is left.
	jumpAngle = 75 * math.Pi / 180
	// tokensPerRank is the number of tokens routed to experts by each rank in a
	// second, counted once for each expert that a token goes to.
	tokensPerRank = 4000
)

// Kind says how the load of a trace moves.
type Kind string

// The kinds of trace.
const (
	// Drift turns the popularity once in a day.
	Drift Kind = "drift"
	// Lunch is drift with jumps at set hours.
	Lunch Kind = "lunch"
	// Noise is drift with jitter, noisy counts and lost counts.
	Noise Kind = "noise"
	// Jitter is drift with the jitter of Noise, but counts as good as those of
	// Drift. It tells the part of jitter from that of bad counts.
	Jitter Kind = "jitter"
	// Exact is drift without jitter.
	Exact Kind = "exact"
)

// jitters are the standard deviations of an expert's load from window to window.
var jitters = map[Kind]float64{Drift: 0.01, Lunch: 0.01, Noise: 0.02, Jitter: 0.02}

// Trace is the load of a group over a day. Windows must be asked for in order.
type Trace struct {
	shape  expert.Shape
	kind   Kind
	jumps  []time.Duration
	rng    *rand.Rand
	from   [][]wave
	to     [][]wave
	truth  expert.Loads
	counts expert.Loads
}

// wave is the popularity of an expert: a sine of the time of day.
type wave struct{ cos, sin float64 }

// NewTrace returns a trace; jumps are the times of day at which the popularity
// jumps to another mix and back, in turn.
func NewTrace(shape expert.Shape, kind Kind, jumps []time.Duration, seed uint64) *Trace {
	t := &Trace{
		shape:  shape,
		kind:   kind,
		rng:    rand.New(rand.NewPCG(seed, 6)),
		truth:  expert.NewLoads(shape),
		counts: expert.NewLoads(shape),
	}
	if kind == Lunch {
		t.jumps = jumps
	}
	t.from = t.waves()
	t.to = t.waves()
	return t
}

func (t *Trace) waves() [][]wave {
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

// Next returns the true load of a window and the counts reported for it. Both
// are valid until the next call.
func (t *Trace) Next(window int) (truth, counts expert.Loads) {
	at := time.Duration(window) * Window
	sin, cos := math.Sincos(2 * math.Pi * float64(at) / float64(day))
	other := t.shareOfOther(at)
	lost := t.kind == Noise && t.rng.Float64() < 0.1
	for layer := range t.truth {
		t.layer(layer, sin, cos, other)
		t.count(layer, lost)
	}
	return t.truth, t.counts
}

// shareOfOther returns which share of the window has the other mix. Jumps fall
// into the middle of a window.
func (t *Trace) shareOfOther(at time.Duration) float64 {
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

func (t *Trace) layer(layer int, sin, cos, other float64) {
	turnSin, turnCos := math.Sincos(jumpAngle)
	jitter := jitters[t.kind]
	total := 0.0
	for e := range t.truth[layer] {
		w, o := t.from[layer][e], t.to[layer][e]
		z := w.cos*cos + w.sin*sin
		load := math.Exp(spread * z)
		if other > 0 {
			zo := turnCos*z + turnSin*(o.cos*cos+o.sin*sin)
			load += other * (math.Exp(spread*zo) - load)
		}
		load *= 1 + jitter*t.rng.NormFloat64()
		t.truth[layer][e] = load
		total += load
	}
	scale := tokensPerRank * float64(t.shape.Ranks) * Window.Seconds() / total
	for e := range t.truth[layer] {
		t.truth[layer][e] *= scale
	}
}

// count fills in the counts of a layer: a sample of the truth.
func (t *Trace) count(layer int, lost bool) {
	if lost || t.kind == Noise && t.rng.Float64() < 0.05 {
		clear(t.counts[layer])
		return
	}
	for e, load := range t.truth[layer] {
		n := load + math.Sqrt(load)*t.rng.NormFloat64()
		if t.kind == Noise {
			n *= math.Exp(0.2 * t.rng.NormFloat64())
		}
		t.counts[layer][e] = max(0, math.Round(n))
	}
}
