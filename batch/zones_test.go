package batch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

func evacuate(zones ...track.AvailabilityZone) map[track.AvailabilityZone]bool {
	set := make(map[track.AvailabilityZone]bool)
	for _, z := range zones {
		set[z] = true
	}
	return set
}

// in returns AdmissionRequest.Zones for some zones.
func in(zones ...track.AvailabilityZone) func(track.AvailabilityZone) bool {
	return func(z track.AvailabilityZone) bool { return slices.Contains(zones, z) }
}

// Guards against requests on replicas of an evacuated zone: new ones, retries, queued ones and those under a division
// of the slots, and with a list of replicas that comes after the evacuation.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	for _, spec := range []*track.EngineSpec{engine, nil} {
		clock := clockwork.NewFakeClock()
		p := newPool(clock, 3, spec)
		running := mustAcquire(t, p, newAsk(clock, 0))
		assert.Equal(t, running.Replica.Zone, track.AvailabilityZone("rivera"))
		p.SetEvacuated(evacuate("rivera", "unknown"))
		joined := append(replicas(3), track.Replica{ID: "i-new", Service: service, Address: "10.0.0.9:80", Zone: "rivera", Slots: slots})
		p.Update(joined)
		p.SetShare(permit.Share{Width: 1})
		capacity := p.Usage().Capacity
		for range capacity {
			g := mustAcquire(t, p, newAsk(clock, 0))
			assert.Equal(t, g.Replica.ID, id(2))
			g.Started()
		}
		assert.Equal(t, p.Usage(), batch.Usage{Capacity: capacity, InFlight: capacity}, "replicas of the zone are no capacity")
		assert.Equal(t, p.InFlight()[running.Replica.ID].Running, 1, "a request that runs there runs on")
		waiting := acquireAsync(t, p, newAsk(clock, 0))
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		running.Started()
		running.Done(batch.Result{Verdict: batch.Served})
		assert.Equal(t, p.Usage().Queued, 1, "its end admits none to the zone")

		p.SetEvacuated(nil)
		got := <-waiting
		assert.NilError(t, got.err)
		assert.Equal(t, got.grant.Replica.Zone, track.AvailabilityZone("rivera"))
	}
}

// Guards against a division of slots in which a part stays unused because it lies in an evacuated zone.
func TestSlotsOfEvacuatedZonesAreOwnedByNobody(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := batch.New(batch.Options{
		Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(), Random: func() float64 { return 0.5 },
		Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return 40 },
	})
	p.Configure(engine)
	p.Update(replicas(2))
	// The first half of the order of slots is in the zone artigas.
	p.SetShare(permit.Share{Width: 0.5})
	assert.Equal(t, mustAcquire(t, p, newAsk(clock, 0)).Replica.Zone, track.AvailabilityZone("artigas"))
	p.SetEvacuated(evacuate("artigas"))
	assert.Equal(t, mustAcquire(t, p, newAsk(clock, 0)).Replica.Zone, track.AvailabilityZone("rivera"))
}

// Guards against requests that wait, up to their deadline, for replicas that they must not be sent to.
func TestRefusedAtOnceWithoutZone(t *testing.T) {
	ask := func(clock clockwork.Clock, zones func(track.AvailabilityZone) bool, excluded ...track.ReplicaID) batch.AdmissionRequest {
		a := newAsk(clock, 0)
		a.Zones, a.Excluded = zones, excluded
		return a
	}
	for _, c := range []struct {
		name      string
		evacuated map[track.AvailabilityZone]bool
		zones     func(track.AvailabilityZone) bool
		excluded  []track.ReplicaID
		want      batch.Reason
	}{
		{"all zones evacuated", evacuate("rivera", "artigas"), nil, nil, batch.ReasonEvacuated},
		{"other zone has failed the request", evacuate("rivera"), nil, []track.ReplicaID{id(1)}, batch.ReasonEvacuated},
		{"home evacuated", evacuate("artigas"), in("artigas"), nil, batch.ReasonEvacuated},
		{"no replica at home", nil, in("salto"), nil, batch.ReasonNoReplicaInHomeRegion},
		{"no replica at home, another zone evacuated", evacuate("artigas"), in("salto"), nil, batch.ReasonNoReplicaInHomeRegion},
		{"home has failed the request", nil, in("artigas"), []track.ReplicaID{id(1)}, batch.ReasonNoReplica},
		{"all have failed the request", nil, nil, []track.ReplicaID{id(0), id(1)}, batch.ReasonNoReplica},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := newPool(clock, 2, engine)
			p.SetEvacuated(c.evacuated)
			_, err := p.Acquire(t.Context(), ask(clock, c.zones, c.excluded...))
			assert.DeepEqual(t, asRefusal(t, err), &batch.RefusalError{Reason: c.want, RetryAfter: time.Second})
		})
	}
	t.Run("queued", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		p := newPool(clock, 2, engine)
		fill(t, p, clock, 2*slots)
		anywhere := acquireAsync(t, p, newAsk(clock, 0))
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
		home := acquireAsync(t, p, ask(clock, in("artigas")))
		assert.NilError(t, clock.BlockUntilContext(t.Context(), 2))
		p.SetEvacuated(evacuate("artigas"))
		assert.Equal(t, asRefusal(t, (<-home).err).Reason, batch.ReasonEvacuated)
		assert.Equal(t, p.Usage().Queued, 1, "the other one waits for the zone that is left")
		p.SetEvacuated(evacuate("artigas", "rivera"))
		assert.Equal(t, asRefusal(t, (<-anywhere).err).Reason, batch.ReasonEvacuated)
	})
}

// Guards against requests that leave their home regions since those are busy, or have slow ranks only.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 3, engine)
	request := newAsk(clock, 0)
	request.Zones = in("artigas")
	p.SetRank(address(2), batch.RankState{Group: "g", Working: true, Slowdown: 2})
	first := mustAcquire(t, p, request)
	first.OnLeaveSlowRank(func() { t.Error("no other rank is in the home region") })
	p.SetRank(address(2), batch.RankState{Group: "g", Working: true, Slowdown: 4})
	for range slots - 1 {
		first.Started()
		g := mustAcquire(t, p, request)
		assert.Equal(t, g.Replica.ID, id(2))
		g.Started()
	}
	waiting := acquireAsync(t, p, request)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	assert.Equal(t, mustAcquire(t, p, newAsk(clock, 0)).Replica.Zone, track.AvailabilityZone("rivera"))
	first.Done(batch.Result{Verdict: batch.Served})
	got := <-waiting
	assert.NilError(t, got.err)
	assert.Equal(t, got.grant.Replica.ID, id(2))
}

// Guards against a queue that accepts more requests than the home region can run in time, because it counts on the capacity
// of all zones.
func TestExpectedWaitCountsHomeRegionsOnly(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 12, engine)
	grants := fill(t, p, clock, 12*slots)
	clock.Advance(time.Second)
	home := slices.IndexFunc(grants, func(g *batch.Grant) bool { return g.Replica.ID == id(0) })
	grants[home].Done(batch.Result{Verdict: batch.Served})
	mustAcquire(t, p, newAsk(clock, 0))
	// A slot in the zone of one replica becomes free each 250 ms, one in all zones each 21 ms.
	request := newAsk(clock, 0)
	request.Zones = in("artigas")
	_, err := p.Acquire(t.Context(), request)
	assert.Equal(t, asRefusal(t, err).Reason, batch.ReasonBusy)
	waiting := acquireAsync(t, p, newAsk(clock, 0))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	grants[(home+1)%len(grants)].Done(batch.Result{Verdict: batch.Served})
	assert.NilError(t, (<-waiting).err)
}

// Guards against other decisions where nothing is evacuated and no request has home regions. The reference is a pool with
// requests that may run in all zones and an evacuated zone without replicas.
func TestNoEvacuationAndNoHomeRegionsChangeNothing(t *testing.T) {
	for _, spec := range []*track.EngineSpec{engine, nil} {
		var runs [2][]string
		for i := range runs {
			rng := rand.New(rand.NewPCG(5, 1))
			clock := clockwork.NewFakeClock()
			p := batch.New(batch.Options{
				Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(), Random: rng.Float64,
				Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return 1 },
			})
			p.Configure(spec)
			p.Update(replicas(6))
			var grants []*batch.Grant
			for range 400 {
				request := newAsk(clock, 0)
				// Requests that can't be admitted at once are refused.
				request.WaitUntil = clock.Now()
				if i == 1 {
					request.Zones = func(track.AvailabilityZone) bool { return true }
					p.SetEvacuated(evacuate("unknown"))
				}
				g, err := p.Acquire(t.Context(), request)
				runs[i] = append(runs[i], fmt.Sprint(err, p.Usage()))
				if err == nil {
					runs[i] = append(runs[i], fmt.Sprint(g.Replica.ID, g.Candidates))
					g.Started()
					grants = append(grants, g)
				}
				clock.Advance(20 * time.Millisecond)
				for len(grants) > 0 && rng.Float64() < 0.45 {
					grants[0].Done(batch.Result{Verdict: batch.Verdict(rng.IntN(int(batch.Interrupted) + 1)), FirstByte: time.Second})
					grants = grants[1:]
				}
			}
		}
		assert.DeepEqual(t, runs[0], runs[1])
	}
}
