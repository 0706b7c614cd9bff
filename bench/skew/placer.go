package skew

import (
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
)

// Static is a placer that never changes the placement.
type Static struct{}

// String returns the name of the placer.
func (Static) String() string { return "static" }

// Plan returns false.
func (Static) Plan(int, expert.Placement, expert.Loads) (expert.Placement, bool) {
	return expert.Placement{}, false
}

// FullRepack is a placer that computes a whole new placement every ten minutes, from the
// counts since the previous one.
type FullRepack struct {
	counts expert.Loads
}

// String returns the name of the placer.
func (*FullRepack) String() string { return "full repack" }

// Plan adds up the counts and returns a new placement every ten minutes.
func (f *FullRepack) Plan(window int, current expert.Placement, counts expert.Loads) (expert.Placement, bool) {
	if f.counts == nil {
		f.counts = expert.NewLoads(current.Shape)
	}
	for layer := range counts {
		for e, n := range counts[layer] {
			f.counts[layer][e] += n
		}
	}
	if window%repackInterval != 0 {
		return expert.Placement{}, false
	}
	next := expert.Repack(current.Shape, f.counts)
	f.counts = nil
	return next, true
}

// Policy is the placer that applies filberttrack's expert placement policy.
type Policy struct {
	planner *expert.Planner
	budget  expert.Budget
	elapsed func() time.Duration
	// Slowest is the longest time that the planner took for one plan.
	Slowest time.Duration
}

// NewPolicy returns a placer with the given weights. The function elapsed returns the
// time since an arbitrary start. An error means that the planner refused the shape or
// the weights.
func NewPolicy(s expert.Shape, weights track.ExpertPolicy, elapsed func() time.Duration) (*Policy, error) {
	planner, err := expert.New(s, weights)
	if err != nil {
		return nil, err
	}
	budget := expert.Budget{Moves: CopiesPerWindow(s), MovesPerRank: stagedCopies}
	return &Policy{planner: planner, budget: budget, elapsed: elapsed}, nil
}

// String returns the name of the placer.
func (p *Policy) String() string { return "policy" }

// Plan passes the counts to the planner and applies the planner's moves.
func (p *Policy) Plan(_ int, current expert.Placement, counts expert.Loads) (expert.Placement, bool) {
	if err := p.planner.Observe(counts); err != nil {
		return expert.Placement{}, false
	}
	start := p.elapsed()
	plan, err := p.planner.Plan(current, p.budget)
	p.Slowest = max(p.Slowest, p.elapsed()-start)
	if err != nil || len(plan.Moves) == 0 {
		return expert.Placement{}, false
	}
	return current.Apply(plan.Moves), true
}

// Oracle is a placer that knows the popularity of each window before it begins, and
// moves experts regardless of the cost. It shows the skew that jitter alone causes.
type Oracle struct {
	// trace gives the load without jitter.
	trace *Trace
	shape expert.Shape
}

// NewOracle returns an oracle for the traces of kind Drift and Noise with the seed.
func NewOracle(s expert.Shape, seed uint64) *Oracle {
	return &Oracle{trace: NewTrace(s, Exact, nil, seed), shape: s}
}

// String returns the name of the placer.
func (*Oracle) String() string { return "oracle" }

// Plan returns the best placement that the planner finds for the next window.
func (o *Oracle) Plan(window int, current expert.Placement, _ expert.Loads) (expert.Placement, bool) {
	load, _ := o.trace.Next(window + 1)
	planner, err := expert.New(o.shape, track.ExpertPolicy{SkewWeight: 1})
	if err != nil || planner.Observe(load) != nil {
		return expert.Placement{}, false
	}
	plan, err := planner.Plan(current, expert.Budget{Moves: CopiesPerWindow(o.shape), MovesPerRank: stagedCopies})
	return current.Apply(plan.Moves), err == nil
}
