package batch

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/cold"
	"filberttrack.example/track/permit"
	"filberttrack.example/track/signs"
)

var coldSpec = cold.Spec{StartTime: 3 * time.Second, PerSecond: 17, Overshoot: 1.5, Slack: 5}

// coldFleet is a number of entries that share replicas, each with a queue.
type coldFleet struct {
	clock    *clockwork.FakeClock
	pools    []*Pool
	replicas []track.Replica
	waiters  [][]*waiter
	ends     map[time.Time][]*Grant
	// heldFor is the time for which a replica runs a request.
	heldFor  time.Duration
	arrivals map[track.ReplicaID][]time.Time
	// queued is the length of each entry's queue; 0 if requests that aren't granted at once are refused.
	queued int
}

func newColdFleet(entries, replicas int, engine *track.EngineSpec, spec cold.Spec) *coldFleet {
	f := &coldFleet{
		clock: clockwork.NewFakeClockAt(time.Unix(1_790_000_000, 0)), waiters: make([][]*waiter, entries), ends: make(map[time.Time][]*Grant),
		arrivals: make(map[track.ReplicaID][]time.Time), queued: 4, heldFor: 200 * time.Millisecond,
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for i := range replicas {
		f.replicas = append(f.replicas, track.Replica{
			ID: track.ReplicaID(fmt.Sprint("i-", i)), Service: "llm", Address: fmt.Sprint("a-", i), Slots: 10,
			Zone: track.AvailabilityZone(fmt.Sprint("z-", i%4)), StartID: 1, Heartbeat: 1,
		})
	}
	from := 0.0
	for i := range entries {
		p := New(Options{
			Service: "llm", Zone: track.AvailabilityZone(fmt.Sprint("z-", i%4)), Entries: func() int { return entries },
			Signs: signs.New(f.clock, zap.NewNop()), Clock: f.clock, Random: rng.Float64, Logger: zap.NewNop(),
		})
		p.Configure(engine)
		p.ConfigureCold(spec)
		p.Update(f.replicas)
		width := 1 / float64(entries) * (0.5 + float64(i%2))
		p.SetShare(permit.Share{From: from, Width: width})
		from += width
		f.pools = append(f.pools, p)
	}
	return f
}

// run advances the time in the steps in which entries dispatch.
func (f *coldFleet) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for range int(d / step) {
		f.clock.Advance(step)
		now := f.clock.Now()
		for _, g := range f.ends[now] {
			g.Done(Result{Verdict: Served, FirstByte: 100 * time.Millisecond})
		}
		all := f.inFlight()
		for i, p := range f.pools {
			p.SetOtherInFlight(without(all, p.InFlight()))
			f.collect(i)
			for len(f.waiters[i]) < max(f.queued, 1) {
				w, g, _ := p.admit(AdmissionRequest{
					WaitUntil: now.Add(time.Duration(f.queued) * time.Hour), OnTimeUntil: now.Add(time.Hour), Deadline: now.Add(10 * time.Hour),
				})
				if g != nil {
					f.granted(g)
				}
				if w == nil && g == nil {
					break
				}
				if w != nil {
					f.waiters[i] = append(f.waiters[i], w)
				}
			}
		}
	}
}

// collect takes the grants of an entry's queued requests.
func (f *coldFleet) collect(entry int) {
	rest := f.waiters[entry][:0]
	for _, w := range f.waiters[entry] {
		select {
		case g := <-w.granted:
			f.granted(g)
		default:
			rest = append(rest, w)
		}
	}
	f.waiters[entry] = rest
}

func (f *coldFleet) granted(g *Grant) {
	now := f.clock.Now()
	f.arrivals[g.Replica.ID] = append(f.arrivals[g.Replica.ID], now)
	g.Started()
	f.ends[now.Add(f.heldFor)] = append(f.ends[now.Add(f.heldFor)], g)
}

// inFlight returns the requests of all entries on each replica.
func (f *coldFleet) inFlight() map[track.ReplicaID]track.InFlight {
	all := make(map[track.ReplicaID]track.InFlight)
	for _, p := range f.pools {
		for id, n := range p.InFlight() {
			all[id] = all[id].Add(n)
		}
	}
	return all
}

// without returns the requests of all entries but one.
func without(all, own map[track.ReplicaID]track.InFlight) map[track.ReplicaID]track.InFlight {
	others := maps.Clone(all)
	for id, n := range own {
		others[id] = others[id].Add(track.InFlight{Running: -n.Running, Starting: -n.Starting})
	}
	return others
}

// counts returns the requests of all replicas since a time, and the most that one replica got in one second.
func (f *coldFleet) counts(since time.Time) (total, most int) {
	for _, times := range f.arrivals {
		for i, first := range times {
			if first.Before(since) {
				continue
			}
			total++
			n := 0
			for _, at := range times[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return total, most
}

// setGroups reports all ranks of the rank groups as working or broken.
func (f *coldFleet) setGroups(working bool) {
	for _, p := range f.pools {
		var reports []RankReport
		for i, r := range f.replicas {
			reports = append(reports, RankReport{Address: r.Address, State: RankState{Group: fmt.Sprint("g-", i%8), Working: working}})
		}
		p.SetRanks(reports)
	}
}

// Guards against what was seen without permits: after all groups broke and worked again, 38 entries with queues sent to
// all replicas at the same moment, and a cold one got 38 requests in one second. It also guards against permits that
// are lost: an entry has one for a replica only every 2.2 s, but 28 a second for all 63.
func TestAllReplicasReturnAtOnce(t *testing.T) {
	for engine, replicas := range map[*track.EngineSpec]int{{Slots: 10}: 63, nil: 21} {
		f := newColdFleet(38, replicas, engine, coldSpec)
		for range 12 {
			f.setGroups(false)
			f.clock.Advance(500 * time.Millisecond)
		}
		f.setGroups(true)
		for _, p := range f.pools {
			// Clients that retried at once in the meantime count as demand of hundreds of requests a second.
			p.demand.decay(f.clock.Now())
			p.demand.sum = 1000
		}
		back := f.clock.Now()
		f.run(2500 * time.Millisecond)
		total, most := f.counts(back)
		assert.Assert(t, float64(most) <= coldSpec.Breach(), "%d requests in one second", most)
		assert.Assert(t, float64(total) >= 0.8*17*2.5*float64(replicas), "%d requests in 2.5 s to %d replicas", total, replicas)
		f.clock.Advance(2450 * time.Millisecond)
		f.run(100 * time.Millisecond)
		warmSince := f.clock.Now()
		f.run(500 * time.Millisecond)
		warm, _ := f.counts(warmSince)
		assert.Assert(t, warm > replicas*15, "%d requests in half a second after the cold period", warm)
	}
}

// Guards against entries that send to a zone that was taken back, to a new start or to a replica whose record says that it is
// cold as if it were warm, and against an old record that is repeated and keeps a replica cold.
func TestSuspectedReplicasGetPermitsOnly(t *testing.T) {
	f := newColdFleet(1, 8, nil, coldSpec)
	p := f.pools[0]
	assert.Assert(t, p.NeedsShare() && p.ColdReplicas() == 8, "replicas that exist when the entry starts")
	f.run(5 * time.Second)
	assert.Assert(t, !p.NeedsShare() && p.ColdReplicas() == 0)
	p.SuspectCold("z-1")
	assert.Equal(t, p.ColdReplicas(), 2)
	f.run(5 * time.Second)
	f.replicas[3].WarmupTime, f.replicas[3].Heartbeat = time.Second, 2
	f.replicas[4].StartID = 2
	p.Update(f.replicas)
	assert.Equal(t, p.ColdReplicas(), 2)
	f.run(10 * time.Second)
	p.Update(f.replicas)
	assert.Equal(t, p.ColdReplicas(), 1, "the start is over, the record still says cold")
	f.run(2 * time.Second)
	p.Update(f.replicas)
	assert.Equal(t, p.ColdReplicas(), 0, "a repeated record is no news")
	p.Update(f.replicas[1:])
	f.run(time.Second)
	p.Update(f.replicas)
	assert.Equal(t, p.ColdReplicas(), 1, "a replica that was gone may have started again")
}

// Guards against clients that all return at once: those that are refused while all replicas are cold return at the rate of
// the permits, also while the entry doesn't know its share yet, and at the rate of the slots after the cold period.
func TestRefusedClientsReturnAtTheRateOfColdReplicas(t *testing.T) {
	f := newColdFleet(2, 2, nil, coldSpec)
	p := f.pools[0]
	p.SetColdShare(permit.Share{})
	p.meanGrantTime = 100 * time.Millisecond
	var delays []time.Duration
	for range 120 {
		now := f.clock.Now()
		_, _, err := p.admit(AdmissionRequest{WaitUntil: now, OnTimeUntil: now, Deadline: now.Add(time.Minute)})
		var refusal *RefusalError
		assert.Assert(t, errors.As(err, &refusal) && refusal.Reason == ReasonLimited)
		delays = append(delays, refusal.RetryAfter)
	}
	// Two replicas take 34 a second of two entries.
	assert.Equal(t, delays[10]-delays[9], time.Second/17)
	// After 5 s, two replicas with 20 requests of 0.1 s each take 400 a second of two entries.
	assert.Equal(t, delays[119]-delays[118], time.Second/200)
}

// Guards against a service without a cold rate that is treated differently: it needs no share, and its replicas take what
// their slots allow although records, groups and zones tell of cold replicas.
func TestServiceWithoutAColdRateIsUnaffected(t *testing.T) {
	var arrivals []map[track.ReplicaID][]time.Time
	for _, events := range []bool{false, true} {
		f := newColdFleet(3, 8, nil, cold.Spec{StartTime: 3 * time.Second, Overshoot: 1.5, Slack: 5})
		f.queued = 0
		for i := range f.replicas {
			f.replicas[i].WarmupTime = 3 * time.Second
		}
		for _, p := range f.pools {
			if events {
				p.Update(f.replicas)
				p.SuspectCold("z-1")
				p.SetColdShare(permit.Share{})
			}
			assert.Assert(t, !p.NeedsShare() && p.ColdReplicas() == 0)
		}
		f.run(2 * time.Second)
		total, _ := f.counts(time.Time{})
		assert.Assert(t, total >= 8*2*10, "%d", total)
		arrivals = append(arrivals, f.arrivals)
	}
	assert.DeepEqual(t, arrivals[0], arrivals[1])
}
