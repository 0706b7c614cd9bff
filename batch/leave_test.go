package batch_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/signs"
)

func TestLeavingReplicaGetsNoRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPool(clock, 2, engine)
	inProgress := mustAcquire(t, p, newAsk(clock, 0))
	leaving := inProgress.Replica.ID
	inProgress.Observe(track.Signs{Leaving: true})
	for range slots {
		assert.Assert(t, mustAcquire(t, p, newAsk(clock, 0)).Replica.ID != leaving)
	}
	inProgress.Done(batch.Result{Verdict: batch.Served})

	// The list of replicas may still show it, or show it again after an outage of the log.
	p.Update(nil)
	p.Update(replicas(2))
	clock.Advance(time.Minute)
	_, err := p.Acquire(t.Context(), batch.AdmissionRequest{
		WaitUntil: clock.Now(), OnTimeUntil: clock.Now(), Deadline: clock.Now(), Excluded: []track.ReplicaID{other(leaving)},
	})
	assert.Equal(t, asRefusal(t, err).Reason, batch.ReasonNoReplica)

	// Another start of it under the same ID is another replica.
	restarted := replicas(2)
	for i := range restarted {
		restarted[i].StartID = 7
	}
	p.Update(restarted)
	g := mustAcquire(t, p, batch.AdmissionRequest{Excluded: []track.ReplicaID{other(leaving)}})
	assert.Equal(t, g.Replica.ID, leaving)
}

// other returns the other one of two replicas.
func other(r track.ReplicaID) track.ReplicaID {
	if r == id(0) {
		return id(1)
	}
	return id(0)
}

func TestDepartureReportedByPeer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	book := signs.New(clock, zap.NewNop())
	p := batch.New(batch.Options{
		Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(), Signs: book,
		Random: func() float64 { return 0.5 }, Entries: func() int { return 1 },
	})
	p.Configure(engine)
	listed := replicas(2)
	for i := range listed {
		listed[i].StartID = 5
	}
	p.Update(listed)
	report := func(startID int64) {
		reports := []track.SignReport{{Replica: id(0), StartID: startID, Leaving: true}}
		book.Merge("front-2", reports)
		p.SignsChanged(reports)
	}
	// A report on an earlier start of the replica doesn't concern it.
	report(3)
	assert.Equal(t, mustAcquire(t, p, batch.AdmissionRequest{Excluded: []track.ReplicaID{id(1)}}).Replica.ID, id(0))
	report(5)
	for range slots {
		assert.Equal(t, mustAcquire(t, p, newAsk(clock, 0)).Replica.ID, id(1))
	}
	// Nor does a late one.
	report(3)
	_, err := p.Acquire(t.Context(), batch.AdmissionRequest{
		WaitUntil: clock.Now(), OnTimeUntil: clock.Now(), Deadline: clock.Now(), Excluded: []track.ReplicaID{id(1)},
	})
	assert.Equal(t, asRefusal(t, err).Reason, batch.ReasonNoReplica)
}
