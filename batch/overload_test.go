package batch_test

import (
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
	overloadStep     = 10 * time.Millisecond
	overloadRunTime  = 1200 * time.Millisecond
	overloadEntries  = 14
	overloadReplicas = 36
	overloadSlots    = 10
)

// overload plays entries that share the replicas of a service and know of each other's requests late. A replica
// runs as many requests as it has slots; further ones wait there, in the order of their arrival.
type overload struct {
	clock   *clockwork.FakeClock
	rng     *rand.Rand
	pools   []*batch.Pool
	engines map[track.ReplicaID]*fakeEngine
	// history holds the requests in flight of each entry in each of the latest steps.
	history [][]map[track.ReplicaID]track.InFlight
	waiting []*overloadRequest
	worst   int
}

type overloadRequest struct {
	entry     int
	account   string
	arrivedAt time.Time
	wait      *batch.Wait
	grant     *batch.Grant
	endAt     time.Time
}

type fakeEngine struct {
	running []*overloadRequest
	queued  []*overloadRequest
}

func newOverload(seed uint64) *overload {
	o := &overload{
		clock: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(seed, 43)), engines: make(map[track.ReplicaID]*fakeEngine),
	}
	zones := []track.AvailabilityZone{"a", "b", "c"}
	var list []track.Replica
	for i := range overloadReplicas {
		list = append(list, track.Replica{ID: id(i), Service: service, Zone: zones[i%len(zones)], Slots: overloadSlots})
		o.engines[id(i)] = &fakeEngine{}
	}
	for entry := range overloadEntries {
		p := batch.New(batch.Options{
			Service: service, Zone: zones[entry%len(zones)], Clock: o.clock, Logger: zap.NewNop(), Random: o.rng.Float64,
			Signs: signs.New(o.clock, zap.NewNop()), Entries: func() int { return overloadEntries },
		})
		p.Configure(&track.EngineSpec{Slots: overloadSlots, MemoryTokens: 400000})
		p.SetShare(shareByZone(entry, overloadEntries, zones))
		p.Update(list)
		o.pools = append(o.pools, p)
	}
	return o
}

// play plays requests that arrive at a rate for some time, and returns the share of each account that began to run
// on time.
func (o *overload) play(perSecond float64, length time.Duration, account func() string) map[string]float64 {
	asked, onTime := make(map[string]float64), make(map[string]float64)
	for range int(length / overloadStep) {
		o.clock.Advance(overloadStep)
		o.exchangeCounts()
		for n := o.arrivals(perSecond); n > 0; n-- {
			r := &overloadRequest{entry: o.rng.IntN(overloadEntries), account: account(), arrivedAt: o.clock.Now()}
			asked[r.account]++
			ask := newAsk(o.clock, 0)
			ask.Account, ask.Tokens = r.account, 1000
			wait, grant, err := o.pools[r.entry].Admit(ask)
			r.wait = wait
			switch {
			case err != nil:
			case grant != nil:
				o.send(r, grant)
			default:
				o.waiting = append(o.waiting, r)
			}
		}
		o.collectWaiting()
		for _, r := range o.runEngines() {
			if o.clock.Now().Sub(r.arrivedAt) <= objective {
				onTime[r.account]++
			}
		}
	}
	for name := range asked {
		onTime[name] /= asked[name]
	}
	return onTime
}

// arrivals returns the number of requests in a step, which has the given mean rate.
func (o *overload) arrivals(perSecond float64) int {
	mean := perSecond * overloadStep.Seconds()
	n := int(mean)
	if o.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// exchangeCounts gives each entry the counts of the others of 250 ms ago.
func (o *overload) exchangeCounts() {
	counts := make([]map[track.ReplicaID]track.InFlight, overloadEntries)
	for i, p := range o.pools {
		counts[i] = p.InFlight()
	}
	o.history = append(o.history, counts)
	old := o.history[max(len(o.history)-25, 0)]
	for i, p := range o.pools {
		others := make(map[track.ReplicaID]track.InFlight)
		for j := range o.pools {
			for replica, n := range old[j] {
				if i != j {
					others[replica] = others[replica].Add(n)
				}
			}
		}
		p.SetOtherInFlight(others)
	}
}

func (o *overload) send(r *overloadRequest, grant *batch.Grant) {
	r.grant = grant
	engine := o.engines[grant.Replica.ID]
	engine.queued = append(engine.queued, r)
	o.worst = max(o.worst, len(engine.running)+len(engine.queued))
}

// collectWaiting sends the queued requests that have been granted a replica.
func (o *overload) collectWaiting() {
	waiting := o.waiting
	o.waiting = nil
	for _, r := range waiting {
		grant, err := r.wait.Result()
		switch {
		case grant != nil:
			o.send(r, grant)
		case err == nil:
			o.waiting = append(o.waiting, r)
		}
	}
}

// runEngines ends requests that have run for overloadRunTime and starts others. It returns those that have
// started.
func (o *overload) runEngines() []*overloadRequest {
	now := o.clock.Now()
	var started []*overloadRequest
	for i := range overloadReplicas {
		engine := o.engines[id(i)]
		var running []*overloadRequest
		for _, r := range engine.running {
			if r.endAt.After(now) {
				running = append(running, r)
				continue
			}
			r.grant.Done(batch.Result{Verdict: batch.Served})
		}
		for len(engine.queued) > 0 && len(running) < overloadSlots {
			r := engine.queued[0]
			engine.queued = engine.queued[1:]
			r.endAt = now.Add(time.Duration((0.5 + o.rng.Float64()) * float64(overloadRunTime)))
			r.grant.Started()
			running, started = append(running, r), append(started, r)
		}
		engine.running = running
	}
	return started
}

func oneAccount() string { return "" }

// capacity is the number of requests a second that all replicas can run.
const capacity = overloadReplicas * overloadSlots / 1.2

// Entries that send at the same time overfill replicas, since they know of each other's requests late. The
// requests then wait inside the engines, where no entry can reorder or refuse them, and answers stay late long
// after the load has gone back.
func TestServiceIsOnTimeAgainAfterOverload(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			o := newOverload(seed)
			usual := o.play(0.6*capacity, 4*time.Second, oneAccount)[""]
			overloaded := o.play(1.8*capacity, 6*time.Second, oneAccount)[""]
			o.play(0.6*capacity, 2*time.Second, oneAccount)
			after := o.play(0.6*capacity, 2*time.Second, oneAccount)[""]
			assert.Assert(t, usual >= 0.95 && after >= 0.95, "%.2f on time before, %.2f from 2 s after it", usual, after)
			// 1 of 1.8 requests could be served on time.
			assert.Assert(t, overloaded >= 0.8/1.8, "%.2f on time under overload", overloaded)
			assert.Assert(t, o.worst <= overloadSlots+3, "a replica had %d requests", o.worst)
		})
	}
}

// One account asks for three times what all replicas can serve. Another one, which asks for a tenth, must not
// notice.
func TestPressingAccountTakesNothingFromOthers(t *testing.T) {
	o := newOverload(1)
	share := o.play(3.1*capacity, 6*time.Second, func() string {
		if o.rng.Float64() < 0.1/3.1 {
			return "small"
		}
		return "pressing"
	})
	assert.Assert(t, share["small"] >= 0.9, "%.2f of the small account's requests on time, %.2f of the pressing one's",
		share["small"], share["pressing"])
}

// An entry with little demand has a share that is smaller than a slot. Its estimate of the other entries' demand,
// taken from its own demand and that share, is far too high at its first request, which must not be refused while
// all replicas are idle.
func TestEntryWithoutOwnSlotUsesIdleReplicas(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := batch.New(batch.Options{
		Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(), Random: func() float64 { return 0.5 },
		Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return 98 },
	})
	p.Configure(engine)
	p.Update(replicas(10))
	p.SetShare(permit.Share{From: 0.5, Width: 0.0017})
	clock.Advance(time.Minute)
	assert.Equal(t, p.SlotUse().Owned, 0)
	for range 3 {
		_, grant, err := p.Admit(newAsk(clock, 0))
		assert.NilError(t, err)
		assert.Assert(t, grant != nil, "the request waits though all replicas are idle")
		grant.Done(batch.Result{Verdict: batch.Served, FirstByte: 100 * time.Millisecond})
		clock.Advance(10 * time.Second)
	}
}

// Under overload, hundreds of requests wait for 250 replicas, and the queue is looked through at each end of a request.
// A look at all replicas for each of them would take most of the CPU time.
func TestFullReplicasAreNotLookedThroughForEachWaitingRequest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	collections := 0
	p := batch.New(batch.Options{
		Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(), Random: func() float64 { return 0.5 },
		// Each collection of candidates asks for the number of entries.
		Signs: signs.New(clock, zap.NewNop()), Entries: func() int { collections++; return 2 * slots },
	})
	p.Configure(engine)
	p.Update(replicas(3))
	p.SetShare(permit.Share{Width: 1})
	grants := fill(t, p, clock, 3*slots)
	const waiting = 100
	var waits []*batch.Wait
	for range waiting {
		ask := newAsk(clock, 0)
		if len(waits)%2 == 1 {
			ask.Excluded = []track.ReplicaID{id(0)}
		}
		wait, _, err := p.Admit(ask)
		assert.NilError(t, err)
		waits = append(waits, wait)
	}
	collections = 0
	p.SetOtherInFlight(nil)
	assert.Assert(t, collections < waiting/5, "looked through %d times", collections)
	for _, g := range grants {
		g.Done(batch.Result{Verdict: batch.Canceled})
	}
	granted := 0
	for _, w := range waits {
		if g, err := w.Result(); err == nil && g != nil {
			granted++
		}
	}
	assert.Assert(t, granted > 0, "no waiting request was granted a replica that became free")
}

// Replicas that report no slots get as many requests as is assumed for them. If no entry owned these slots, all entries
// would only lend them from each other, and leave them empty under overload.
func TestAssumedSlotsHaveOwners(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := batch.New(batch.Options{
		Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(), Random: func() float64 { return 0.5 },
		Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return 98 },
	})
	p.Configure(engine)
	list := replicas(10)
	for i := range list {
		list[i].Slots = 0
	}
	p.Update(list)
	p.SetShare(permit.Share{Width: 0.2})
	mustAcquire(t, p, newAsk(clock, 0))
	const assumedSlots = 4
	assert.Equal(t, p.SlotUse().Owned, assumedSlots*len(list)/5)
	assert.Equal(t, p.SlotUse().LentRequests, uint64(0), "the request used a slot of another entry")
}
