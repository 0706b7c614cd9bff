package batch_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track/batch"
	"filberttrack.example/track/permit"
	"filberttrack.example/track/signs"
)

// A cut between zones leaves the ranks of one zone silent, with requests that hang on them. The other ranks say that
// the group is broken. Clients that are told to come back as from a busy service would do so before the
// group works again, be refused once more and lost.
func TestSilentRanksOfBrokenGroupAreNotBusy(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := batch.New(batch.Options{
		Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(), Random: func() float64 { return 0.5 },
		Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return 2 * slots },
	})
	p.Configure(engine)
	p.Update(replicas(3))
	p.SetShare(permit.Share{Width: 1})
	report := func(working ...bool) {
		var reports []batch.RankReport
		for i, w := range working {
			reports = append(reports, batch.RankReport{Address: address(i), State: batch.RankState{Group: "g", Working: w}})
		}
		p.SetRanks(reports)
	}
	report(true, true, true)
	grants := fill(t, p, clock, 3*slots)
	clock.Advance(3 * time.Second)
	report(false, false)
	clock.Advance(1100 * time.Millisecond)
	report(false, false)
	for _, g := range grants {
		if g.Replica.ID != id(2) {
			g.Done(batch.Result{Verdict: batch.Canceled})
		}
	}
	_, _, err := p.Admit(newAsk(clock, 0))
	refused := asRefusal(t, err)
	assert.Equal(t, refused.Reason, batch.ReasonGroupBroken)
	assert.Assert(t, refused.RetryAfter >= 2400*time.Millisecond, "got %s", refused.RetryAfter)
	report(true, true)
	mustAcquire(t, p, newAsk(clock, 0))
}

// Agents that report a broken group and then fall silent say nothing about its present state. Requests that are
// refused for as long as the agents are silent would never show that the replicas serve again.
func TestOldReportsOfBrokenGroupRefuseNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := batch.New(batch.Options{
		Service: service, Zone: "rivera", Clock: clock, Logger: zap.NewNop(), Random: func() float64 { return 0.5 },
		Signs: signs.New(clock, zap.NewNop()), Entries: func() int { return 2 * slots },
	})
	p.Configure(engine)
	p.Update(replicas(2))
	p.SetShare(permit.Share{Width: 1})
	var reports []batch.RankReport
	for i := range 2 {
		reports = append(reports, batch.RankReport{Address: address(i), State: batch.RankState{Group: "g"}})
	}
	p.SetRanks(reports)
	_, _, err := p.Admit(newAsk(clock, 0))
	assert.Equal(t, asRefusal(t, err).Reason, batch.ReasonGroupBroken)
	clock.Advance(time.Minute)
	_, grant, err := p.Admit(newAsk(clock, 0))
	assert.NilError(t, err)
	assert.Assert(t, grant != nil)
}
