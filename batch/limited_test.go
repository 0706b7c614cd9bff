package batch_test

import (
	"context"
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

// named is the limit that the limited replicas of these tests name, in requests a second.
const named = 2.0

// maxArrivals returns the most requests that a limited replica may get within 4 s: one and a half times what its limit
// allows, and 5.
func maxArrivals(limit float64) int { return int(1.5*4*limit + 5) }

// fleetOfEntries is a number of entries that share replicas, some of which name a limit.
type fleetOfEntries struct {
	clock   *clockwork.FakeClock
	rng     *rand.Rand
	pools   []*batch.Pool
	books   []*signs.Book
	limited map[track.ReplicaID]bool
	// arrivals holds the times at which requests reached each replica.
	arrivals map[track.ReplicaID][]time.Time
	// ends holds the grants by the step in which they end.
	ends           map[int][]*batch.Grant
	step           int
	served, denied int
}

func newFleetOfEntries(entries, replicaCount, limitedCount int, spec *track.EngineSpec) *fleetOfEntries {
	f := &fleetOfEntries{
		clock: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(29, 1)), limited: make(map[track.ReplicaID]bool),
		arrivals: make(map[track.ReplicaID][]time.Time), ends: make(map[int][]*batch.Grant),
	}
	for i := range limitedCount {
		f.limited[id(i)] = true
	}
	for i := range entries {
		book := signs.New(f.clock, zap.NewNop())
		f.books = append(f.books, book)
		p := batch.New(batch.Options{
			Service: service, Zone: "rivera", Clock: f.clock, Logger: zap.NewNop(), Random: f.rng.Float64,
			Entries: func() int { return entries }, Signs: book,
		})
		p.Configure(spec)
		p.Update(replicas(replicaCount))
		p.SetShare(permit.Share{From: float64(i) / float64(entries), Width: 1 / float64(entries)})
		f.pools = append(f.pools, p)
	}
	return f
}

const fleetStep = 50 * time.Millisecond

// send sends a request through an entry. It is served for 1.2 s or refused at once.
func (f *fleetOfEntries) send(entry int) {
	now := f.clock.Now()
	g, err := f.pools[entry].Acquire(context.Background(), batch.AdmissionRequest{
		WaitUntil: now, OnTimeUntil: now.Add(time.Second), Deadline: now.Add(timeout),
	})
	if err != nil {
		f.denied++
		return
	}
	f.served++
	f.arrivals[g.Replica.ID] = append(f.arrivals[g.Replica.ID], now)
	said := track.Signs{}
	if f.limited[g.Replica.ID] {
		said.Limit = named
	}
	g.Observe(said)
	g.Started()
	end := f.step + int(1200*time.Millisecond/fleetStep)
	f.ends[end] = append(f.ends[end], g)
}

// run sends rate requests a second for a time, as many through each entry.
func (f *fleetOfEntries) run(d time.Duration, rate float64) {
	for range int(d / fleetStep) {
		for _, g := range f.ends[f.step] {
			g.Done(batch.Result{Verdict: batch.Served, FirstByte: 100 * time.Millisecond})
		}
		for i := range f.pools {
			expected := rate * fleetStep.Seconds() / float64(len(f.pools))
			for ; f.rng.Float64() < expected; expected-- {
				f.send(i)
			}
		}
		f.clock.Advance(fleetStep)
		if f.step++; f.step%messageSteps == 0 {
			f.exchangeSigns()
		}
	}
}

// messageSteps is the number of steps from one exchange of messages to the next: half a second.
const messageSteps = 10

// exchangeSigns makes all entries tell all others of the signs of replicas.
func (f *fleetOfEntries) exchangeSigns() {
	var reports []track.SignReport
	for _, book := range f.books {
		reports = append(reports, book.Share()...)
	}
	for i, p := range f.pools {
		f.books[i].Merge("peer", reports)
		p.SignsChanged(reports)
	}
}

// most returns the most requests that reached a limited replica within 4 s, from the given time on.
func (f *fleetOfEntries) most(from time.Time) int {
	most := 0
	for id := range f.limited {
		for i, start := range f.arrivals[id] {
			n := 0
			for _, at := range f.arrivals[id][i:] {
				if at.Sub(start) < 4*time.Second {
					n++
				}
			}
			if !start.Before(from) {
				most = max(most, n)
			}
		}
	}
	return most
}

// Guards against entries that together send a replica more than the limit that it names.
func TestEntriesTogetherKeepToTheLimitOfAReplica(t *testing.T) {
	for _, entries := range []int{1, 6, 98} {
		for _, spec := range []*track.EngineSpec{engine, nil} {
			f := newFleetOfEntries(entries, 8, 2, spec)
			f.run(2*time.Second, 40)
			from := f.clock.Now()
			f.run(20*time.Second, 40)
			assert.Assert(t, f.most(from) <= maxArrivals(named), "%d entries: %d requests in 4 s", entries, f.most(from))
		}
	}
}

// What limited replicas don't take goes to the others, and the limited ones get about what they take.
func TestRestGoesToReplicasWithoutALimit(t *testing.T) {
	f := newFleetOfEntries(6, 8, 2, nil)
	f.run(3*time.Second, 30)
	from := f.clock.Now()
	f.run(20*time.Second, 30)
	assert.Equal(t, f.denied, 0)
	n := 0
	for _, at := range f.arrivals[id(0)] {
		if at.After(from) {
			n++
		}
	}
	assert.Assert(t, n >= 30, "%d requests in 20 s at a limit of 2 a second", n)
}

// All replicas of a service name limits while clients send more: requests that can't be served in time are refused at
// once, and the clients return in order, at the rate of the permits.
func TestAllReplicasNameLimits(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, engine)
	for range 2 {
		g := mustAcquire(t, p, newAsk(clock, 0))
		g.Observe(track.Signs{Limit: named})
		// A replica that declines a request has got it.
		g.Done(batch.Result{Verdict: batch.AtCapacity})
	}
	clock.Advance(time.Second)
	served := 0
	var delays []time.Duration
	for range 20 {
		g, err := p.Acquire(t.Context(), batch.AdmissionRequest{
			OnTimeUntil: clock.Now().Add(100 * time.Millisecond), WaitUntil: clock.Now().Add(100 * time.Millisecond), Deadline: clock.Now().Add(timeout),
		})
		if err == nil {
			served++
			g.Done(batch.Result{Verdict: batch.Served})
			continue
		}
		refusal := asRefusal(t, err)
		assert.Equal(t, refusal.Reason, batch.ReasonLimited)
		delays = append(delays, refusal.RetryAfter)
	}
	assert.Assert(t, served >= 3 && served <= 5, "%d served of the permits of a second", served)
	for i := range delays[1:] {
		// Two replicas take four a second.
		assert.Equal(t, delays[i+1]-delays[i], 250*time.Millisecond)
	}
}

// A replica that names no limit any more is used as before.
func TestLimitEndsWithTheFirstAnswerWithoutOne(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, nil)
	g := mustAcquire(t, p, newAsk(clock, 0))
	g.Observe(track.Signs{Limit: named})
	g.Done(batch.Result{Verdict: batch.Served})
	_, err := p.Acquire(t.Context(), batch.AdmissionRequest{WaitUntil: clock.Now()})
	assert.Equal(t, asRefusal(t, err).Reason, batch.ReasonLimited)
	clock.Advance(time.Second)
	g = mustAcquire(t, p, newAsk(clock, 0))
	g.Observe(track.Signs{})
	for range slots {
		mustAcquire(t, p, newAsk(clock, 0))
	}
}
