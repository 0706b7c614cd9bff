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
	"filberttrack.example/track/permit"
	"filberttrack.example/track/signs"
)

const (
	service   = "dispatch-llm"
	slots     = 4
	objective = 400 * time.Millisecond
	timeout   = 8 * time.Second
)

var engine = &track.EngineSpec{Slots: slots, MemoryTokens: 372000, GroupRecoveryTime: 600 * time.Millisecond}

// newPool returns a pool of n replicas. All are in zone rivera, except that the last of several is in artigas.
func newPool(clock clockwork.Clock, n int, spec *track.EngineSpec) *batch.Pool {
	p := batch.New(batch.Options{
		Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(),
		Random: func() float64 { return 0.5 }, Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return 1 },
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

// newAsk returns a request that arrives now; age is the time since its client first sent it.
func newAsk(clock clockwork.Clock, age time.Duration) batch.AdmissionRequest {
	now := clock.Now()
	due := now.Add(objective/2 - age)
	until := due
	if !due.After(now) {
		until = now.Add((timeout - age) / 3)
	}
	return batch.AdmissionRequest{OnTimeUntil: due, WaitUntil: until, Deadline: now.Add(timeout - age)}
}

// mustAcquire returns the grant of a request that must be admitted at once.
func mustAcquire(t *testing.T, p *batch.Pool, a batch.AdmissionRequest) *batch.Grant {
	t.Helper()
	g, err := p.Acquire(t.Context(), a)
	assert.NilError(t, err)
	return g
}

// fill acquires n grants and marks their requests as started.
func fill(t *testing.T, p *batch.Pool, clock clockwork.Clock, n int) []*batch.Grant {
	t.Helper()
	var grants []*batch.Grant
	for range n {
		g := mustAcquire(t, p, newAsk(clock, 0))
		g.Started()
		grants = append(grants, g)
	}
	return grants
}

// asRefusal returns the *batch.RefusalError that err must be.
func asRefusal(t *testing.T, err error) *batch.RefusalError {
	t.Helper()
	var refused *batch.RefusalError
	assert.Assert(t, errors.As(err, &refused), "got %v", err)
	return refused
}

func TestSpreadsLoadAndPrefersLocalZone(t *testing.T) {
	p := newPool(clockwork.NewFakeClock(), 3, engine)
	count := map[track.ReplicaID]int{}
	for range 2 {
		g := mustAcquire(t, p, batch.AdmissionRequest{})
		assert.Equal(t, g.Replica.Zone, track.AvailabilityZone("rivera"))
		count[g.Replica.ID]++
	}
	assert.Equal(t, len(count), 2, "each replica of the local zone gets one request")
	assert.Equal(t, mustAcquire(t, p, batch.AdmissionRequest{}).Replica.ID, id(2),
		"an idle replica of another zone comes before a second request on a local one")
}

func TestRequestsOfOtherEntriesCountTowardsLimit(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	p.SetOtherInFlight(map[track.ReplicaID]track.InFlight{id(0): {Running: slots - 1}})
	mustAcquire(t, p, newAsk(clock, 0))
	waiting := acquireAsync(t, p, newAsk(clock, 0))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	p.SetOtherInFlight(nil)
	assert.NilError(t, (<-waiting).err)
}

// acquireResult holds what Acquire returned.
type acquireResult struct {
	grant *batch.Grant
	err   error
}

// acquireAsync calls Acquire on another goroutine.
func acquireAsync(t *testing.T, p *batch.Pool, a batch.AdmissionRequest) <-chan acquireResult {
	out := make(chan acquireResult, 1)
	go func() {
		g, err := p.Acquire(t.Context(), a)
		out <- acquireResult{g, err}
	}()
	return out
}

func TestQueueOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	late := newAsk(clock, 2*time.Second)
	late.RequestID = "late"
	onTime := newAsk(clock, 0)
	onTime.RequestID = "on time"
	urgent := newAsk(clock, 2*time.Second)
	urgent.RequestID, urgent.Priority = "urgent", -1
	got := map[track.RequestID]<-chan acquireResult{}
	for i, a := range []batch.AdmissionRequest{late, onTime, urgent} {
		got[a.RequestID] = acquireAsync(t, p, a)
		assert.NilError(t, clock.BlockUntilContext(t.Context(), i+1))
	}
	for _, name := range []track.RequestID{"urgent", "on time", "late"} {
		grants[0].Done(batch.Result{Verdict: batch.Served})
		grants = grants[1:]
		r := <-got[name]
		assert.NilError(t, r.err, "%s request is admitted next", name)
	}
}

func TestRefusesAtOnceIfExpectedWaitIsTooLong(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	clock.Advance(4 * time.Second)
	grants[0].Done(batch.Result{Verdict: batch.Served})
	fill(t, p, clock, 1)
	// A request takes 4 s, so one of the four slots becomes free each second.
	_, err := p.Acquire(t.Context(), newAsk(clock, 0))
	refused := asRefusal(t, err)
	assert.Equal(t, refused.Reason, batch.ReasonBusy)
	assert.Assert(t, refused.RetryAfter >= time.Second && refused.RetryAfter < 2*time.Second, "%s", refused.RetryAfter)
}

func TestOnTimeRequestsPassLateOnes(t *testing.T) {
	// After a stall, many late requests are queued. If new requests that could still be on time were refused
	// because of that queue, all requests would become late.
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	clock.Advance(200 * time.Millisecond)
	grants[0].Done(batch.Result{Verdict: batch.Served})
	fill(t, p, clock, 1)
	for i := range 12 {
		acquireAsync(t, p, newAsk(clock, 2*time.Second))
		assert.NilError(t, clock.BlockUntilContext(t.Context(), i+1))
	}
	newRequest := acquireAsync(t, p, newAsk(clock, 0))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 13))
	grants[1].Done(batch.Result{Verdict: batch.Served})
	assert.NilError(t, (<-newRequest).err)
}

func TestRefusesLateRequestThatWouldMissItsDeadline(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	clock.Advance(3 * time.Second)
	grants[0].Done(batch.Result{Verdict: batch.Served})
	fill(t, p, clock, 1)
	// The client waits for another 2.5 s, and an answer takes 3 s. A refusal leaves it time to retry.
	_, err := p.Acquire(t.Context(), newAsk(clock, timeout-2500*time.Millisecond))
	assert.Equal(t, asRefusal(t, err).Reason, batch.ReasonBusy)
}

func TestBrokenGroupGetsNoRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, engine)
	for i := range 2 {
		p.SetRank(address(i), batch.RankState{Group: "g", Working: false})
	}
	_, err := p.Acquire(t.Context(), newAsk(clock, 0))
	refused := asRefusal(t, err)
	assert.Equal(t, refused.Reason, batch.ReasonGroupBroken)
	assert.Assert(t, refused.RetryAfter >= 1500*time.Millisecond,
		"a failed rank is back only after seconds, got %s", refused.RetryAfter)
	waiting := acquireAsync(t, p, newAsk(clock, 2*time.Second))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	p.SetRank(address(0), batch.RankState{Group: "g", Working: true})
	assert.NilError(t, (<-waiting).err, "a late request is queued until the group works again")
}

func TestGroupIsBrokenAfterFailureWithReplicaAtFault(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	mustAcquire(t, p, newAsk(clock, 0)).Done(batch.Result{Verdict: batch.AtCapacity, AtFault: "i-7"})
	_, err := p.Acquire(t.Context(), newAsk(clock, 0))
	assert.Equal(t, asRefusal(t, err).Reason, batch.ReasonGroupBroken)
	clock.Advance(time.Second)
	mustAcquire(t, p, newAsk(clock, 0))
}

func TestBackoffByVerdict(t *testing.T) {
	for _, c := range []struct {
		name    string
		verdict batch.Verdict
		// backoff is the time for which the replica gets no requests; 0 if it gets the next one.
		backoff time.Duration
	}{
		{"served", batch.Served, 0},
		{"client left", batch.Canceled, 0},
		{"one error", batch.Failed, 0},
		{"full", batch.AtCapacity, 60 * time.Millisecond},
		{"unreachable", batch.Unreachable, 250 * time.Millisecond},
		{"answer broke off", batch.Interrupted, 250 * time.Millisecond},
		{"another replica has the address", batch.WrongReplica, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := newPool(clock, 1, nil)
			mustAcquire(t, p, newAsk(clock, 0)).Done(batch.Result{Verdict: c.verdict})
			if c.backoff > 0 {
				clock.Advance(c.backoff - time.Millisecond)
				_, err := p.Acquire(t.Context(), newAsk(clock, 0))
				assert.Equal(t, asRefusal(t, err).Reason, batch.ReasonNoReplica)
				clock.Advance(time.Millisecond)
			}
			mustAcquire(t, p, newAsk(clock, 0))
		})
	}
}

func TestBackoffDoublesWithConsecutiveFailures(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, nil)
	for _, backoff := range []time.Duration{250, 500, 1000, 2000, 4000, 4000} {
		mustAcquire(t, p, newAsk(clock, 0)).Done(batch.Result{Verdict: batch.Interrupted})
		clock.Advance(backoff*time.Millisecond - time.Millisecond)
		_, err := p.Acquire(t.Context(), newAsk(clock, 0))
		asRefusal(t, err)
		clock.Advance(time.Millisecond)
	}
}

func TestHighErrorRateBacksOffReplica(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, nil)
	failed := map[track.ReplicaID]int{}
	for range 100 {
		g := mustAcquire(t, p, newAsk(clock, 0))
		if g.Replica.ID == id(0) {
			failed[id(0)]++
			g.Done(batch.Result{Verdict: batch.Failed})
			continue
		}
		g.Done(batch.Result{Verdict: batch.Served, FirstByte: 30 * time.Millisecond})
	}
	assert.Assert(t, failed[id(0)] <= 20, "%d requests went to a replica that fails all of them", failed[id(0)])
}

func TestRemovedReplicaGetsNoNewRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	g := mustAcquire(t, p, newAsk(clock, 0))
	p.Update(nil)
	_, err := p.Acquire(t.Context(), newAsk(clock, 0))
	assert.Equal(t, asRefusal(t, err).Reason, batch.ReasonNoReplica)
	assert.Equal(t, p.InFlight()[id(0)].Running, 1, "its running request continues")
	g.Done(batch.Result{Verdict: batch.Served})
	assert.Equal(t, len(p.InFlight()), 0)
}

func TestLimitsStartingRequests(t *testing.T) {
	// Many long prompts at once on one rank make the passes of all ranks of its group longer, which delays all
	// streams.
	clock := clockwork.NewFakeClock()
	wide := &track.EngineSpec{Slots: 12, MemoryTokens: 372000}
	p := newPool(clock, 1, wide)
	p.Update([]track.Replica{{ID: id(0), Service: service, Address: address(0), Slots: 12}})
	var grants []*batch.Grant
	for range 5 {
		grants = append(grants, mustAcquire(t, p, newAsk(clock, 0)))
	}
	next := acquireAsync(t, p, newAsk(clock, 0))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	grants[0].Started()
	assert.NilError(t, (<-next).err)
}

func TestSlowRankGetsNoRequestsWhileOthersAreAvailable(t *testing.T) {
	// One rank runs at a fifth of its usual speed. Each request on it makes the passes of the whole group longer,
	// which delays all streams.
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, engine)
	for i := range 2 {
		p.SetRank(address(i), batch.RankState{Group: "g", Working: true, Slowdown: 1})
	}
	p.SetRank(address(0), batch.RankState{Group: "g", Working: true, Slowdown: 4.9})
	for _, g := range fill(t, p, clock, slots) {
		assert.Equal(t, g.Replica.ID, id(1))
	}
	p.SetRank(address(1), batch.RankState{Group: "g", Working: true, Slowdown: 3})
	assert.Equal(t, mustAcquire(t, p, newAsk(clock, 0)).Replica.ID, id(0), "if all ranks are slow, all get requests")
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	grants := fill(t, p, clock, slots)
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan error, 1)
	go func() {
		_, err := p.Acquire(ctx, newAsk(clock, 0))
		gone <- err
	}()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	cancel()
	assert.Equal(t, asRefusal(t, <-gone).Reason, batch.ReasonClientGone)
	grants[0].Done(batch.Result{Verdict: batch.Served})
	mustAcquire(t, p, newAsk(clock, 0))
}

// Dozens of entries learn of each other's requests with a delay, and one replica has become idle. If all entries send
// to it, its queue becomes longer than any other's.
func TestIdleReplicaIsNotOverloaded(t *testing.T) {
	const entries, replicaCount, usualLoad = 40, 72, 4
	clock := clockwork.NewFakeClock()
	rng := rand.New(rand.NewPCG(4, 1))
	known := make(map[track.ReplicaID]track.InFlight, replicaCount)
	for i := range replicaCount {
		known[id(i)] = track.InFlight{Running: usualLoad}
	}
	known[id(7)] = track.InFlight{}
	list := replicas(replicaCount)
	for i := range list {
		list[i].Slots = 10
	}
	sent := make(map[track.ReplicaID]int)
	for range entries {
		p := batch.New(batch.Options{
			Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(),
			Random: rng.Float64, Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return entries },
		})
		p.Configure(engine)
		p.Update(list)
		p.SetOtherInFlight(known)
		for range 2 {
			sent[mustAcquire(t, p, newAsk(clock, 0)).Replica.ID]++
		}
	}
	for replica, n := range sent {
		total := known[replica].Running + n
		assert.Assert(t, total <= 10, "%s has %d requests for 10 slots", replica, total)
	}
	assert.Assert(t, sent[id(7)] >= 1, "the idle replica gets requests")
}

// Many empty replicas join at once (scale-out), while those that are known are two thirds full: the large site's 98 entries and
// 522 requests a second. Entries learn of each other's requests after 0.2 s, in which each of them gets one. The empty ones
// take over what arrives, and no replica gets more than it has slots or reads many prompts at a time.
func TestEmptyReplicasThatJoinAreFilledEvenly(t *testing.T) {
	const (
		entries, known, joined = 98, 192, 58
		slots, usualLoad       = 6, 4
		maxPrompts             = 5
	)
	zones := []track.AvailabilityZone{"rivera", "tacuarembo", "artigas", "cerro-largo", "salto"}
	list := replicas(known + joined)
	load := make(map[track.ReplicaID]track.InFlight, known)
	for i := range list {
		list[i].Slots, list[i].Zone = slots, zones[i%len(zones)]
		if i < known {
			load[id(i)] = track.InFlight{Running: usualLoad}
		}
	}
	clock := clockwork.NewFakeClock()
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 23))
		sent, toJoined := make(map[track.ReplicaID]int), 0
		for entry := range entries {
			p := batch.New(batch.Options{
				Service: service, Zone: zones[entry%len(zones)], Clock: clock, Logger: zap.NewNop(),
				Random: rng.Float64, Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return entries },
			})
			p.Configure(engine)
			p.SetShare(shareByZone(entry, entries, zones))
			p.Update(list[:known])
			p.SetOtherInFlight(load)
			p.Update(list)
			sent[mustAcquire(t, p, newAsk(clock, 0)).Replica.ID]++
		}
		for i := range list {
			n := sent[id(i)]
			assert.Assert(t, load[id(i)].Running+n <= slots, "seed %d: replica %d has %d requests", seed, i, load[id(i)].Running+n)
			if i >= known {
				assert.Assert(t, n <= maxPrompts, "seed %d: replica %d reads %d prompts", seed, i, n)
				toJoined += n
			}
		}
		assert.Assert(t, 2*toJoined >= entries, "seed %d: %d of %d requests went to replicas that joined", seed, toJoined, entries)
	}
}

// shareByZone returns the share of an entry, of those that are dealt out to the zones in turn and have equal
// demand. Entries set such shares, in the order of zones by name, from what they know of each other's demand.
func shareByZone(entry, entries int, zones []track.AvailabilityZone) permit.Share {
	before := entry / len(zones)
	for i, zone := range zones {
		if zone < zones[entry%len(zones)] {
			before += (entries - i + len(zones) - 1) / len(zones)
		}
	}
	return permit.Share{From: float64(before) / float64(entries), Width: 1 / float64(entries)}
}

// One of two groups has a slow rank, and its passes take three times as long. Requests there are answered later and run
// longer.
func TestSlowGroupGetsFewerRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 4, engine)
	list := replicas(4)
	for i := range list {
		list[i].Zone = "rivera"
	}
	p.Update(list)
	for i := range 4 {
		state := batch.RankState{Group: "quick", Working: true, Slowdown: 1, PassDuration: 60 * time.Millisecond}
		if i >= 2 {
			state.Group, state.PassDuration = "slow", 180*time.Millisecond
		}
		p.SetRank(address(i), state)
	}
	sentByGroup := map[string]int{}
	for range 8 {
		g := mustAcquire(t, p, newAsk(clock, 0))
		g.Started()
		group := "quick"
		if g.Replica.ID == id(2) || g.Replica.ID == id(3) {
			group = "slow"
		}
		sentByGroup[group]++
	}
	assert.DeepEqual(t, sentByGroup, map[string]int{"quick": 6, "slow": 2})
	assert.DeepEqual(t, p.Usage(), batch.Usage{Capacity: 16, InFlight: 8})
}

// Traffic between zones is expensive, and all replicas are about equally loaded.
func TestPrefersLocalZoneUntilItIsBusier(t *testing.T) {
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
		Random: rng.Float64, Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return 1 },
	})
	p.Configure(engine)
	p.Update(list)
	// Other entries fill up the replicas, so that all have the same load.
	others := make(map[track.ReplicaID]track.InFlight)
	local := 0
	for range 24 {
		g := mustAcquire(t, p, newAsk(clock, 0))
		if g.Replica.Zone == "rivera" {
			local++
		}
		for _, r := range list {
			others[r.ID] = track.InFlight{Running: 3}
		}
		g.Done(batch.Result{Verdict: batch.Served})
		p.SetOtherInFlight(others)
	}
	assert.Assert(t, local >= 20, "%d of 24 requests stay in the local zone", local)
	for _, r := range list[:4] {
		others[r.ID] = track.InFlight{Running: 5}
	}
	p.SetOtherInFlight(others)
	g := mustAcquire(t, p, newAsk(clock, 0))
	assert.Equal(t, g.Replica.Zone, track.AvailabilityZone("artigas"),
		"two more requests on each local replica outweigh the cost of the other zone")
}
