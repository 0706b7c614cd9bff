package batch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
)

// Guards against second sends that take capacity from first ones: none is granted from 0.8 of the capacity on, though
// replicas have free slots.
func TestTryAcquireLeavesRoomForFirstAttempts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, nil)
	const capacity = 2 * 2 * slots
	p.SetOtherInFlight(map[track.ReplicaID]track.InFlight{id(0): {Running: 6}, id(1): {Running: 6}})
	g, reason := p.TryAcquire(newAsk(clock, 0), id(0))
	assert.Equal(t, reason, batch.Reason(""), "12 of %d are used", capacity)
	assert.Equal(t, g.Replica.ID, id(1))
	_, reason = p.TryAcquire(newAsk(clock, 0), id(0))
	assert.Equal(t, reason, batch.ReasonShortOfRoom, "13 of %d are used", capacity)
	g.Done(batch.Result{Verdict: batch.Canceled})
	assert.Equal(t, p.Usage().InFlight, 12, "a canceled grant is given back")
}

// Guards against a second send on a full replica, and one that would be queued.
func TestTryAcquireDoesNotQueue(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 3, nil)
	p.SetOtherInFlight(map[track.ReplicaID]track.InFlight{id(1): {Running: 8}, id(2): {Running: 8}})
	_, reason := p.TryAcquire(newAsk(clock, 0), id(0))
	assert.Equal(t, reason, batch.ReasonShortOfRoom)
	assert.Equal(t, p.Usage().Queued, 0)
}

// Guards against second sends while requests are queued, though they could be sent.
func TestTryAcquireGrantsNothingWhileRequestsAreQueued(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 3, nil)
	// The queued request is excluded from all replicas with room.
	p.SetOtherInFlight(map[track.ReplicaID]track.InFlight{id(2): {Running: 8}})
	ask := newAsk(clock, 0)
	ask.Excluded = []track.ReplicaID{id(0), id(1)}
	waiting := acquireAsync(t, p, ask)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	_, reason := p.TryAcquire(newAsk(clock, 0), id(0))
	assert.Equal(t, reason, batch.ReasonShortOfRoom)
	p.SetOtherInFlight(nil)
	assert.NilError(t, (<-waiting).err)
}

// Guards against a second send to the same replica, a replica that has failed the request, or one that gets none.
func TestTryAcquireNeedsAnotherReplica(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, nil)
	_, reason := p.TryAcquire(newAsk(clock, 0), id(0))
	assert.Equal(t, reason, batch.ReasonNoOtherReplica)
	p = newPool(clock, 2, nil)
	ask := newAsk(clock, 0)
	ask.Excluded = []track.ReplicaID{id(1)}
	_, reason = p.TryAcquire(ask, id(0))
	assert.Equal(t, reason, batch.ReasonNoOtherReplica)
	mustAcquire(t, p, newAsk(clock, 0)).Done(batch.Result{Verdict: batch.Unreachable})
	_, reason = p.TryAcquire(newAsk(clock, 0), id(1))
	assert.Equal(t, reason, batch.ReasonNoOtherReplica, "the other replica is backing off")
}

// Guards against a second send to a rank that waits for the passes of the same group, which costs a slot and wins
// nothing.
func TestTryAcquireLeavesTheRankGroup(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 3, engine)
	_, reason := p.TryAcquire(newAsk(clock, 0), id(0))
	assert.Equal(t, reason, batch.ReasonSameGroup, "groups that aren't known may be the same")
	for i := range 3 {
		p.SetRank(address(i), batch.RankState{Group: "g1", Working: true, Slowdown: 1})
	}
	_, reason = p.TryAcquire(newAsk(clock, 0), id(0))
	assert.Equal(t, reason, batch.ReasonSameGroup)
	p.SetRank(address(2), batch.RankState{Group: "g2", Working: true, Slowdown: 1})
	g, reason := p.TryAcquire(newAsk(clock, 0), id(0))
	assert.Equal(t, reason, batch.Reason(""))
	assert.Equal(t, g.Replica.ID, id(2))
}

// Guards against hedges on too little evidence.
func TestSlowFirstByteNeedsSamples(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, nil)
	serve := func(r batch.Result) { mustAcquire(t, p, newAsk(clock, 0)).Done(r) }
	for range 63 {
		serve(batch.Result{Verdict: batch.Served, FirstByte: time.Millisecond})
	}
	serve(batch.Result{Verdict: batch.Canceled})
	assert.Equal(t, p.SlowFirstByte(), time.Duration(0))
	serve(batch.Result{Verdict: batch.Served, FirstByte: time.Millisecond})
	assert.Equal(t, p.SlowFirstByte(), 10*time.Millisecond)
}

// Guards against a bound that falls with each hedge, until nearly every request counts as slow, because the attempts that
// lost are missing from the samples. Attempts take 100 to 900 ms; hedges take 20 ms.
func TestSlowFirstByteCountsLosers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, nil)
	serve := func(r batch.Result) { mustAcquire(t, p, newAsk(clock, 0)).Done(r) }
	const requests, hedgeTime = 5000, 20 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	hedges := 0
	for range requests {
		first := 100*time.Millisecond + time.Duration(rng.Int64N(int64(800*time.Millisecond)))
		slow := p.SlowFirstByte()
		if slow == 0 || first < slow+hedgeTime {
			serve(batch.Result{Verdict: batch.Served, FirstByte: first})
			continue
		}
		hedges++
		serve(batch.Result{Verdict: batch.Canceled, FirstByte: slow + hedgeTime})
		serve(batch.Result{Verdict: batch.Served, FirstByte: hedgeTime})
	}
	t.Logf("%d hedges won for %d requests", hedges, requests)
	assert.Assert(t, hedges > 0 && hedges <= requests/10, "%d hedges", hedges)
}
