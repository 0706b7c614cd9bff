package expert

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"filberttrack.example/track"
)

// Move puts a copy of an expert into a slot in place of another.
type Move struct {
	Layer int
	Rank  int
	Slot  int
	From  int
	To    int
}

// Reason says why a plan is as it is.
type Reason string

// The reasons of plans.
const (
	// ReasonJump is a plan in answer to a jump of the popular experts.
	ReasonJump Reason = "Jump"
	// ReasonDrift is a plan whose gain in skew outweighs its movement.
	ReasonDrift Reason = "Drift"
	// ReasonNoData is an empty plan for want of counts.
	ReasonNoData Reason = "NoData"
	// ReasonNotWorth is an empty plan: no change is worth its movement.
	ReasonNotWorth Reason = "NotWorthMoving"
	// ReasonNoBudget is an empty plan: changes are due but nothing may be fetched.
	ReasonNoBudget Reason = "NoBudget"
)

// Plan is a short list of moves.
type Plan struct {
	// Moves are ordered by gain for their cost, layer by layer.
	Moves  []Move
	Reason Reason
	// Skew is the estimated skew before, Expected after the moves.
	Skew     float64
	Expected float64
	// Deferred is the number of moves that are worth it but exceed the budget.
	Deferred int
}

// Budget bounds one plan.
type Budget struct {
	// Moves is the number of expert copies that the weight store gives in time.
	Moves int
	// MovesPerRank is the number of copies that a rank has room to stage.
	MovesPerRank int
}

// DefaultPolicy returns the weights for a model whose profile names none.
func DefaultPolicy() track.ExpertPolicy {
	return track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.05}
}

// Planner follows the load of a group and proposes changes to its placement.
// It is not safe for concurrent use.
type Planner struct {
	shape    Shape
	policy   track.ExpertPolicy
	estimate *Estimate
	state    *layerState
	// settled is the peak that each layer had after its latest change.
	settled []float64
	// urgent is set from a jump until a plan defers nothing.
	urgent bool
}

// New returns a planner that has seen no counts.
func New(shape Shape, policy track.ExpertPolicy) (*Planner, error) {
	if err := shape.Check(); err != nil {
		return nil, err
	}
	return &Planner{
		shape:    shape,
		policy:   policy,
		estimate: NewEstimate(shape),
		state:    newLayerState(shape),
		settled:  make([]float64, shape.Layers),
	}, nil
}

// Shape returns the shape of the group.
func (p *Planner) Shape() Shape {
	return p.shape
}

// Observe takes the tokens counted for each layer and expert in one window. A
// window without counts is ignored.
func (p *Planner) Observe(counts Loads) error {
	jumped, err := p.estimate.Add(counts)
	if err != nil {
		return err
	}
	if jumped {
		p.urgent = true
	}
	return nil
}

// Loads returns the estimated loads, or nil before the first counts.
func (p *Planner) Loads() Loads {
	return p.estimate.Loads()
}

// Plan proposes moves for the placement in use. Moves that are not carried out
// are proposed again.
func (p *Planner) Plan(now Placement, budget Budget) (Plan, error) {
	if now.Shape != p.shape {
		return Plan{}, track.Fail("plan", Invalid, fmt.Errorf("placement %+v, group %+v", now.Shape, p.shape))
	}
	loads := p.estimate.Loads()
	if loads == nil {
		return Plan{Reason: ReasonNoData}, nil
	}
	plan := Plan{}
	var due []layerPlan
	for layer := range p.shape.Layers {
		lp := p.planLayer(now, layer, loads[layer])
		plan.Skew += lp.before / float64(p.shape.Layers)
		if len(lp.moves) > 0 {
			due = append(due, lp)
		}
	}
	slices.SortStableFunc(due, func(a, b layerPlan) int {
		return cmp.Compare(b.worth(), a.worth())
	})
	p.take(&plan, due, budget)
	p.explain(&plan)
	return plan, nil
}

// layerPlan is what the planner would do in one layer.
type layerPlan struct {
	layer  int
	moves  []Move
	before float64
	after  float64
	net    float64
}

// worth is the net gain for each move.
func (l layerPlan) worth() float64 {
	return l.net / float64(len(l.moves))
}

// planLayer finds the list of moves with the largest net gain in a layer.
func (p *Planner) planLayer(now Placement, layer int, tokens []float64) layerPlan {
	lp := layerPlan{layer: layer, before: 1, after: 1}
	if !p.state.reset(layer, now.Layer(layer), tokens) {
		return lp
	}
	lp.before = p.state.peak()
	lp.after = lp.before
	if !p.urgent && lp.before < p.settled[layer]+p.hysteresis() {
		return lp
	}
	if lp.before > roughPeak {
		p.rebuild(&lp, now, tokens)
		if lp.net >= cheapRebuild*p.policy.SkewWeight*(lp.before-evenPeak) {
			return lp
		}
		p.state.reset(layer, now.Layer(layer), tokens)
	}
	p.search(&lp, nil)
	if lp.before <= roughPeak && lp.after > stuckPeak+p.noise() {
		p.rebuild(&lp, now, tokens)
	}
	if lp.net < p.hysteresis()*p.policy.SkewWeight {
		return layerPlan{layer: layer, before: lp.before, after: lp.before}
	}
	return lp
}

// search improves the layer step by step, starting with moves that were made
// already, and keeps the prefix of the moves with the largest net gain.
func (p *Planner) search(lp *layerPlan, moves []Move) {
	best, peak := 0, 0.0
	net := lp.net
	for len(moves) < 2*p.shape.Ranks*p.shape.Slots {
		c, ok := p.state.step(coolRanks)
		if !ok {
			break
		}
		moves = append(moves, c.moves[:c.n]...)
		if n := p.net(lp.before-c.peak, len(moves)); n > net {
			net, best, peak = n, len(moves), c.peak
		}
		if c.peak < evenPeak {
			break
		}
	}
	if best > 0 {
		p.keep(lp, moves[:best], peak)
	}
}

// rebuild tries a repack of the layer, fitted to what the ranks hold, for when
// single steps lead no further.
func (p *Planner) rebuild(lp *layerPlan, now Placement, tokens []float64) {
	held := now.Layer(lp.layer)
	p.state.reset(lp.layer, held, tokens)
	var moves []Move
	for slot, e := range fit(p.shape, held, repackLayer(p.shape, tokens)) {
		if e != held[slot] {
			moves = append(moves, p.state.put(slot, e))
		}
	}
	p.keep(lp, moves, p.state.peak())
	p.search(lp, moves)
}

// keep takes the moves if their net gain is the largest so far.
func (p *Planner) keep(lp *layerPlan, moves []Move, peak float64) {
	if p.net(lp.before-peak, len(moves)) <= lp.net {
		return
	}
	short := compact(p.shape, moves)
	lp.net, lp.after, lp.moves = p.net(lp.before-peak, len(short)), peak, short
}

// compact joins the moves of the same slot of a layer into one.
func compact(s Shape, moves []Move) []Move {
	out := make([]Move, 0, len(moves))
	place := make([]int, s.Ranks*s.Slots)
	for _, m := range moves {
		slot := m.Rank*s.Slots + m.Slot
		if place[slot] == 0 {
			out = append(out, m)
			place[slot] = len(out)
			continue
		}
		out[place[slot]-1].To = m.To
	}
	return slices.DeleteFunc(out, func(m Move) bool { return m.From == m.To })
}

// hysteresis is the rise in a layer's peak before it is changed again: small
// where movement is cheap, but not below what noise alone brings about.
func (p *Planner) hysteresis() float64 {
	if p.policy.SkewWeight <= 0 {
		return maxHysteresis
	}
	h := max(minHysteresis, p.policy.MoveWeight/p.policy.SkewWeight*hysteresisMoves, noiseHysteresis*p.noise())
	return min(maxHysteresis, h)
}

// noise is the relative error of a rank's estimated load: the errors of its
// experts partly cancel out.
func (p *Planner) noise() float64 {
	return p.estimate.Noise() / math.Sqrt(float64(p.shape.Slots))
}

// net weighs a fall of the peak against moves. Ranks fetch side by side, so a
// move costs the group its share of one fetch on every rank.
func (p *Planner) net(fall float64, moves int) float64 {
	return p.policy.SkewWeight*fall - p.policy.MoveWeight*float64(moves)/float64(p.shape.Ranks)
}

// take fills the plan with whole layers, as far as the budget goes.
func (p *Planner) take(plan *Plan, due []layerPlan, budget Budget) {
	plan.Expected = plan.Skew
	staged := make([]int, p.shape.Ranks)
	for _, lp := range due {
		if !fits(lp, len(plan.Moves), staged, budget) {
			plan.Deferred += len(lp.moves)
			continue
		}
		for _, m := range lp.moves {
			staged[m.Rank]++
		}
		plan.Moves = append(plan.Moves, lp.moves...)
		plan.Expected -= (lp.before - lp.after) / float64(p.shape.Layers)
		p.settled[lp.layer] = lp.after
	}
}

func fits(lp layerPlan, taken int, staged []int, budget Budget) bool {
	if taken+len(lp.moves) > budget.Moves {
		return false
	}
	more := make([]int, len(staged))
	for _, m := range lp.moves {
		more[m.Rank]++
		if staged[m.Rank]+more[m.Rank] > budget.MovesPerRank {
			return false
		}
	}
	return true
}

func (p *Planner) explain(plan *Plan) {
	switch {
	case len(plan.Moves) == 0 && plan.Deferred > 0:
		plan.Reason = ReasonNoBudget
	case len(plan.Moves) == 0:
		plan.Reason = ReasonNotWorth
	case p.urgent:
		plan.Reason = ReasonJump
	default:
		plan.Reason = ReasonDrift
	}
	if plan.Deferred == 0 {
		p.urgent = false
	}
}

// Apply returns the placement after the moves.
func (p Placement) Apply(moves []Move) Placement {
	next := p.Clone()
	for _, m := range moves {
		next.Layer(m.Layer)[m.Rank*p.Slots+m.Slot] = int32(m.To)
	}
	return next
}
