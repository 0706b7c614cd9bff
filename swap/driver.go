package swap

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"filberttrack.example/track"
)

// Outcome says how an attempt ended.
type Outcome string

// The outcomes of an attempt.
const (
	// Switched means that every member committed the new map.
	Switched Outcome = "Switched"
	// Settled means that a change left unfinished by another coordinator was committed
	// or rolled back, and blank ranks were restored. The plan's own change wasn't begun.
	Settled Outcome = "Settled"
	// Idle means that there was nothing to settle and no change that could be begun.
	Idle Outcome = "Idle"
	// Undone means that the change was rolled back since a member could not prepare or
	// be armed; the old map stays in use.
	Undone Outcome = "Undone"
	// Outbid means that a member has promised a higher ballot to another coordinator.
	Outbid Outcome = "Outbid"
	// Stuck means that members did not answer, or refused an order that must not fail;
	// another attempt has to settle what this one left unfinished.
	Stuck Outcome = "Stuck"
)

// Result tells how an attempt ended.
type Result struct {
	Outcome Outcome
	// Reason explains the outcome, with the member and its fault where one decided it;
	// empty if there is nothing to explain.
	Reason string
	// Switch is the switch that was committed or rolled back, if any.
	Switch track.MapSwitch
	// HighestBallot is the highest ballot number seen in a reply, or the attempt's own.
	HighestBallot uint64
	// HoldTime is the time from the first Arm order to the end of the attempt, during which
	// ranks may have waited; 0 if no Arm was sent. It is set by the Runner.
	HoldTime time.Duration
}

// phase is the step of the protocol whose replies a Coordinator waits for.
type phase int

const (
	phasePromise phase = iota
	phaseSettle
	phasePrepare
	phaseArm
	phaseCommit
	phaseRollback
	phaseEnded
)

// defaultArmAhead is the number of steps from the furthest rank to the step of a switch.
// Orders have that long to arrive before a rank has to hold.
const defaultArmAhead = 8

// Plan is what an attempt does once there is nothing left to settle in the group.
type Plan struct {
	// Change is the change of the map; nil to settle only. It is not begun if the
	// group uses another map than its base. The Coordinator sets its version.
	Change *track.MapChange
	// Default is the map for a group whose ranks are all blank.
	Default track.ExpertMap
	// StepsAhead is the number of steps from the furthest rank to the step of the switch;
	// 0 means the default of 8 steps.
	StepsAhead uint64
	// NextStep chooses the group's very next step for the switch, whatever StepsAhead says.
	// If that step has begun before the ranks hold, a later one is chosen. It suits
	// engines whose ranks run in lock-step: either all of them hold before a step, or
	// none does.
	NextStep bool
}

// maxStepsTried is the most steps that are tried for one switch.
const maxStepsTried = 6

// Coordinator makes one attempt under one ballot. It is not safe for
// concurrent use.
type Coordinator struct {
	ballot  track.Ballot
	members []track.RankID
	plan    Plan

	phase phase
	// replies holds the reply by which each member completed the current phase.
	replies map[track.RankID]track.MapReply
	// orders holds the orders of the current phase, to send them again.
	orders map[track.RankID]track.MapOrder
	// prepareBegun is set for members that have answered a Prepare; it is sent to them
	// again without a map given in full.
	prepareBegun map[track.RankID]bool
	// incarnations holds the incarnation under which each member promised.
	incarnations map[track.RankID]track.Incarnation
	// withMaps is set if the promises must carry the layers of the maps.
	withMaps bool
	// stepsTried is the number of steps tried for the switch, tooLate the number of
	// members that had begun the latest one before they could hold.
	stepsTried int
	tooLate    int
	result     Result
}

// NewCoordinator returns a Coordinator for the members of a group, and the orders that begin the
// attempt.
func NewCoordinator(ballot track.Ballot, members []track.RankID, plan Plan) (*Coordinator, []track.MapOrder) {
	d := &Coordinator{ballot: ballot, members: slices.SortedFunc(slices.Values(members), track.RankID.Compare), plan: plan}
	d.incarnations = make(map[track.RankID]track.Incarnation, len(members))
	d.prepareBegun = make(map[track.RankID]bool, len(members))
	d.result.HighestBallot = ballot.Number
	return d, d.startPhase(phasePromise, d.promiseOrder)
}

// Result returns the result of the attempt, and false while it goes on.
func (d *Coordinator) Result() (Result, bool) {
	return d.result, d.phase == phaseEnded
}

func (d *Coordinator) promiseOrder(track.RankID) (track.MapOrder, bool) {
	return track.MapOrder{Kind: track.OrderPromise, WithLayers: d.withMaps}, true
}

// startPhase enters a phase and returns the orders that begin it. The callback returns a
// member's order, or false if the member needs none.
func (d *Coordinator) startPhase(p phase, order func(track.RankID) (track.MapOrder, bool)) []track.MapOrder {
	d.phase = p
	d.replies = make(map[track.RankID]track.MapReply, len(d.members))
	d.orders = make(map[track.RankID]track.MapOrder, len(d.members))
	var orders []track.MapOrder
	for _, member := range d.members {
		o, ok := order(member)
		if !ok {
			continue
		}
		o.Ballot, o.To, o.Incarnation = d.ballot, member, d.incarnations[member]
		d.orders[member] = o
		orders = append(orders, o)
	}
	return orders
}

// sameOrder gives the same order to each member.
func sameOrder(o track.MapOrder) func(track.RankID) (track.MapOrder, bool) {
	return func(track.RankID) (track.MapOrder, bool) { return o, true }
}

// Handle takes a reply and returns the orders that follow from it. Replies to another
// ballot or to an earlier phase, and duplicates, change nothing.
func (d *Coordinator) Handle(r track.MapReply) []track.MapOrder {
	o, sent := d.orders[r.From]
	if d.phase == phaseEnded || !sent || r.Ballot != d.ballot || r.Kind != o.Kind {
		return nil
	}
	if _, answered := d.replies[r.From]; answered || o.WithLayers && !r.State.NoMap && r.State.Map.Layers == nil {
		return nil
	}
	d.result.HighestBallot = max(d.result.HighestBallot, r.Promised.Number, r.State.FencingToken)
	switch {
	case d.missedStep(r):
		d.tooLate++
	case r.Refusal != "":
		return d.handleRefusal(r)
	case !d.completesPhase(r):
		return nil
	}
	d.replies[r.From] = r
	if len(d.replies) < len(d.orders) {
		return nil
	}
	return d.nextPhase()
}

// completesPhase reports whether an accepted reply completes the member's part of the
// current phase.
func (d *Coordinator) completesPhase(r track.MapReply) bool {
	switch d.phase {
	case phasePrepare:
		d.prepareBegun[r.From] = true
		return r.State.Prepared != nil && r.State.Prepared.Version == d.ballot
	case phaseArm:
		// Once a second step is tried, the reply may be to the order for an earlier one.
		return d.stepsTried < 2 || d.isArmed(r)
	}
	return true
}

// missedStep reports whether a member could not be armed because it had begun the step
// chosen for the switch.
func (d *Coordinator) missedStep(r track.MapReply) bool {
	return d.plan.NextStep && d.phase == phaseArm && r.Refusal == track.RefusedRank &&
		r.State.Step > d.result.Switch.Step
}

// isArmed reports whether a member is armed for the latest switch chosen.
func (d *Coordinator) isArmed(r track.MapReply) bool {
	return r.State.Armed != nil && *r.State.Armed == d.result.Switch
}

// UnansweredOrders returns the orders of the current phase that are still unanswered.
func (d *Coordinator) UnansweredOrders() []track.MapOrder {
	var orders []track.MapOrder
	for _, member := range d.members {
		o, sent := d.orders[member]
		if _, answered := d.replies[member]; sent && !answered && d.phase != phaseEnded {
			if d.prepareBegun[member] && o.Kind == track.OrderPrepare && o.Change.FullMap != nil {
				o.StateOnly, o.Change = true, nil
			}
			orders = append(orders, o)
		}
	}
	return orders
}

// HandlePhaseTimeout ends the current phase if members don't answer in time, and returns the orders
// that follow. A change that isn't armed everywhere is rolled back; in any other phase
// the attempt ends Stuck.
func (d *Coordinator) HandlePhaseTimeout() []track.MapOrder {
	reason := fmt.Sprintf("no answer from %v", d.unanswered())
	switch d.phase {
	case phaseEnded:
		return nil
	case phasePrepare, phaseArm:
		return d.rollBack(reason)
	}
	return d.finish(Stuck, reason)
}

func (d *Coordinator) unanswered() []track.RankID {
	var members []track.RankID
	for _, o := range d.UnansweredOrders() {
		members = append(members, o.To)
	}
	return members
}

// handleRefusal rolls the change back if it is being prepared or armed, and otherwise
// ends the attempt.
func (d *Coordinator) handleRefusal(r track.MapReply) []track.MapOrder {
	reason := fmt.Sprintf("%s refused %s: %s %s", r.From, r.Kind, r.Refusal, r.RefusalDetail)
	switch {
	case r.Refusal == track.RefusedBallot:
		return d.finish(Outbid, fmt.Sprintf("%s has promised ballot %d", r.From, r.Promised.Number))
	case d.phase == phasePrepare, d.phase == phaseArm:
		return d.rollBack(reason)
	}
	return d.finish(Stuck, reason)
}

func (d *Coordinator) finish(o Outcome, reason string) []track.MapOrder {
	d.phase = phaseEnded
	d.result.Outcome = o
	if d.result.Reason == "" {
		d.result.Reason = reason
	}
	return nil
}

// rollBack disarms all members. It is safe since no Commit has been sent at this point.
func (d *Coordinator) rollBack(reason string) []track.MapOrder {
	d.result.Reason = reason
	return d.startPhase(phaseRollback, sameOrder(track.MapOrder{Kind: track.OrderDisarm, Switch: d.result.Switch}))
}

// nextPhase is called once every member has completed the current phase.
func (d *Coordinator) nextPhase() []track.MapOrder {
	switch d.phase {
	case phasePromise:
		return d.handlePromises()
	case phaseSettle:
		return d.finish(Settled, "")
	case phasePrepare:
		return d.startArm()
	case phaseArm:
		if d.tooLate > 0 {
			return d.retryArm()
		}
		return d.startPhase(phaseCommit, sameOrder(track.MapOrder{Kind: track.OrderCommit, Switch: d.result.Switch}))
	case phaseCommit:
		return d.finish(Switched, "")
	}
	return d.finish(Undone, "")
}

// handlePromises is called once all members have promised: from then on, no order of a
// lower ballot can take effect. It settles an unfinished change first, if there is one.
func (d *Coordinator) handlePromises() []track.MapOrder {
	states := make(map[track.RankID]track.RankState, len(d.replies))
	blank := false
	for member, r := range d.replies {
		d.incarnations[member] = r.Incarnation
		states[member] = r.State
		blank = blank || r.State.NoMap
	}
	// The donor's map is needed in full to restore a blank rank.
	if blank && !d.withMaps {
		d.withMaps = true
		return d.startPhase(phasePromise, d.promiseOrder)
	}
	if s := newSettlement(d.members, states, d.plan.Default, d.ballot); s.needed() {
		d.result.Switch = s.switchOrZero()
		return d.startPhase(phaseSettle, s.order)
	}
	return d.startPrepare(states)
}

func (d *Coordinator) startPrepare(states map[track.RankID]track.RankState) []track.MapOrder {
	if d.plan.Change == nil {
		return d.finish(Idle, "")
	}
	if base := states[d.members[0]].Map.Version; base != d.plan.Change.Base {
		return d.finish(Idle, fmt.Sprintf("planned from map %v, but map %v is in use", d.plan.Change.Base, base))
	}
	for _, member := range d.members {
		if states[member].Armed != nil {
			return d.finish(Idle, "a committed switch has not reached its step yet")
		}
	}
	change := *d.plan.Change
	change.Version = d.ballot
	return d.startPhase(phasePrepare, sameOrder(track.MapOrder{Kind: track.OrderPrepare, Change: &change}))
}

// retryArm tries a later step if all members had begun the latest one. If only some had,
// the ranks don't run in lock-step, and the change is rolled back.
func (d *Coordinator) retryArm() []track.MapOrder {
	if d.tooLate < len(d.orders) || d.stepsTried == maxStepsTried {
		return d.rollBack(fmt.Sprintf(
			"step %d had begun at %d of %d ranks", d.result.Switch.Step, d.tooLate, len(d.orders),
		))
	}
	return d.startArm()
}

// startArm arms the members for a step that no rank has entered yet.
func (d *Coordinator) startArm() []track.MapOrder {
	furthest := uint64(0)
	for _, r := range d.replies {
		furthest = max(furthest, r.State.Step)
	}
	ahead := cmp.Or(d.plan.StepsAhead, defaultArmAhead)
	if d.plan.NextStep {
		ahead = 0
	}
	d.stepsTried, d.tooLate = d.stepsTried+1, 0
	d.result.Switch = track.MapSwitch{Version: d.ballot, Step: furthest + ahead}
	return d.startPhase(phaseArm, sameOrder(track.MapOrder{Kind: track.OrderArm, Switch: d.result.Switch}))
}
