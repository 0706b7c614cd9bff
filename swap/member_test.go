package swap_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/stand/ranks"
	"filberttrack.example/track/swap"
)

var (
	rankA = track.RankID{Agent: "a"}
	rankB = track.RankID{Agent: "b"}
)

// rankPair is a group of two ranks with a Member each. The tests deliver the orders and
// replies one by one.
type rankPair struct {
	t       *testing.T
	group   *ranks.Group
	members map[track.RankID]*swap.Member
}

func newPair(t *testing.T, checksFences bool) *rankPair {
	p := &rankPair{t: t, group: ranks.New(ranks.Settings{Ranks: 2, Map: baseMap, ChecksFences: checksFences})}
	p.members = map[track.RankID]*swap.Member{
		rankA: swap.NewMember(rankA, 1, p.group.Rank(0)),
		rankB: swap.NewMember(rankB, 1, p.group.Rank(1)),
	}
	return p
}

func (p *rankPair) restart(id track.RankID, incarnation track.Incarnation) {
	rank := map[track.RankID]int{rankA: 0, rankB: 1}[id]
	p.members[id] = swap.NewMember(id, incarnation, p.group.Rank(rank))
}

// send delivers orders to their members and returns the replies.
func (p *rankPair) send(orders ...track.MapOrder) []track.MapReply {
	p.t.Helper()
	var replies []track.MapReply
	for _, o := range orders {
		r, err := p.members[o.To].Order(context.Background(), o)
		assert.NilError(p.t, err)
		replies = append(replies, r)
	}
	return replies
}

// handleAll passes replies to a coordinator and returns the orders that follow.
func handleAll(d *swap.Coordinator, replies []track.MapReply) []track.MapOrder {
	var orders []track.MapOrder
	for _, r := range replies {
		orders = append(orders, d.Handle(r)...)
	}
	return orders
}

// newAttempt returns a coordinator that changes the map or only settles, and its first
// orders.
func (p *rankPair) newAttempt(number uint64, change bool) (*swap.Coordinator, []track.MapOrder) {
	plan := swap.Plan{Default: baseMap}
	if change {
		plan.Change = &track.MapChange{}
	}
	return swap.NewCoordinator(track.Ballot{Number: number, Driver: "a"}, []track.RankID{rankA, rankB}, plan)
}

// prepareChange returns a coordinator whose members have prepared, and its Arm orders,
// which are not sent yet.
func (p *rankPair) prepareChange(number uint64) (*swap.Coordinator, []track.MapOrder) {
	d, orders := p.newAttempt(number, true)
	for range 2 {
		orders = handleAll(d, p.send(orders...))
	}
	assert.Equal(p.t, orders[0].Kind, track.OrderArm)
	return d, orders
}

func (p *rankPair) runSteps(steps int) {
	for range steps {
		p.group.Step()
	}
	assert.NilError(p.t, p.group.MapMismatch())
}

func TestChangeDelaysNoStep(t *testing.T) {
	for _, checks := range []bool{true, false} {
		p := newPair(t, checks)
		d, arms := p.prepareChange(1)
		commits := handleAll(d, p.send(arms...))
		handleAll(d, p.send(commits...))
		result, done := d.Result()
		assert.Assert(t, done && result.Outcome == swap.Switched, "%+v", result)
		for range 10 {
			assert.Assert(t, p.group.Step(), "the group held a step")
		}
		assert.NilError(t, p.group.MapMismatch())
		uses := p.group.MapUses()
		assert.Equal(t, uses[len(uses)-1].Version, track.Ballot{Number: 1, Driver: "a"})
	}
}

func TestArmedRankHoldsUntilDecision(t *testing.T) {
	p := newPair(t, false)
	_, arms := p.prepareChange(1)
	p.send(arms...)
	p.runSteps(20)
	assert.Equal(t, p.group.Open(), arms[0].Switch.Step)
	// Another coordinator commits the change, since the first one may have decided to.
	d, orders := p.newAttempt(2, false)
	for range 2 {
		orders = handleAll(d, p.send(orders...))
	}
	result, _ := d.Result()
	assert.Equal(t, result.Outcome, swap.Settled)
	p.runSteps(5)
	assert.Equal(t, p.group.Open(), arms[0].Switch.Step+5)
}

// A member promises ballot 2, restarts and so forgets its promise. If it then obeyed an
// order under ballot 1, ballot 1 would commit a change that ballot 2 rolls back.
func TestRestartedMemberRefusesOrdersForItsOldIncarnation(t *testing.T) {
	p := newPair(t, false)
	first, arms := p.prepareChange(1)
	armedA := p.send(arms[0])
	second, orders := p.newAttempt(2, false)
	disarms := handleAll(second, p.send(orders...))
	assert.Equal(t, disarms[0].Kind, track.OrderDisarm)

	p.restart(rankB, 2)
	promise := track.MapOrder{Kind: track.OrderPromise, Ballot: arms[1].Ballot, To: rankB}
	p.send(promise)
	late := p.send(arms[1])
	assert.Equal(t, late[0].Refusal, track.RefusedIncarnation)
	for range 2 {
		commits := handleAll(first, append(armedA, late...))
		p.send(commits...)
	}
	p.send(disarms...)
	p.runSteps(20)
	assert.Equal(t, p.group.Open(), uint64(21))
}

func TestLateArmAfterDisarmIsRefused(t *testing.T) {
	p := newPair(t, false)
	d, arms := p.prepareChange(1)
	handleAll(d, p.send(arms[0]))
	p.send(d.HandlePhaseTimeout()...)
	assert.Equal(t, p.send(arms[1])[0].Refusal, track.RefusedClosed)
	p.runSteps(20)
	assert.Equal(t, p.group.Open(), uint64(21))
}

// delayedEngine is an engine that can carry out a Disarm only after the call has timed
// out.
type delayedEngine struct {
	*ranks.Rank
	delayNext      bool
	deliverDelayed func()
}

func (e *delayedEngine) Disarm(ctx context.Context, fence, arming uint64) error {
	if !e.delayNext {
		return e.Rank.Disarm(ctx, fence, arming)
	}
	e.delayNext = false
	e.deliverDelayed = func() { _ = e.Rank.Disarm(ctx, fence, arming) }
	return context.DeadlineExceeded
}

// A coordinator rolls its change back. The Disarm of one rank is delayed, while another
// coordinator finds all ranks armed and commits the change.
func TestLateDisarmHasNoEffect(t *testing.T) {
	for _, restart := range []bool{true, false} {
		p := newPair(t, false)
		engine := &delayedEngine{Rank: p.group.Rank(1), delayNext: true}
		p.members[rankB] = swap.NewMember(rankB, 1, engine)
		d, arms := p.prepareChange(1)
		p.send(arms...)
		disarms := d.HandlePhaseTimeout()
		p.send(disarms[1])
		if restart {
			p.members[rankB] = swap.NewMember(rankB, 2, engine)
		}
		second, orders := p.newAttempt(2, false)
		commits := handleAll(second, p.send(orders...))
		assert.Equal(t, commits[0].Kind, track.OrderCommit)
		p.send(commits[0])
		engine.deliverDelayed()
		p.send(commits[1])
		p.runSteps(20)
		assert.Equal(t, p.group.Open(), uint64(21))
	}
}

func TestRefusedArmKeepsOldMap(t *testing.T) {
	p := newPair(t, false)
	d, arms := p.prepareChange(1)
	// The group passes the step of the switch before the orders arrive.
	p.runSteps(10)
	disarms := handleAll(d, p.send(arms...))
	handleAll(d, p.send(disarms...))
	result, done := d.Result()
	assert.Assert(t, done && result.Outcome == swap.Undone, "%+v", result)
	assert.Assert(t, result.Reason != "")
	p.runSteps(10)
	uses := p.group.MapUses()
	assert.Equal(t, len(uses), 40)
	assert.Equal(t, uses[len(uses)-1].Version, track.Ballot{})
}

// A change lists the differences from its base map, and can't be applied to another map.
func TestChangeFromAnotherBaseMapIsRefused(t *testing.T) {
	p := newPair(t, false)
	other := track.Ballot{Number: 9}
	change := &track.MapChange{Base: other}
	d, orders := swap.NewCoordinator(
		track.Ballot{Number: 1, Driver: "a"}, []track.RankID{rankA, rankB}, swap.Plan{Change: change},
	)
	assert.Equal(t, len(handleAll(d, p.send(orders...))), 0)
	result, _ := d.Result()
	assert.Equal(t, result.Outcome, swap.Idle)

	prepare := track.MapOrder{
		Kind: track.OrderPrepare, Ballot: track.Ballot{Number: 1, Driver: "a"}, To: rankB, Incarnation: 1, Change: change,
	}
	assert.Equal(t, p.send(prepare)[0].Refusal, track.RefusedRank)
}

// One rank got the Commit and uses the new map already. The other is armed and holds; its
// agent has restarted and the coordinator is gone.
func TestSwitchInUseOnOneRankIsCommitted(t *testing.T) {
	p := newPair(t, false)
	d, arms := p.prepareChange(1)
	commits := handleAll(d, p.send(arms...))
	p.send(commits[0])
	p.runSteps(20)
	p.restart(rankB, 2)
	second, orders := p.newAttempt(2, false)
	settle := handleAll(second, p.send(orders...))
	p.send(settle...)
	p.runSteps(20)
	assert.Equal(t, p.group.Open(), arms[0].Switch.Step+20)
}

// prepareNextStep is prepareChange with Plan.NextStep set.
func (p *rankPair) prepareNextStep() (*swap.Coordinator, []track.MapOrder) {
	plan := swap.Plan{Default: baseMap, NextStep: true, Change: &track.MapChange{}}
	d, orders := swap.NewCoordinator(track.Ballot{Number: 1, Driver: "a"}, []track.RankID{rankA, rankB}, plan)
	for range 2 {
		orders = handleAll(d, p.send(orders...))
	}
	assert.Equal(p.t, orders[0].Kind, track.OrderArm)
	return d, orders
}

// missedStepReply returns the reply of a rank that began the step of the switch before
// the Arm order arrived.
func missedStepReply(o track.MapOrder) track.MapReply {
	return track.MapReply{
		Kind: o.Kind, Ballot: o.Ballot, From: o.To, Incarnation: o.Incarnation, Refusal: track.RefusedRank,
		State: track.RankState{Step: o.Switch.Step + 1},
	}
}

func TestArmIsRetriedWhenStepHasBegun(t *testing.T) {
	p := newPair(t, false)
	d, arms := p.prepareNextStep()
	first := arms[0].Switch.Step
	again := handleAll(d, []track.MapReply{missedStepReply(arms[0]), missedStepReply(arms[1])})
	assert.Equal(t, len(again), 2)
	assert.Equal(t, again[0].Kind, track.OrderArm)
	assert.Equal(t, again[0].Switch.Step, first+1)
	// An accepted reply that may be to the order for the earlier step doesn't count.
	stale := track.MapReply{
		Kind: track.OrderArm, Ballot: arms[0].Ballot, From: arms[0].To, Incarnation: arms[0].Incarnation,
	}
	assert.Equal(t, len(handleAll(d, []track.MapReply{stale})), 0)
	p.runSteps(1)
	commits := handleAll(d, p.send(again...))
	handleAll(d, p.send(commits...))
	result, done := d.Result()
	assert.Assert(t, done && result.Outcome == swap.Switched, "%+v", result)
	p.runSteps(5)
}

func TestChangeIsRolledBackWithoutLockStep(t *testing.T) {
	p := newPair(t, false)
	d, arms := p.prepareNextStep()
	armed := p.send(arms[0])
	disarms := handleAll(d, append(armed, missedStepReply(arms[1])))
	assert.Equal(t, len(disarms), 2)
	assert.Equal(t, disarms[0].Kind, track.OrderDisarm)
}

func TestArmRetriesAreBounded(t *testing.T) {
	p := newPair(t, false)
	d, orders := p.prepareNextStep()
	rounds := 1
	for orders[0].Kind == track.OrderArm {
		orders = handleAll(d, []track.MapReply{missedStepReply(orders[0]), missedStepReply(orders[1])})
		rounds++
	}
	assert.Equal(t, orders[0].Kind, track.OrderDisarm)
	assert.Equal(t, rounds, 7)
}
