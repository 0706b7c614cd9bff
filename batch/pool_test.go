package batch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
)

const (
	service   = "dispatch-llm"
	slots     = 4
	objective = 400 * time.Millisecond
	timeout   = 8 * time.Second
)

var engine = &track.EngineSpec{Slots: slots, MemoryTokens: 372000, FormTime: 600 * time.Millisecond}

// newPool returns a pool of n replicas, in zone rivera but for the last.
func newPool(clock clockwork.Clock, n int, spec *track.EngineSpec) *batch.Pool {
	p := batch.New(batch.Options{
		Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(),
		Draw: func() float64 { return 0.5 }, Entries: func() int { return 1 },
	})
	p.Configure(spec)
	p.Update(replicas(n))
	return p
}

func replicas(n int) []track.Replica {
	var out []track.Replica
	for i := range n {
		zone := track.AvailabilityZone("rivera")
		if i == n-1 && n > 1 {
			zone = "artigas"
		}
		out = append(out, track.Replica{ID: id(i), Service: service, Address: address(i), Zone: zone, Slots: slots})
	}
	return out
}

func id(i int) track.ReplicaID { return track.ReplicaID(fmt.Sprintf("i-%d", i)) }
func address(i int) string     { return fmt.Sprintf("10.0.0.%d:80", i) }

// ask returns a request that came now; age is the time since its client first asked.
func ask(clock clockwork.Clock, age time.Duration) batch.Ask {
	now := clock.Now()
	due := now.Add(objective/2 - age)
	until := due
	if !due.After(now) {
		until = now.Add((timeout - age) / 3)
	}
	return batch.Ask{Due: due, Until: until, Deadline: now.Add(timeout - age)}
}

// take returns the grant of a request that must get one at once.
func take(t *testing.T, p *batch.Pool, a batch.Ask) *batch.Grant {
	t.Helper()
	g, err := p.Acquire(t.Context(), a)
	assert.NilError(t, err)
	return g
}

// fill takes all places.
func fill(t *testing.T, p *batch.Pool, clock clockwork.Clock, places int) []*batch.Grant {
	t.Helper()
	var grants []*batch.Grant
	for range places {
		g := take(t, p, ask(clock, 0))
		g.Started()
		grants = append(grants, g)
	}
	return grants
}

func refusal(t *testing.T, err error) *batch.RefusalError {
	t.Helper()
	var refused *batch.RefusalError
	assert.Assert(t, errors.As(err, &refused), "got %v", err)
	return refused
}

func TestSpreadsOverReplicasAndPrefersTheOwnZone(t *testing.T) {
	p := newPool(clockwork.NewFakeClock(), 3, engine)
	count := map[track.ReplicaID]int{}
	for range 2 {
		g := take(t, p, batch.Ask{})
		assert.Equal(t, g.Replica.Zone, track.AvailabilityZone("rivera"))
		count[g.Replica.ID]++
	}
	assert.Equal(t, len(count), 2, "each replica of the zone has one")
	assert.Equal(t, take(t, p, batch.Ask{}).Replica.ID, id(2), "the empty replica elsewhere comes before a second request here")
}

func TestCountsOfOtherEntriesBoundTheBatch(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	p.SetOthers(map[track.ReplicaID]track.InFlight{id(0): {Running: slots - 1}})
	take(t, p, ask(clock, 0))
	waiting := arrive(t, p, ask(clock, 0))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	p.SetOthers(nil)
	assert.NilError(t, (<-waiting).err)
}

type result struct {
	grant *batch.Grant
	err   error
}

// arrive asks on another goroutine.
func arrive(t *testing.T, p *batch.Pool, a batch.Ask) <-chan result {
	out := make(chan result, 1)
	go func() {
		g, err := p.Acquire(t.Context(), a)
		out <- result{g, err}
	}()
	return out
}

func TestAPlaceGoesToTheMoreUrgentThenToWhoCanBeOnTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	late := ask(clock, 2*time.Second)
	late.Request = "late"
	onTime := ask(clock, 0)
	onTime.Request = "on time"
	urgent := ask(clock, 2*time.Second)
	urgent.Request, urgent.Priority = "urgent", -1
	got := map[track.RequestID]<-chan result{}
	for i, a := range []batch.Ask{late, onTime, urgent} {
		got[a.Request] = arrive(t, p, a)
		assert.NilError(t, clock.BlockUntilContext(t.Context(), i+1))
	}
	for _, name := range []track.RequestID{"urgent", "on time", "late"} {
		grants[0].Done(batch.Result{Verdict: batch.Served})
		grants = grants[1:]
		r := <-got[name]
		assert.NilError(t, r.err, "%s is next", name)
	}
}

func TestRefusesAtOnceWhatWouldWaitTooLong(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	clock.Advance(4 * time.Second)
	grants[0].Done(batch.Result{Verdict: batch.Served})
	fill(t, p, clock, 1)
	// Places are held for 4 s, so one of four becomes free each second.
	_, err := p.Acquire(t.Context(), ask(clock, 0))
	refused := refusal(t, err)
	assert.Equal(t, refused.Reason, batch.ReasonBusy)
	assert.Assert(t, refused.RetryAfter >= time.Second && refused.RetryAfter < 2*time.Second, "%s", refused.RetryAfter)
}

func TestNewcomersDontWaitForLateOnes(t *testing.T) {
	// The pattern: after a stall many late requests wait, and newcomers that could
	// be on time were refused for the length of that queue, so all became late.
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	clock.Advance(200 * time.Millisecond)
	grants[0].Done(batch.Result{Verdict: batch.Served})
	fill(t, p, clock, 1)
	for i := range 12 {
		arrive(t, p, ask(clock, 2*time.Second))
		assert.NilError(t, clock.BlockUntilContext(t.Context(), i+1))
	}
	newcomer := arrive(t, p, ask(clock, 0))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 13))
	grants[1].Done(batch.Result{Verdict: batch.Served})
	assert.NilError(t, (<-newcomer).err)
}

func TestALateRequestGivesUpWhileItCanStillComeBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	clock.Advance(3 * time.Second)
	grants[0].Done(batch.Result{Verdict: batch.Served})
	fill(t, p, clock, 1)
	// 2.5 s are left and an answer takes 3 s.
	_, err := p.Acquire(t.Context(), ask(clock, timeout-2500*time.Millisecond))
	assert.Equal(t, refusal(t, err).Reason, batch.ReasonBusy)
}

func TestABrokenGroupIsNotSentTo(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, engine)
	for i := range 2 {
		p.SetRank(address(i), batch.RankState{Group: "g", Open: false})
	}
	_, err := p.Acquire(t.Context(), ask(clock, 0))
	refused := refusal(t, err)
	assert.Equal(t, refused.Reason, batch.ReasonGroupBroken)
	assert.Assert(t, refused.RetryAfter >= 1500*time.Millisecond, "ranks are away for seconds: %s", refused.RetryAfter)
	held := arrive(t, p, ask(clock, 2*time.Second))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	p.SetRank(address(0), batch.RankState{Group: "g", Open: true})
	assert.NilError(t, (<-held).err, "who came back is held until the group opens")
}

func TestAGroupThatFailsARequestCountsAsBroken(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	take(t, p, ask(clock, 0)).Done(batch.Result{Verdict: batch.Full, AtFault: "i-7"})
	_, err := p.Acquire(t.Context(), ask(clock, 0))
	assert.Equal(t, refusal(t, err).Reason, batch.ReasonGroupBroken)
	clock.Advance(time.Second)
	take(t, p, ask(clock, 0))
}

func TestHealth(t *testing.T) {
	for _, c := range []struct {
		name    string
		verdict batch.Verdict
		// away is the time for which the replica is left alone; 0 if it isn't.
		away time.Duration
	}{
		{"served", batch.Served, 0},
		{"left by its client", batch.Abandoned, 0},
		{"one error", batch.Erred, 0},
		{"full", batch.Full, 60 * time.Millisecond},
		{"unreachable", batch.Unreachable, 250 * time.Millisecond},
		{"broke off", batch.Broke, 250 * time.Millisecond},
		{"other replica at the address", batch.Misplaced, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := newPool(clock, 1, nil)
			take(t, p, ask(clock, 0)).Done(batch.Result{Verdict: c.verdict})
			if c.away > 0 {
				clock.Advance(c.away - time.Millisecond)
				_, err := p.Acquire(t.Context(), ask(clock, 0))
				assert.Equal(t, refusal(t, err).Reason, batch.ReasonNoReplica)
				clock.Advance(time.Millisecond)
			}
			take(t, p, ask(clock, 0))
		})
	}
}

func TestFailuresInARowCloseForLonger(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, nil)
	for _, away := range []time.Duration{250, 500, 1000, 2000, 4000, 4000} {
		take(t, p, ask(clock, 0)).Done(batch.Result{Verdict: batch.Broke})
		clock.Advance(away*time.Millisecond - time.Millisecond)
		_, err := p.Acquire(t.Context(), ask(clock, 0))
		refusal(t, err)
		clock.Advance(time.Millisecond)
	}
}

func TestManyErrorsCloseAReplica(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, nil)
	failed := map[track.ReplicaID]int{}
	for range 100 {
		g := take(t, p, ask(clock, 0))
		if g.Replica.ID == id(0) {
			failed[id(0)]++
			g.Done(batch.Result{Verdict: batch.Erred})
			continue
		}
		g.Done(batch.Result{Verdict: batch.Served, FirstByte: 30 * time.Millisecond})
	}
	assert.Assert(t, failed[id(0)] <= 20, "%d requests went to a replica that fails all", failed[id(0)])
}

func TestDrainingReplicasGetNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	g := take(t, p, ask(clock, 0))
	p.Update(nil)
	_, err := p.Acquire(t.Context(), ask(clock, 0))
	assert.Equal(t, refusal(t, err).Reason, batch.ReasonNoReplica)
	assert.Equal(t, p.InFlight()[id(0)].Running, 1, "what runs there goes on")
	g.Done(batch.Result{Verdict: batch.Served})
	assert.Equal(t, len(p.InFlight()), 0)
}

func TestPromptsReadAtOnceAreBounded(t *testing.T) {
	// The pattern: a surge of long prompts on one rank makes the passes of all ranks
	// of its group longer, and all streams late.
	clock := clockwork.NewFakeClock()
	wide := &track.EngineSpec{Slots: 12, MemoryTokens: 372000}
	p := newPool(clock, 1, wide)
	p.Update([]track.Replica{{ID: id(0), Service: service, Address: address(0), Slots: 12}})
	var grants []*batch.Grant
	for range 5 {
		grants = append(grants, take(t, p, ask(clock, 0)))
	}
	next := arrive(t, p, ask(clock, 0))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	grants[0].Started()
	assert.NilError(t, (<-next).err)
}

func TestASlowRankGetsNothingWhileOthersAreOpen(t *testing.T) {
	// The pattern: one rank at a fifth of its pace; each request on it makes the
	// passes of the whole group longer, and all streams late.
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, engine)
	for i := range 2 {
		p.SetRank(address(i), batch.RankState{Group: "g", Open: true, Pace: 1})
	}
	p.SetRank(address(0), batch.RankState{Group: "g", Open: true, Pace: 4.9})
	for _, g := range fill(t, p, clock, slots) {
		assert.Equal(t, g.Replica.ID, id(1))
	}
	p.SetRank(address(1), batch.RankState{Group: "g", Open: true, Pace: 3})
	assert.Equal(t, take(t, p, ask(clock, 0)).Replica.ID, id(0), "if all are slow, all serve")
}

func TestAClientThatLeavesFreesItsPlaceInTheQueue(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan error, 1)
	go func() {
		_, err := p.Acquire(ctx, ask(clock, 0))
		gone <- err
	}()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	cancel()
	assert.Equal(t, refusal(t, <-gone).Reason, batch.ReasonGone)
	grants[0].Done(batch.Result{Verdict: batch.Served})
	take(t, p, ask(clock, 0))
}

// The pattern: dozens of entries know of each other's requests with a delay, and one
// replica has become idle. If all send there, its queue is longer than any other's.
func TestOneIdleReplicaIsNotOverrun(t *testing.T) {
	const entries, listed, usual = 40, 72, 4
	clock := clockwork.NewFakeClock()
	rng := rand.New(rand.NewPCG(4, 1))
	known := make(map[track.ReplicaID]track.InFlight, listed)
	for i := range listed {
		known[id(i)] = track.InFlight{Running: usual}
	}
	known[id(7)] = track.InFlight{}
	list := replicas(listed)
	for i := range list {
		list[i].Slots = 10
	}
	sent := make(map[track.ReplicaID]int)
	for range entries {
		p := batch.New(batch.Options{
			Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(),
			Draw: rng.Float64, Entries: func() int { return entries },
		})
		p.Configure(engine)
		p.Update(list)
		p.SetOthers(known)
		for range 2 {
			sent[take(t, p, ask(clock, 0)).Replica.ID]++
		}
	}
	for replica, n := range sent {
		total := known[replica].Running + n
		assert.Assert(t, total <= 10, "%s has %d requests for 10 places", replica, total)
	}
	assert.Assert(t, sent[id(7)] >= 1, "but it is preferred")
}

// The pattern: one of two groups has a slow rank, and its passes take three times as
// long. What runs there is served later, and lasts longer.
func TestASlowGroupGetsLess(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 4, engine)
	list := replicas(4)
	for i := range list {
		list[i].Zone = "rivera"
	}
	p.Update(list)
	for i := range 4 {
		state := batch.RankState{Group: "quick", Open: true, Pace: 1, Pass: 60 * time.Millisecond}
		if i >= 2 {
			state.Group, state.Pass = "slow", 180*time.Millisecond
		}
		p.SetRank(address(i), state)
	}
	sent := map[string]int{}
	for range 8 {
		g := take(t, p, ask(clock, 0))
		g.Started()
		group := "quick"
		if g.Replica.ID == id(2) || g.Replica.ID == id(3) {
			group = "slow"
		}
		sent[group]++
	}
	assert.DeepEqual(t, sent, map[string]int{"quick": 6, "slow": 2})
	assert.DeepEqual(t, p.Window(), batch.Window{Places: 16, Taken: 8})
}

// The pattern: what crosses zones is dear, and all replicas have about as much to do.
func TestTheOwnZoneIsPreferredUntilItIsBusier(t *testing.T) {
	clock := clockwork.NewFakeClock()
	list := replicas(12)
	for i := range list {
		list[i].Slots = 20
		if i >= 4 {
			list[i].Zone = "artigas"
		}
	}
	rng := rand.New(rand.NewPCG(5, 1))
	p := batch.New(batch.Options{
		Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(),
		Draw: rng.Float64, Entries: func() int { return 1 },
	})
	p.Configure(engine)
	p.Update(list)
	// Others fill what this entry sends elsewhere, so that all replicas are even.
	others := make(map[track.ReplicaID]track.InFlight)
	near := 0
	for range 24 {
		g := take(t, p, ask(clock, 0))
		if g.Replica.Zone == "rivera" {
			near++
		}
		for _, r := range list {
			others[r.ID] = track.InFlight{Running: 3}
		}
		g.Done(batch.Result{Verdict: batch.Served})
		p.SetOthers(others)
	}
	assert.Assert(t, near >= 20, "%d of 24 stay in the zone", near)
	for _, r := range list[:4] {
		others[r.ID] = track.InFlight{Running: 5}
	}
	p.SetOthers(others)
	g := take(t, p, ask(clock, 0))
	assert.Equal(t, g.Replica.Zone, track.AvailabilityZone("artigas"), "two more requests there outweigh the way")
}
