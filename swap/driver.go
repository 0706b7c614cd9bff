package swap

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"filberttrack.example/track"
)

// Outcome says how a driver's attempt ended.
type Outcome string

// The outcomes of an attempt.
const (
	// Switched means that every member committed the new map.
	Switched Outcome = "Switched"
	// Settled means that a change left half done, or a blank rank, was settled.
	Settled Outcome = "Settled"
	// Idle means that there was nothing to settle and no map to change to.
	Idle Outcome = "Idle"
	// Undone means that a member could not be armed; the old map stays.
	Undone Outcome = "Undone"
	// Outbid means that a member has promised a higher ballot.
	Outbid Outcome = "Outbid"
	// Stuck means that members did not answer; another attempt has to settle
	// what this one left behind.
	Stuck Outcome = "Stuck"
)

// Result is the end of an attempt.
type Result struct {
	Outcome Outcome
	// Reason names the member and the fault that decided, if any.
	Reason string
	// Switch is the switch that was committed or undone, if any.
	Switch track.MapSwitch
	// Highest is the highest ballot number met.
	Highest uint64
	// Held is the time from the first order to arm to the end, during which ranks may
	// wait; 0 if none was armed. It is set by the Runner.
	Held time.Duration
}

// phase is what a driver waits for.
type phase int

const (
	promising phase = iota
	settling
	preparing
	arming
	committing
	undoing
	ended
)

// defaultArmAhead is the number of steps between the furthest rank and the step of
// a switch; orders have that long to arrive before a rank holds.
const defaultArmAhead = 8

// Plan is what a driver is to do once the group is settled.
type Plan struct {
	// Change is the change of the map; nil to settle only. It is not begun if the
	// group uses another map than its base. Its version is set by the driver.
	Change *track.MapChange
	// Default is the map for a group whose ranks are all blank.
	Default track.ExpertMap
	// ArmAhead is the number of steps between the furthest rank and the step of the
	// switch; 0 sets the default.
	ArmAhead uint64
	// Soonest names the next step of all for the switch. If that has begun before the
	// ranks hold, another one is named. It suits engines whose ranks run in lock-step:
	// either all of them hold before a step, or none does.
	Soonest bool
}

// maxNamings bounds the steps that a driver names for one switch.
const maxNamings = 6

// Driver is one attempt under one ballot. It is not safe for concurrent use.
type Driver struct {
	ballot  track.Ballot
	members []track.RankID
	plan    Plan

	phase phase
	// replies holds the accepted reply of each member in this phase.
	replies map[track.RankID]track.MapReply
	// orders holds the orders of this phase, for repeats.
	orders map[track.RankID]track.MapOrder
	// begun is set for members that answered to the change of the map; they are
	// asked again without it.
	begun map[track.RankID]bool
	// promises holds the incarnations under which the members promised.
	promises map[track.RankID]track.Incarnation
	maps     bool
	// namings is the number of steps named for the switch, late the number of members
	// that had begun the latest one.
	namings int
	late    int
	result  Result
}

// NewDriver returns a driver for the members of a group and its first orders.
func NewDriver(ballot track.Ballot, members []track.RankID, plan Plan) (*Driver, []track.MapOrder) {
	d := &Driver{ballot: ballot, members: slices.SortedFunc(slices.Values(members), track.RankID.Compare), plan: plan}
	d.promises = make(map[track.RankID]track.Incarnation, len(members))
	d.begun = make(map[track.RankID]bool, len(members))
	d.result.Highest = ballot.Number
	return d, d.enter(promising, d.promiseOrder)
}

// Result returns the end of the attempt, or false while it goes on.
func (d *Driver) Result() (Result, bool) {
	return d.result, d.phase == ended
}

func (d *Driver) promiseOrder(track.RankID) (track.MapOrder, bool) {
	return track.MapOrder{Kind: track.OrderPromise, Maps: d.maps}, true
}

// enter begins a phase with an order for each member that needs one.
func (d *Driver) enter(p phase, order func(track.RankID) (track.MapOrder, bool)) []track.MapOrder {
	d.phase = p
	d.replies = make(map[track.RankID]track.MapReply, len(d.members))
	d.orders = make(map[track.RankID]track.MapOrder, len(d.members))
	var out []track.MapOrder
	for _, member := range d.members {
		o, ok := order(member)
		if !ok {
			continue
		}
		o.Ballot, o.To, o.Incarnation = d.ballot, member, d.promises[member]
		d.orders[member] = o
		out = append(out, o)
	}
	return out
}

// everyone returns the same order for each member.
func everyone(o track.MapOrder) func(track.RankID) (track.MapOrder, bool) {
	return func(track.RankID) (track.MapOrder, bool) { return o, true }
}

// Handle takes a reply and returns the orders that follow. Replies to another
// ballot, to an earlier phase or repeated ones change nothing.
func (d *Driver) Handle(r track.MapReply) []track.MapOrder {
	o, asked := d.orders[r.From]
	if d.phase == ended || !asked || r.Ballot != d.ballot || r.Kind != o.Kind {
		return nil
	}
	if _, answered := d.replies[r.From]; answered || o.Maps && !r.State.Blank && r.State.Map.Layers == nil {
		return nil
	}
	d.result.Highest = max(d.result.Highest, r.Promised.Number, r.State.Fence)
	switch {
	case d.begunBefore(r):
		d.late++
	case r.Refusal != "":
		return d.refused(r)
	case !d.complete(r):
		return nil
	}
	d.replies[r.From] = r
	if len(d.replies) < len(d.orders) {
		return nil
	}
	return d.next()
}

// complete reports whether an accepted reply ends the member's part of this phase.
func (d *Driver) complete(r track.MapReply) bool {
	switch d.phase {
	case preparing:
		d.begun[r.From] = true
		return r.State.Prepared != nil && r.State.Prepared.Version == d.ballot
	case arming:
		// After another naming, the reply may be to the order for an earlier step.
		return d.namings < 2 || d.armed(r)
	}
	return true
}

// begunBefore reports whether a member could not hold since the step named had begun.
func (d *Driver) begunBefore(r track.MapReply) bool {
	return d.plan.Soonest && d.phase == arming && r.Refusal == track.RefusedRank && r.State.Step > d.result.Switch.Step
}

// armed reports whether a member is armed for the switch named last.
func (d *Driver) armed(r track.MapReply) bool {
	return r.State.Armed != nil && *r.State.Armed == d.result.Switch
}

// Repeat returns the orders of this phase that have no reply yet.
func (d *Driver) Repeat() []track.MapOrder {
	var out []track.MapOrder
	for _, member := range d.members {
		o, asked := d.orders[member]
		if _, answered := d.replies[member]; asked && !answered && d.phase != ended {
			if d.begun[member] && o.Kind == track.OrderPrepare && o.Change.Whole != nil {
				o.Begun, o.Change = true, nil
			}
			out = append(out, o)
		}
	}
	return out
}

// GiveUp ends the wait for members that don't answer. A change that isn't armed
// everywhere is undone.
func (d *Driver) GiveUp() []track.MapOrder {
	reason := fmt.Sprintf("no answer from %v", d.missing())
	switch d.phase {
	case ended:
		return nil
	case preparing, arming:
		return d.undo(reason)
	}
	return d.end(Stuck, reason)
}

func (d *Driver) missing() []track.RankID {
	var out []track.RankID
	for _, o := range d.Repeat() {
		out = append(out, o.To)
	}
	return out
}

// refused ends the attempt or undoes the change, according to the phase.
func (d *Driver) refused(r track.MapReply) []track.MapOrder {
	reason := fmt.Sprintf("%s refused %s: %s %s", r.From, r.Kind, r.Refusal, r.Fault)
	switch {
	case r.Refusal == track.RefusedBallot:
		return d.end(Outbid, fmt.Sprintf("%s has promised ballot %d", r.From, r.Promised.Number))
	case d.phase == preparing, d.phase == arming:
		return d.undo(reason)
	}
	return d.end(Stuck, reason)
}

func (d *Driver) end(o Outcome, reason string) []track.MapOrder {
	d.phase = ended
	d.result.Outcome = o
	if d.result.Reason == "" {
		d.result.Reason = reason
	}
	return nil
}

// undo takes back the driver's own change. It has never sent a commit.
func (d *Driver) undo(reason string) []track.MapOrder {
	d.result.Reason = reason
	return d.enter(undoing, everyone(track.MapOrder{Kind: track.OrderDisarm, Switch: d.result.Switch}))
}

// next follows a phase that every member has answered.
func (d *Driver) next() []track.MapOrder {
	switch d.phase {
	case promising:
		return d.promised()
	case settling:
		return d.end(Settled, "")
	case preparing:
		return d.arm()
	case arming:
		if d.late > 0 {
			return d.nameAgain()
		}
		return d.enter(committing, everyone(track.MapOrder{Kind: track.OrderCommit, Switch: d.result.Switch}))
	case committing:
		return d.end(Switched, "")
	}
	return d.end(Undone, "")
}

// promised follows the promises of all members: no order of an older ballot can
// take effect from now on.
func (d *Driver) promised() []track.MapOrder {
	states := make(map[track.RankID]track.RankState, len(d.replies))
	blank := false
	for member, r := range d.replies {
		d.promises[member] = r.Incarnation
		states[member] = r.State
		blank = blank || r.State.Blank
	}
	if blank && !d.maps {
		d.maps = true
		return d.enter(promising, d.promiseOrder)
	}
	if s := newSettlement(d.members, states, d.plan.Default, d.ballot); s.needed() {
		d.result.Switch = s.switches()
		return d.enter(settling, s.order)
	}
	return d.prepare(states)
}

func (d *Driver) prepare(states map[track.RankID]track.RankState) []track.MapOrder {
	if d.plan.Change == nil {
		return d.end(Idle, "")
	}
	if base := states[d.members[0]].Map.Version; base != d.plan.Change.Base {
		return d.end(Idle, fmt.Sprintf("planned from map %v, in use is %v", d.plan.Change.Base, base))
	}
	for _, member := range d.members {
		if states[member].Armed != nil {
			return d.end(Idle, "a committed switch waits for its step")
		}
	}
	change := *d.plan.Change
	change.Version = d.ballot
	return d.enter(preparing, everyone(track.MapOrder{Kind: track.OrderPrepare, Change: &change}))
}

// nameAgain names another step if all members had begun the last one. If only some
// had, they don't run in lock-step, and the change is undone.
func (d *Driver) nameAgain() []track.MapOrder {
	if d.late < len(d.orders) || d.namings == maxNamings {
		return d.undo(fmt.Sprintf("step %d had begun at %d of %d ranks", d.result.Switch.Step, d.late, len(d.orders)))
	}
	return d.arm()
}

// arm names a step that no rank has entered yet.
func (d *Driver) arm() []track.MapOrder {
	furthest := uint64(0)
	for _, r := range d.replies {
		furthest = max(furthest, r.State.Step)
	}
	ahead := cmp.Or(d.plan.ArmAhead, defaultArmAhead)
	if d.plan.Soonest {
		ahead = 0
	}
	d.namings, d.late = d.namings+1, 0
	d.result.Switch = track.MapSwitch{Version: d.ballot, Step: furthest + ahead}
	return d.enter(arming, everyone(track.MapOrder{Kind: track.OrderArm, Switch: d.result.Switch}))
}
