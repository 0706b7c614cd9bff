package skew

import (
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
)

// Static keeps the first placement.
type Static struct{}

// String returns the name of the baseline.
func (Static) String() string { return "static" }

// Plan changes nothing.
func (Static) Plan(int, expert.Placement, expert.Loads) (expert.Placement, bool) {
	return expert.Placement{}, false
}

// Full repacks all experts every ten minutes from the counts since the last
// time.
type Full struct {
	sum expert.Loads
}

// String returns the name of the baseline.
func (*Full) String() string { return "full repack" }

// Plan computes a new placement when it is time.
func (f *Full) Plan(window int, now expert.Placement, counts expert.Loads) (expert.Placement, bool) {
	if f.sum == nil {
		f.sum = expert.NewLoads(now.Shape)
	}
	for layer := range counts {
		for e, n := range counts[layer] {
			f.sum[layer][e] += n
		}
	}
	if window%repackEvery != 0 {
		return expert.Placement{}, false
	}
	next := expert.Repack(now.Shape, f.sum)
	f.sum = nil
	return next, true
}

// Policy is the placement policy.
type Policy struct {
	planner *expert.Planner
	budget  expert.Budget
	elapsed func() time.Duration
	// Slowest is the longest time that a plan took.
	Slowest time.Duration
}

// NewPolicy returns the policy; elapsed gives the time since an arbitrary start.
func NewPolicy(s expert.Shape, weights track.ExpertPolicy, elapsed func() time.Duration) (*Policy, error) {
	planner, err := expert.New(s, weights)
	if err != nil {
		return nil, err
	}
	budget := expert.Budget{Moves: MovesPerWindow(s), MovesPerRank: stagedCopies}
	return &Policy{planner: planner, budget: budget, elapsed: elapsed}, nil
}

// String returns the name of the policy.
func (p *Policy) String() string { return "policy" }

// Plan observes the counts and applies the planner's moves.
func (p *Policy) Plan(_ int, now expert.Placement, counts expert.Loads) (expert.Placement, bool) {
	if err := p.planner.Observe(counts); err != nil {
		return expert.Placement{}, false
	}
	began := p.elapsed()
	plan, err := p.planner.Plan(now, p.budget)
	p.Slowest = max(p.Slowest, p.elapsed()-began)
	if err != nil || len(plan.Moves) == 0 {
		return expert.Placement{}, false
	}
	return now.Apply(plan.Moves), true
}

// Oracle knows the popularity of each window before it begins, moves without
// regard to cost, and shows the skew that jitter alone leaves.
type Oracle struct {
	exact *Trace
	shape expert.Shape
}

// NewOracle returns an oracle for the drift and noise traces of the seed.
func NewOracle(s expert.Shape, seed uint64) *Oracle {
	return &Oracle{exact: NewTrace(s, Exact, nil, seed), shape: s}
}

// String returns the name of the baseline.
func (*Oracle) String() string { return "oracle" }

// Plan changes to the best placement that the planner finds for the window that
// follows.
func (o *Oracle) Plan(window int, now expert.Placement, _ expert.Loads) (expert.Placement, bool) {
	truth, _ := o.exact.Next(window + 1)
	planner, err := expert.New(o.shape, track.ExpertPolicy{SkewWeight: 1})
	if err != nil || planner.Observe(truth) != nil {
		return expert.Placement{}, false
	}
	plan, err := planner.Plan(now, expert.Budget{Moves: MovesPerWindow(o.shape), MovesPerRank: stagedCopies})
	return now.Apply(plan.Moves), err == nil
}
