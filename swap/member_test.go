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

// pairOf is a group of two ranks with a member each, armed and decided by hand.
type pairOf struct {
	t       *testing.T
	group   *ranks.Group
	members map[track.RankID]*swap.Member
}

func newPair(t *testing.T, checksFences bool) *pairOf {
	p := &pairOf{t: t, group: ranks.New(ranks.Settings{Ranks: 2, Map: baseMap, ChecksFences: checksFences})}
	p.members = map[track.RankID]*swap.Member{
		rankA: swap.NewMember(rankA, 1, p.group.Rank(0)),
		rankB: swap.NewMember(rankB, 1, p.group.Rank(1)),
	}
	return p
}

func (p *pairOf) restart(id track.RankID, incarnation track.Incarnation) {
	rank := map[track.RankID]int{rankA: 0, rankB: 1}[id]
	p.members[id] = swap.NewMember(id, incarnation, p.group.Rank(rank))
}

// send gives orders to their members and returns the accepted replies.
func (p *pairOf) send(orders ...track.MapOrder) []track.MapReply {
	p.t.Helper()
	var out []track.MapReply
	for _, o := range orders {
		r, err := p.members[o.To].Order(context.Background(), o)
		assert.NilError(p.t, err)
		out = append(out, r)
	}
	return out
}

// feed hands replies to a driver and returns the orders that follow.
func feed(d *swap.Driver, replies []track.MapReply) []track.MapOrder {
	var out []track.MapOrder
	for _, r := range replies {
		out = append(out, d.Handle(r)...)
	}
	return out
}

func (p *pairOf) driver(number uint64, change bool) (*swap.Driver, []track.MapOrder) {
	plan := swap.Plan{Default: baseMap}
	if change {
		plan.Change = &track.MapChange{}
	}
	return swap.NewDriver(track.Ballot{Number: number, Driver: "a"}, []track.RankID{rankA, rankB}, plan)
}

// armed returns a driver whose arm orders are ready to be sent.
func (p *pairOf) armed(number uint64) (*swap.Driver, []track.MapOrder) {
	d, orders := p.driver(number, true)
	for range 2 {
		orders = feed(d, p.send(orders...))
	}
	assert.Equal(p.t, orders[0].Kind, track.OrderArm)
	return d, orders
}

func (p *pairOf) run(steps int) {
	for range steps {
		p.group.Step()
	}
	assert.NilError(p.t, p.group.Broken())
}

func TestChangeTakesNoStep(t *testing.T) {
	for _, checks := range []bool{true, false} {
		p := newPair(t, checks)
		d, arms := p.armed(1)
		commits := feed(d, p.send(arms...))
		feed(d, p.send(commits...))
		result, done := d.Result()
		assert.Assert(t, done && result.Outcome == swap.Switched, "%+v", result)
		for range 10 {
			assert.Assert(t, p.group.Step(), "the group held a step")
		}
		assert.NilError(t, p.group.Broken())
		uses := p.group.Uses()
		assert.Equal(t, uses[len(uses)-1].Version, track.Ballot{Number: 1, Driver: "a"})
	}
}

func TestArmedRankHoldsUntilItHears(t *testing.T) {
	p := newPair(t, false)
	_, arms := p.armed(1)
	p.send(arms...)
	p.run(20)
	assert.Equal(t, p.group.Open(), arms[0].Switch.Step)
	// Another agent finishes the change, since its driver may have decided.
	d, orders := p.driver(2, false)
	for range 2 {
		orders = feed(d, p.send(orders...))
	}
	result, _ := d.Result()
	assert.Equal(t, result.Outcome, swap.Settled)
	p.run(5)
	assert.Equal(t, p.group.Open(), arms[0].Switch.Step+5)
}

// The member promised ballot 2 before it restarted. Were it to obey ballot 1
// afterwards, ballot 1 would commit what ballot 2 undoes.
func TestRestartedMemberObeysNobodyWhoAskedItsPredecessor(t *testing.T) {
	p := newPair(t, false)
	first, arms := p.armed(1)
	armedA := p.send(arms[0])
	second, orders := p.driver(2, false)
	undo := feed(second, p.send(orders...))
	assert.Equal(t, undo[0].Kind, track.OrderDisarm)

	p.restart(rankB, 2)
	promise := track.MapOrder{Kind: track.OrderPromise, Ballot: arms[1].Ballot, To: rankB}
	p.send(promise)
	late := p.send(arms[1])
	assert.Equal(t, late[0].Refusal, track.RefusedIncarnation)
	for range 2 {
		commits := feed(first, append(armedA, late...))
		p.send(commits...)
	}
	p.send(undo...)
	p.run(20)
	assert.Equal(t, p.group.Open(), uint64(21))
}

func TestLateArmAfterDisarmIsRefused(t *testing.T) {
	p := newPair(t, false)
	d, arms := p.armed(1)
	feed(d, p.send(arms[0]))
	p.send(d.GiveUp()...)
	assert.Equal(t, p.send(arms[1])[0].Refusal, track.RefusedClosed)
	p.run(20)
	assert.Equal(t, p.group.Open(), uint64(21))
}

// slow is an engine whose next call of a kind lands after its agent gave up.
type slow struct {
	*ranks.Rank
	hold bool
	late func()
}

func (s *slow) Disarm(ctx context.Context, fence, arming uint64) error {
	if !s.hold {
		return s.Rank.Disarm(ctx, fence, arming)
	}
	s.hold = false
	s.late = func() { _ = s.Rank.Disarm(ctx, fence, arming) }
	return context.DeadlineExceeded
}

// A driver undoes its change; the disarm of one rank is under way while another
// driver finds all armed and finishes the change.
func TestLateDisarmFindsNothing(t *testing.T) {
	for _, restart := range []bool{true, false} {
		p := newPair(t, false)
		engine := &slow{Rank: p.group.Rank(1), hold: true}
		p.members[rankB] = swap.NewMember(rankB, 1, engine)
		d, arms := p.armed(1)
		p.send(arms...)
		undo := d.GiveUp()
		p.send(undo[1])
		if restart {
			p.members[rankB] = swap.NewMember(rankB, 2, engine)
		}
		second, orders := p.driver(2, false)
		commits := feed(second, p.send(orders...))
		assert.Equal(t, commits[0].Kind, track.OrderCommit)
		p.send(commits[0])
		engine.late()
		p.send(commits[1])
		p.run(20)
		assert.Equal(t, p.group.Open(), uint64(21))
	}
}

func TestRefusedArmLeavesTheOldMap(t *testing.T) {
	p := newPair(t, false)
	d, arms := p.armed(1)
	// The group runs past the step before the orders arrive.
	p.run(10)
	undo := feed(d, p.send(arms...))
	feed(d, p.send(undo...))
	result, done := d.Result()
	assert.Assert(t, done && result.Outcome == swap.Undone, "%+v", result)
	assert.Assert(t, result.Reason != "")
	p.run(10)
	uses := p.group.Uses()
	assert.Equal(t, len(uses), 40)
	assert.Equal(t, uses[len(uses)-1].Version, track.Ballot{})
}

// A change says what differs from the map it was planned from, and is of no use
// on another map.
func TestChangeOfAnotherMapIsRefused(t *testing.T) {
	p := newPair(t, false)
	other := track.Ballot{Number: 9}
	change := &track.MapChange{Base: other}
	d, orders := swap.NewDriver(track.Ballot{Number: 1, Driver: "a"}, []track.RankID{rankA, rankB}, swap.Plan{Change: change})
	assert.Equal(t, len(feed(d, p.send(orders...))), 0)
	result, _ := d.Result()
	assert.Equal(t, result.Outcome, swap.Idle)

	prepare := track.MapOrder{Kind: track.OrderPrepare, Ballot: track.Ballot{Number: 1, Driver: "a"}, To: rankB, Incarnation: 1, Change: change}
	assert.Equal(t, p.send(prepare)[0].Refusal, track.RefusedRank)
}

// One rank heard the decision and uses the new map already; the other is armed
// and holds. Its agent and the driver are gone.
func TestSwitchInUseIsFinished(t *testing.T) {
	p := newPair(t, false)
	d, arms := p.armed(1)
	commits := feed(d, p.send(arms...))
	p.send(commits[0])
	p.run(20)
	p.restart(rankB, 2)
	second, orders := p.driver(2, false)
	settle := feed(second, p.send(orders...))
	p.send(settle...)
	p.run(20)
	assert.Equal(t, p.group.Open(), arms[0].Switch.Step+20)
}

// soonest returns a driver that has named the next step, and its arm orders.
func (p *pairOf) soonest() (*swap.Driver, []track.MapOrder) {
	plan := swap.Plan{Default: baseMap, Soonest: true, Change: &track.MapChange{}}
	d, orders := swap.NewDriver(track.Ballot{Number: 1, Driver: "a"}, []track.RankID{rankA, rankB}, plan)
	for range 2 {
		orders = feed(d, p.send(orders...))
	}
	assert.Equal(p.t, orders[0].Kind, track.OrderArm)
	return d, orders
}

// begun returns the reply of a rank that began the step before the order came.
func begun(o track.MapOrder) track.MapReply {
	return track.MapReply{
		Kind: o.Kind, Ballot: o.Ballot, From: o.To, Incarnation: o.Incarnation, Refusal: track.RefusedRank,
		State: track.RankState{Step: o.Switch.Step + 1},
	}
}

func TestAStepThatHasBegunIsNamedAgain(t *testing.T) {
	p := newPair(t, false)
	d, arms := p.soonest()
	first := arms[0].Switch.Step
	again := feed(d, []track.MapReply{begun(arms[0]), begun(arms[1])})
	assert.Equal(t, len(again), 2)
	assert.Equal(t, again[0].Kind, track.OrderArm)
	assert.Equal(t, again[0].Switch.Step, first+1)
	// An accepted reply that may belong to the earlier step doesn't count.
	stale := track.MapReply{Kind: track.OrderArm, Ballot: arms[0].Ballot, From: arms[0].To, Incarnation: arms[0].Incarnation}
	assert.Equal(t, len(feed(d, []track.MapReply{stale})), 0)
	p.run(1)
	commits := feed(d, p.send(again...))
	feed(d, p.send(commits...))
	result, done := d.Result()
	assert.Assert(t, done && result.Outcome == swap.Switched, "%+v", result)
	p.run(5)
}

func TestRanksThatDontRunInLockStepAreUndone(t *testing.T) {
	p := newPair(t, false)
	d, arms := p.soonest()
	armed := p.send(arms[0])
	undo := feed(d, append(armed, begun(arms[1])))
	assert.Equal(t, len(undo), 2)
	assert.Equal(t, undo[0].Kind, track.OrderDisarm)
}

func TestStepsAreNamedAFewTimesOnly(t *testing.T) {
	p := newPair(t, false)
	d, orders := p.soonest()
	namings := 1
	for orders[0].Kind == track.OrderArm {
		orders = feed(d, []track.MapReply{begun(orders[0]), begun(orders[1])})
		namings++
	}
	assert.Equal(t, orders[0].Kind, track.OrderDisarm)
	assert.Equal(t, namings, 7)
}
