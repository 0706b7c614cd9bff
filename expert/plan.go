package expert

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"filberttrack.example/track"
)

// Move replaces the copy of an expert in a slot by a copy of another.
type Move struct {
	Layer int
	Rank  int
	// Slot is the number of the slot among those of the rank in the layer, from 0.
	Slot int
	// From is the expert that the slot holds, To the one that replaces it.
	From int
	To   int
}

// Reason says why a plan has moves, or why it has none.
type Reason string

// The reasons of plans.
const (
	// ReasonJump is a plan that responds to a jump in expert popularity.
	ReasonJump Reason = "Jump"
	// ReasonDrift is a plan whose reduction of the skew outweighs the cost of its
	// moves.
	ReasonDrift Reason = "Drift"
	// ReasonNoData is an empty plan because no counts were observed yet.
	ReasonNoData Reason = "NoData"
	// ReasonNotWorthMoving is an empty plan because no change is worth its moves.
	ReasonNotWorthMoving Reason = "NotWorthMoving"
	// ReasonNoBudget is an empty plan because no worthwhile change fits the budget.
	ReasonNoBudget Reason = "NoBudget"
)

// Plan is a short list of moves that reduce the skew of a placement.
type Plan struct {
	// Moves are grouped by layer; the layers are sorted by net gain for each move,
	// largest first.
	Moves  []Move
	Reason Reason
	// Skew is the estimated skew before, ExpectedSkew after the moves.
	Skew         float64
	ExpectedSkew float64
	// Deferred is the number of worthwhile moves that exceed the budget.
	Deferred int
}

// Budget limits the moves of one plan.
type Budget struct {
	// Moves is the number of expert copies that the weight store can deliver in the
	// time for one plan.
	Moves int
	// MovesPerRank is the number of copies that a rank has memory to stage.
	MovesPerRank int
}

// DefaultPolicy returns the weights for a model whose profile sets none.
func DefaultPolicy() track.ExpertPolicy {
	return track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.05}
}

// Planner estimates the expert loads of a group and proposes changes to its placement.
// It is not safe for concurrent use.
type Planner struct {
	shape    Shape
	policy   track.ExpertPolicy
	estimate *LoadEstimate
	state    *layerState
	// peakAfterChange is the estimated load of the slowest rank in each layer after the
	// latest change of the layer.
	peakAfterChange []float64
	// jumpPending is set from a jump until a plan defers nothing.
	jumpPending bool
}

// New returns a planner that has seen no counts. It returns an error of kind Invalid
// if the shape isn't valid.
func New(shape Shape, policy track.ExpertPolicy) (*Planner, error) {
	if err := shape.Check(); err != nil {
		return nil, err
	}
	return &Planner{
		shape:           shape,
		policy:          policy,
		estimate:        NewLoadEstimate(shape),
		state:           newLayerState(shape),
		peakAfterChange: make([]float64, shape.Layers),
	}, nil
}

// Shape returns the shape of the group.
func (p *Planner) Shape() Shape {
	return p.shape
}

// Observe adds the tokens counted for each layer and expert in one window. A window
// without counts is ignored. It returns an error of kind Invalid if the counts don't
// fit the shape or aren't finite and non-negative.
func (p *Planner) Observe(counts Loads) error {
	jumped, err := p.estimate.Add(counts)
	if err != nil {
		return err
	}
	if jumped {
		p.jumpPending = true
	}
	return nil
}

// Loads returns each expert's estimated share of the tokens of its layer, or nil
// before the first counts.
func (p *Planner) Loads() Loads {
	return p.estimate.Loads()
}

// Plan proposes moves for the placement in use. Moves that are not carried out are
// proposed again. It returns an error of kind Invalid if the placement has another
// shape than the group.
func (p *Planner) Plan(current Placement, budget Budget) (Plan, error) {
	if current.Shape != p.shape {
		return Plan{}, track.Fail("plan", Invalid,
			fmt.Errorf("placement has shape %+v, group has %+v", current.Shape, p.shape))
	}
	loads := p.estimate.Loads()
	if loads == nil {
		return Plan{Reason: ReasonNoData}, nil
	}
	plan := Plan{}
	var worthwhile []layerPlan
	for layer := range p.shape.Layers {
		lp := p.planLayer(current, layer, loads[layer])
		plan.Skew += lp.peakBefore / float64(p.shape.Layers)
		if len(lp.moves) > 0 {
			worthwhile = append(worthwhile, lp)
		}
	}
	slices.SortStableFunc(worthwhile, func(a, b layerPlan) int {
		return cmp.Compare(b.gainPerMove(), a.gainPerMove())
	})
	p.addWithinBudget(&plan, worthwhile, budget)
	p.setReason(&plan)
	return plan, nil
}

// layerPlan is the proposed change of one layer.
type layerPlan struct {
	layer int
	moves []Move
	// peakBefore is the load of the slowest rank with the placement in use, peakAfter
	// with the moves. Both are relative to the mean load.
	peakBefore float64
	peakAfter  float64
	// netGain is the weighted reduction of the peak less the cost of the moves.
	netGain float64
}

// gainPerMove returns the net gain for each move.
func (l layerPlan) gainPerMove() float64 {
	return l.netGain / float64(len(l.moves))
}

// planLayer finds the list of moves with the largest net gain in a layer.
func (p *Planner) planLayer(current Placement, layer int, tokens []float64) layerPlan {
	lp := layerPlan{layer: layer, peakBefore: 1, peakAfter: 1}
	if !p.state.reset(layer, current.Layer(layer), tokens) {
		return lp
	}
	lp.peakBefore = p.state.peak()
	lp.peakAfter = lp.peakBefore
	if !p.jumpPending && lp.peakBefore < p.peakAfterChange[layer]+p.hysteresis() {
		return lp
	}
	if lp.peakBefore > repackFirstPeak {
		p.tryRepack(&lp, current, tokens)
		if lp.netGain >= sufficientGainShare*p.policy.SkewWeight*(lp.peakBefore-balancedPeak) {
			return lp
		}
		p.state.reset(layer, current.Layer(layer), tokens)
	}
	p.searchMoves(&lp, nil)
	if lp.peakBefore <= repackFirstPeak && lp.peakAfter > repackPeak+p.rankLoadError() {
		p.tryRepack(&lp, current, tokens)
	}
	if lp.netGain < p.hysteresis()*p.policy.SkewWeight {
		return layerPlan{layer: layer, peakBefore: lp.peakBefore, peakAfter: lp.peakBefore}
	}
	return lp
}

// searchMoves improves the layer change by change, after the given moves that were
// already applied, and keeps the prefix of the moves with the largest net gain.
func (p *Planner) searchMoves(lp *layerPlan, moves []Move) {
	bestCount, bestPeak := 0, 0.0
	bestGain := lp.netGain
	for len(moves) < 2*p.shape.Ranks*p.shape.Slots {
		c, ok := p.state.applyBestChange(leastLoadedRanks)
		if !ok {
			break
		}
		moves = append(moves, c.moves[:c.moveCount]...)
		if gain := p.netGain(lp.peakBefore-c.peak, len(moves)); gain > bestGain {
			bestGain, bestCount, bestPeak = gain, len(moves), c.peak
		}
		if c.peak < balancedPeak {
			break
		}
	}
	if bestCount > 0 {
		p.keepIfBetter(lp, moves[:bestCount], bestPeak)
	}
}

// tryRepack tries a repack of the layer, aligned to the experts that the ranks hold,
// for layers that single changes can't improve further.
func (p *Planner) tryRepack(lp *layerPlan, current Placement, tokens []float64) {
	held := current.Layer(lp.layer)
	p.state.reset(lp.layer, held, tokens)
	var moves []Move
	for slot, e := range alignToHeld(p.shape, held, repackLayer(p.shape, tokens)) {
		if e != held[slot] {
			moves = append(moves, p.state.replace(slot, e))
		}
	}
	p.keepIfBetter(lp, moves, p.state.peak())
	p.searchMoves(lp, moves)
}

// keepIfBetter stores the moves in the layer plan if their net gain is the largest
// so far.
func (p *Planner) keepIfBetter(lp *layerPlan, moves []Move, peak float64) {
	if p.netGain(lp.peakBefore-peak, len(moves)) <= lp.netGain {
		return
	}
	merged := mergeMoves(p.shape, moves)
	lp.netGain, lp.peakAfter, lp.moves = p.netGain(lp.peakBefore-peak, len(merged)), peak, merged
}

// mergeMoves merges successive moves of the same slot of a layer into one and drops
// those without effect.
func mergeMoves(s Shape, moves []Move) []Move {
	out := make([]Move, 0, len(moves))
	position := make([]int, s.Ranks*s.Slots)
	for _, m := range moves {
		slot := m.Rank*s.Slots + m.Slot
		if position[slot] == 0 {
			out = append(out, m)
			position[slot] = len(out)
			continue
		}
		out[position[slot]-1].To = m.To
	}
	return slices.DeleteFunc(out, func(m Move) bool { return m.From == m.To })
}

// hysteresis returns the rise of a layer's peak before the layer is changed again. It
// is small if moves are cheap, but not below the rise that noise alone causes.
func (p *Planner) hysteresis() float64 {
	if p.policy.SkewWeight <= 0 {
		return maxHysteresis
	}
	rise := max(minHysteresis, p.policy.MoveWeight/p.policy.SkewWeight*hysteresisMoves,
		hysteresisErrorFactor*p.rankLoadError())
	return min(maxHysteresis, rise)
}

// rankLoadError returns the relative error of a rank's estimated load. It is below
// that of an expert because the errors of the rank's experts partly cancel out.
func (p *Planner) rankLoadError() float64 {
	return p.estimate.RelativeError() / math.Sqrt(float64(p.shape.Slots))
}

// netGain returns the weighted fall of the peak less the cost of the moves. Ranks
// fetch in parallel, so a move costs the group 1/Ranks of one fetch on every rank.
func (p *Planner) netGain(fall float64, moves int) float64 {
	return p.policy.SkewWeight*fall - p.policy.MoveWeight*float64(moves)/float64(p.shape.Ranks)
}

// addWithinBudget adds the layer plans that fit the budget, each as a whole or not
// at all.
func (p *Planner) addWithinBudget(plan *Plan, worthwhile []layerPlan, budget Budget) {
	plan.ExpectedSkew = plan.Skew
	staged := make([]int, p.shape.Ranks)
	for _, lp := range worthwhile {
		if !fitsBudget(lp, len(plan.Moves), staged, budget) {
			plan.Deferred += len(lp.moves)
			continue
		}
		for _, m := range lp.moves {
			staged[m.Rank]++
		}
		plan.Moves = append(plan.Moves, lp.moves...)
		plan.ExpectedSkew -= (lp.peakBefore - lp.peakAfter) / float64(p.shape.Layers)
		p.peakAfterChange[lp.layer] = lp.peakAfter
	}
}

// fitsBudget reports whether a layer plan fits the budget, given the number of moves
// planned already and of those on each rank.
func fitsBudget(lp layerPlan, planned int, staged []int, budget Budget) bool {
	if planned+len(lp.moves) > budget.Moves {
		return false
	}
	added := make([]int, len(staged))
	for _, m := range lp.moves {
		added[m.Rank]++
		if staged[m.Rank]+added[m.Rank] > budget.MovesPerRank {
			return false
		}
	}
	return true
}

// setReason sets the reason of the plan, and ends the response to a jump if nothing
// was deferred.
func (p *Planner) setReason(plan *Plan) {
	switch {
	case len(plan.Moves) == 0 && plan.Deferred > 0:
		plan.Reason = ReasonNoBudget
	case len(plan.Moves) == 0:
		plan.Reason = ReasonNotWorthMoving
	case p.jumpPending:
		plan.Reason = ReasonJump
	default:
		plan.Reason = ReasonDrift
	}
	if plan.Deferred == 0 {
		p.jumpPending = false
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
