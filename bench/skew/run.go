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
	// fetchRate is the rate at which each rank can fetch from the weight store, in
	// bytes per second.
	fetchRate = 512 << 20
	// stagedCopies is the number of expert copies that a rank can stage.
	stagedCopies = 96
	// repackInterval is the number of windows between full repacks: 10 minutes.
	repackInterval = 120
	// StepTime is the duration of a step of a group without skew.
	StepTime = 50 * time.Millisecond
	// fetchSlowdown is the share by which steps take longer while ranks fetch at the
	// full rate.
	fetchSlowdown = 0.02
	// switchPerCopy is the time that a rank needs to put one staged copy into a slot.
	switchPerCopy = 50 * time.Microsecond
)

// Deployment describes a deployment for which placers are compared.
type Deployment struct {
	Name   string
	Policy track.ExpertPolicy
	// Jumps are the times of day at which the popularity of experts changes suddenly.
	Jumps []time.Duration
	// Target is the deployment's target for the 95th percentile of the skew.
	Target float64
}

// Deployments returns the deployments that are compared.
func Deployments() []Deployment {
	// Jumps come half a window after the given hour, so in the middle of a window.
	at := func(hour float64) time.Duration {
		return time.Duration(hour*float64(time.Hour)) + Window/2
	}
	return []Deployment{
		{Name: "detak", Policy: track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.010}, Jumps: []time.Duration{at(12), at(13.5)}, Target: 1.10},
		{Name: "aserrin", Policy: track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.2}, Jumps: []time.Duration{at(7), at(9), at(12), at(13)}, Target: 1.25},
	}
}

// Shapes returns the shapes of rank groups that are compared, with the given number of
// layers.
func Shapes(layers int) []expert.Shape {
	return []expert.Shape{
		{Ranks: 8, Layers: layers, Experts: 64, Slots: 10},
		{Ranks: 16, Layers: layers, Experts: 64, Slots: 6},
		{Ranks: 64, Layers: layers, Experts: 64, Slots: 3},
	}
}

// Result holds the figures of a placer on a trace.
type Result struct {
	// Mean and P95 are the mean and the 95th percentile of the skew.
	Mean float64
	P95  float64
	// P95Bound is the 95th percentile of the ratio of the skew to its lower bound.
	P95Bound float64
	// Bytes is the size of all fetched expert copies.
	Bytes int64
	// Changes is the number of changes of the placement.
	Changes int
	// Stalled is the time that the group lost through fetches and switches.
	Stalled time.Duration
	// LongestStall is the longest time for which a switch stopped the group.
	LongestStall time.Duration
	// RebalanceTime is the longest time from a jump until the skew is at most the
	// target; -1 if the trace has no jump.
	RebalanceTime time.Duration
	// Skews holds the skew of each window.
	Skews []float64
	// SlowestPlan is the longest time that one plan took.
	SlowestPlan time.Duration
}

// Placer decides on which ranks experts are placed.
type Placer interface {
	fmt.Stringer
	// Plan takes the current placement and the counts of a window, and returns the
	// new placement, or false to keep the current one.
	Plan(window int, current expert.Placement, counts expert.Loads) (expert.Placement, bool)
}

// simulation is the state of a run of a placer on a trace.
type simulation struct {
	shape       expert.Shape
	current     expert.Placement
	next        expert.Placement
	windowsLeft int
	fetchShare  float64
	result      Result
	boundRatios []float64
}

// Run simulates a placer on a trace. The placer gets the counts one window late,
// and a new placement is in force once its copies have been fetched. The target is
// the skew at or below which the group counts as balanced after a jump.
func Run(t *Trace, p Placer, target float64) Result {
	s := &simulation{shape: t.shape, result: Result{RebalanceTime: -1}}
	counts := expert.NewLoads(t.shape)
	for window := range t.Windows() {
		if window > 0 {
			s.updatePlacement(window, p, counts)
			copyLoads(counts, t.counts)
		}
		load, _ := t.Next(window)
		if window == 0 {
			s.current = expert.Repack(t.shape, load)
			continue
		}
		s.measure(load)
	}
	s.finish(t, target)
	return s.result
}

func copyLoads(to, from expert.Loads) {
	for layer := range to {
		copy(to[layer], from[layer])
	}
}

// updatePlacement applies the next placement once its copies have been fetched, and
// then asks the placer for another one.
func (s *simulation) updatePlacement(window int, p Placer, counts expert.Loads) {
	if s.windowsLeft > 0 {
		s.windowsLeft--
		if s.windowsLeft > 0 {
			return
		}
		s.applyNext()
	}
	s.fetchShare = 0
	if window < 2 {
		return
	}
	next, ok := p.Plan(window, s.current, counts)
	if !ok {
		return
	}
	s.startFetch(next)
}

func (s *simulation) startFetch(next expert.Placement) {
	fetches := s.current.CountFetches(next)
	if fetches == 0 {
		return
	}
	copiesPerWindow := CopiesPerWindow(s.shape)
	s.next = next
	s.windowsLeft = (fetches + copiesPerWindow - 1) / copiesPerWindow
	s.fetchShare = float64(fetches) / float64(s.windowsLeft*copiesPerWindow)
	s.result.Bytes += int64(fetches) * ExpertBytes
	s.result.Changes++
}

// CopiesPerWindow returns the number of expert copies that a group can fetch from the
// weight store in one window.
func CopiesPerWindow(s expert.Shape) int {
	return int(fetchRate * Window.Seconds() / ExpertBytes * float64(s.Ranks))
}

func (s *simulation) applyNext() {
	maxChanged := 0
	for rank := range s.shape.Ranks {
		maxChanged = max(maxChanged, s.changedSlots(rank))
	}
	stall := time.Duration(maxChanged) * switchPerCopy
	s.result.Stalled += stall
	s.result.LongestStall = max(s.result.LongestStall, stall)
	s.current = s.next
}

func (s *simulation) changedSlots(rank int) int {
	n := 0
	for layer := range s.shape.Layers {
		first, end := rank*s.shape.Slots, (rank+1)*s.shape.Slots
		for i := first; i < end; i++ {
			if s.current.Layer(layer)[i] != s.next.Layer(layer)[i] {
				n++
			}
		}
	}
	return n
}

func (s *simulation) measure(load expert.Loads) {
	skew := s.current.Skew(load)
	s.result.Skews = append(s.result.Skews, skew)
	s.boundRatios = append(s.boundRatios, skew/expert.LowerBound(s.shape, load))
	s.result.Stalled += time.Duration(float64(Window) * s.fetchShare * fetchSlowdown)
}

func (s *simulation) finish(t *Trace, target float64) {
	s.result.Mean = stat.Mean(s.result.Skews, nil)
	s.result.P95 = quantile(s.result.Skews, 0.95)
	s.result.P95Bound = quantile(s.boundRatios, 0.95)
	for _, jump := range t.jumps {
		s.result.RebalanceTime = max(s.result.RebalanceTime, s.timeToTarget(jump, target))
	}
}

// timeToTarget returns the time from a jump until the skew stays at or below the target
// for a minute. It returns a day if that doesn't happen.
func (s *simulation) timeToTarget(jump time.Duration, target float64) time.Duration {
	const minute = int(time.Minute / Window)
	// The first element of Skews belongs to the second window.
	first := int(jump/Window) - 1
	for i := first; i+minute <= len(s.result.Skews); i++ {
		if slices.Max(s.result.Skews[i:i+minute]) <= target {
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
