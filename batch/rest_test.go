package batch_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
)

const rest = 3 * time.Second

func TestRestingReplicaGetsNoRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, engine)
	g := mustAcquire(t, p, newAsk(clock, 0))
	resting := g.Replica.ID
	g.Observe(track.Signs{RestFor: rest})
	g.Done(batch.Result{Verdict: batch.AtCapacity})
	// What the replica's agent reports and shorter rests don't end the rest.
	p.SetRank(g.Replica.Address, batch.RankState{Group: "g", Working: false})
	p.SetRank(g.Replica.Address, batch.RankState{Group: "g", Working: true})
	var grants []*batch.Grant
	for range slots {
		g := mustAcquire(t, p, newAsk(clock, 0))
		assert.Assert(t, g.Replica.ID != resting)
		grants = append(grants, g)
	}
	// The load that it doesn't take isn't put on the other replica beyond its limit.
	waiting := acquireAsync(t, p, newAsk(clock, 0))
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(objective)
	asRefusal(t, (<-waiting).err)
	clock.Advance(rest)
	assert.Equal(t, mustAcquire(t, p, newAsk(clock, 0)).Replica.ID, resting)
	for _, g := range grants {
		g.Done(batch.Result{Verdict: batch.Served})
	}
}

// All replicas of a service are full and ask for rest at once. Their callers are refused at
// once and return in their order, no faster than the replicas can serve them.
func TestAllReplicasRest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, engine)
	served := mustAcquire(t, p, newAsk(clock, 0))
	clock.Advance(800 * time.Millisecond)
	served.Done(batch.Result{Verdict: batch.Served})
	for range 2 {
		g := mustAcquire(t, p, newAsk(clock, 0))
		g.Observe(track.Signs{RestFor: rest})
		g.Done(batch.Result{Verdict: batch.AtCapacity})
	}
	for i := range 20 {
		_, err := p.Acquire(t.Context(), newAsk(clock, 0))
		refusal := asRefusal(t, err)
		assert.Equal(t, refusal.Reason, batch.ReasonResting)
		// Eight slots of 800 ms each serve a request every 100 ms.
		assert.Equal(t, refusal.RetryAfter, rest+time.Duration(i)*100*time.Millisecond)
	}
	clock.Advance(rest)
	mustAcquire(t, p, newAsk(clock, 0))
}

func TestRestEndsWithRestart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 1, engine)
	g := mustAcquire(t, p, newAsk(clock, 0))
	g.Observe(track.Signs{RestFor: rest})
	g.Done(batch.Result{Verdict: batch.AtCapacity})
	restarted := replicas(1)
	restarted[0].StartID = 1
	clock.Advance(100 * time.Millisecond)
	p.Update(restarted)
	assert.Equal(t, mustAcquire(t, p, newAsk(clock, 0)).Replica.StartID, track.Replica{StartID: 1}.StartID)
}
