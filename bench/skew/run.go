package skew

import (
	"fmt"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
)

const (
	// ExpertBytes is the size of the weights of one expert in one layer.
	ExpertBytes = 16 << 20
	// fetchRate is the weight store's rate for each rank, in bytes a second.
	fetchRate = 512 << 20
	// stagedCopies is the number of copies that a rank has room to stage.
	stagedCopies = 96
	// repackEvery is the number of windows between full repacks: 10 minutes.
	repackEvery = 120
	// StepTime is the duration of a step of an even group.
	StepTime = 50 * time.Millisecond
	// fetchSlowdown is how much longer steps take while the fetch rate is used up.
	fetchSlowdown = 0.02
	// switchPerCopy is the time a rank needs to put one staged copy in place.
	switchPerCopy = 50 * time.Microsecond
)

// Deployment is a deployment with its weights and its jumps.
type Deployment struct {
	Name   string
	Policy track.ExpertPolicy
	Jumps  []time.Duration
	// Target is the 95th percentile of the skew that the deployment asks for.
	Target float64
}

// Deployments returns the deployments that are compared.
func Deployments() []Deployment {
	// Half a window after the hour, in the middle of a window.
	at := func(hour float64) time.Duration {
		return time.Duration(hour*float64(time.Hour)) + Window/2
	}
	return []Deployment{
		{Name: "detak", Policy: track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.010}, Jumps: []time.Duration{at(12), at(13.5)}, Target: 1.10},
		{Name: "aserrin", Policy: track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.2}, Jumps: []time.Duration{at(7), at(9), at(12), at(13)}, Target: 1.25},
	}
}

// Shapes returns the groups that are compared, with the given layers.
func Shapes(layers int) []expert.Shape {
	return []expert.Shape{
		{Ranks: 8, Layers: layers, Experts: 64, Slots: 10},
		{Ranks: 16, Layers: layers, Experts: 64, Slots: 6},
		{Ranks: 64, Layers: layers, Experts: 64, Slots: 3},
	}
}

// Result is how a way of placement did on a trace.
type Result struct {
	Mean float64
	P95  float64
	// P95Bound is the 95th percentile of the skew over the lower bound.
	P95Bound float64
	Bytes    int64
	Changes  int
	// Stalled is the time lost to fetches and switches.
	Stalled time.Duration
	// LongestStall is the longest time for which a switch held the group.
	LongestStall time.Duration
	// EvenAgain is the longest time from a jump until the skew is at most the
	// target; -1 if there was none.
	EvenAgain time.Duration
	// Skews holds the skew of each window.
	Skews []float64
	// SlowestPlan is the longest time that one plan took.
	SlowestPlan time.Duration
}

// Placer is a way to place experts.
type Placer interface {
	fmt.Stringer
	// Plan takes the counts of a window and returns the placement to change to,
	// or false to change nothing.
	Plan(window int, now expert.Placement, counts expert.Loads) (expert.Placement, bool)
}

// run is the state of a comparison.
type run struct {
	shape   expert.Shape
	now     expert.Placement
	next    expert.Placement
	pending int
	share   float64
	result  Result
	ratios  []float64
}

// Run plays a trace against a way of placement. Counts arrive one window late,
// and a change is in force once its copies were fetched. The target is the skew
// at which the group counts as even after a jump.
func Run(t *Trace, p Placer, target float64) Result {
	r := &run{shape: t.shape, result: Result{EvenAgain: -1}}
	late := expert.NewLoads(t.shape)
	for window := range t.Windows() {
		if window > 0 {
			r.advance(window, p, late)
			copyLoads(late, t.counts)
		}
		truth, _ := t.Next(window)
		if window == 0 {
			r.now = expert.Repack(t.shape, truth)
			continue
		}
		r.measure(truth)
	}
	r.finish(t, target)
	return r.result
}

func copyLoads(to, from expert.Loads) {
	for layer := range to {
		copy(to[layer], from[layer])
	}
}

// advance finishes a change whose fetches are done and asks for the next.
func (r *run) advance(window int, p Placer, counts expert.Loads) {
	if r.pending > 0 {
		r.pending--
		if r.pending > 0 {
			return
		}
		r.switchOver()
	}
	r.share = 0
	if window < 2 {
		return
	}
	next, ok := p.Plan(window, r.now, counts)
	if !ok {
		return
	}
	r.fetch(next)
}

func (r *run) fetch(next expert.Placement) {
	fetches := r.now.CountFetches(next)
	if fetches == 0 {
		return
	}
	perWindow := MovesPerWindow(r.shape)
	r.next = next
	r.pending = (fetches + perWindow - 1) / perWindow
	r.share = float64(fetches) / float64(r.pending*perWindow)
	r.result.Bytes += int64(fetches) * ExpertBytes
	r.result.Changes++
}

// MovesPerWindow returns the number of copies that the weight store gives a
// group in one window.
func MovesPerWindow(s expert.Shape) int {
	return int(fetchRate * Window.Seconds() / ExpertBytes * float64(s.Ranks))
}

func (r *run) switchOver() {
	most := 0
	for rank := range r.shape.Ranks {
		most = max(most, r.changed(rank))
	}
	stall := time.Duration(most) * switchPerCopy
	r.result.Stalled += stall
	r.result.LongestStall = max(r.result.LongestStall, stall)
	r.now = r.next
}

func (r *run) changed(rank int) int {
	n := 0
	for layer := range r.shape.Layers {
		lo, hi := rank*r.shape.Slots, (rank+1)*r.shape.Slots
		for i := lo; i < hi; i++ {
			if r.now.Layer(layer)[i] != r.next.Layer(layer)[i] {
				n++
			}
		}
	}
	return n
}

func (r *run) measure(truth expert.Loads) {
	s := r.now.Skew(truth)
	r.result.Skews = append(r.result.Skews, s)
	r.ratios = append(r.ratios, s/expert.LowerBound(r.shape, truth))
	r.result.Stalled += time.Duration(float64(Window) * r.share * fetchSlowdown)
}

func (r *run) finish(t *Trace, target float64) {
	r.result.Mean = stat.Mean(r.result.Skews, nil)
	r.result.P95 = quantile(r.result.Skews, 0.95)
	r.result.P95Bound = quantile(r.ratios, 0.95)
	for _, jump := range t.jumps {
		r.result.EvenAgain = max(r.result.EvenAgain, r.evenAfter(jump, target))
	}
}

// evenAfter returns the time from a jump until the skew is at most the target
// for a minute.
func (r *run) evenAfter(jump time.Duration, target float64) time.Duration {
	const minute = int(time.Minute / Window)
	// Skews start at the second window.
	first := int(jump/Window) - 1
	for i := first; i+minute <= len(r.result.Skews); i++ {
		if slices.Max(r.result.Skews[i:i+minute]) <= target {
			return max(0, time.Duration(i+1)*Window-jump)
		}
	}
	return day
}

func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return math.NaN()
	}
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}
