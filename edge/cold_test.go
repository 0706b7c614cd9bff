package edge

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/hosts"
	"filberttrack.example/track/permit"
	"filberttrack.example/track/vacate"
)

// configureCold gives the service a cold rate and marks the members as read.
func configureCold(e *Entry) {
	e.onConfig(hosts.New(track.RouteConfig{Version: 1, Services: []track.RouteService{
		{Name: "llm", Cold: track.ColdSpec{StartTime: 3 * time.Second, PerSecond: 17}},
	}}))
	e.memberFollower.Mirror().Replace(track.KeyedPage{End: 1})
}

// coldShareAt returns the entry's share of the requests to cold replicas.
func (e *Entry) coldShareAt() permit.Share {
	return e.coldShare(e.demands("llm", e.Pool("llm").Demand(), e.members.entriesByZone(), e.zoneEntryMessages(), e.zones))
}

// Guards against a burst that begins at all entries at the same moment: each sees its own demand first, and would take nearly
// all requests to cold replicas if the shares followed the demand.
func TestColdShareDoesNotFollowTheDemand(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := sharedEntry(clock)
	configureCold(e)
	clock.Advance(time.Minute)
	e.receiveNew(demandNote("front-1", 1, 0))
	e.receiveNew(demandNote("front-3", 1, 0))
	askOften(t, e, clock)
	assert.Assert(t, e.shareAt().Width > 0.3, "%g", e.shareAt().Width)
	assert.Assert(t, nearly(e.coldShareAt().Width, 0.2), "%g", e.coldShareAt().Width)
	assert.Assert(t, nearly(e.coldShareAt().From, 0.6), "%g", e.coldShareAt().From)
}

// Guards against an entry that restarts, or that starts together with the others, and takes all requests to cold replicas
// because it knows no peers yet.
func TestColdShareIsEmptyUntilPeersAreKnown(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEntry(clock)
	clock.Advance(peersHeardAfter - 1)
	assert.Equal(t, e.coldShareAt(), permit.Share{}, "the members have not been read")
	clock.Advance(1)
	assert.Equal(t, e.coldShareAt(), permit.Share{Width: 1}, "the log is out, and no peer is heard")
	e = newEntry(clock)
	configureCold(e)
	assert.Equal(t, e.coldShareAt(), permit.Share{}, "the entry has just started")
	clock.Advance(peersKnownAfter)
	assert.Equal(t, e.coldShareAt(), permit.Share{Width: 1}, "the only entry")
}

// Guards against shares that aren't set while no replica names a limit.
func TestSharesAreSetWhileReplicasAreCold(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEntry(clock)
	configureCold(e)
	clock.Advance(time.Minute)
	e.fleet.Apply([]track.KeyedRecord{{Key: "i-1", Value: []byte("10.0.0.1:80")}})
	p := e.Pool("llm")
	assert.Equal(t, p.ColdReplicas(), 1)
	request := newColdRequest(clock)
	_, err := p.Acquire(t.Context(), request)
	assert.Assert(t, err != nil, "without a share, nothing is sent to a cold replica")
	e.tick()
	clock.Advance(100 * time.Millisecond)
	_, err = p.Acquire(t.Context(), newColdRequest(clock))
	assert.NilError(t, err)
}

// newColdRequest returns a request that isn't queued.
func newColdRequest(clock clockwork.Clock) batch.AdmissionRequest {
	now := clock.Now()
	return batch.AdmissionRequest{WaitUntil: now, OnTimeUntil: now, Deadline: now.Add(time.Second)}
}

// Guards against requests at the usual rate to the replicas of a zone that is taken back: they may have been replaced
// or have become cold meanwhile.
func TestReplicasOfZoneTakenBackAreCold(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEntry(clock)
	configureCold(e)
	e.onReplicas([]track.Replica{
		{ID: "i-1", Service: "llm", Address: "10.0.0.1:80", Zone: "rivera", Slots: 8},
		{ID: "i-2", Service: "llm", Address: "10.0.0.2:80", Zone: "artigas", Slots: 8},
	})
	clock.Advance(time.Minute)
	p := e.Pool("llm")
	assert.Equal(t, p.ColdReplicas(), 0)
	e.onEvacuated(vacate.Zones{"artigas": true})
	assert.Equal(t, p.ColdReplicas(), 0)
	e.onEvacuated(vacate.Zones{})
	assert.Equal(t, p.ColdReplicas(), 1)
	clock.Advance(6 * time.Second)
	assert.Equal(t, p.ColdReplicas(), 0)
}
