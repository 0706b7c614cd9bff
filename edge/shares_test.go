package edge

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/permit"
)

func nearly(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Entries that know the same have shares that cover the unit interval without overlaps.
func TestSharesOfAllEntriesCoverTheLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(29, 2))
	for range 200 {
		// Some of the entries are heard, the others are known by name.
		var entries []demandOf
		for i := range 1 + rng.IntN(20) {
			d := demandOf{zone: "rivera", entry: track.InstanceID(fmt.Sprintf("front-%02d", i)), entries: 1}
			if rng.Float64() < 0.7 {
				d.known, d.rate = true, float64(rng.IntN(4))*rng.Float64()*10
			}
			entries = append(entries, d)
		}
		var all []permit.Share
		for i := range entries {
			view := slices.Concat(entries[i:i+1], entries[:i], entries[i+1:])
			all = append(all, ownShare(view))
		}
		end := 0.0
		for i, s := range all {
			assert.Assert(t, nearly(s.From, end), "share %d begins at %g, the one before ends at %g", i, s.From, end)
			assert.Assert(t, s.Width > 0 || len(all) > 1)
			end = s.From + s.Width
		}
		assert.Assert(t, nearly(end, 1))
	}
}

// sharedEntry is an entry of three in its zone, with two more in another one, which has a limited replica.
func sharedEntry(clock clockwork.Clock) *Entry {
	e := newEntry(clock)
	for name, zone := range map[track.InstanceID]track.AvailabilityZone{
		"front-1": "rivera", "front-2": "rivera", "front-3": "rivera", "front-8": "artigas", "front-9": "artigas",
	} {
		e.members.known[name] = Member{Role: track.RoleEntry, Zone: zone}
	}
	e.fleet.Apply([]track.KeyedRecord{{Key: "i-1", Value: []byte("10.0.0.1:80")}})
	e.receiveNew(gossip.Message{
		From: "side-1", Role: track.RoleAgent, Seq: 1, Signs: []track.SignReport{{Replica: "i-1", Limit: 1}},
	})
	return e
}

// shareAt returns the entry's share of limits.
func (e *Entry) shareAt() permit.Share {
	return ownShare(e.demands("llm", e.Pool("llm").Demand(), e.members.entriesByZone(), e.zoneEntryMessages(), e.zones))
}

func demandNote(name track.InstanceID, seq uint64, demand float64) gossip.Message {
	note := entryNote(name, seq)
	note.Demand = map[string]float64{"llm": demand}
	return note
}

// Guards against an entry that takes a whole limit because it has heard no peers yet.
func TestEntryThatHasJustStartedTakesAnEvenShare(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := sharedEntry(clock)
	assert.Assert(t, nearly(e.shareAt().Width, 0.2))
	// Nor does its own demand change that while it doesn't know that of others.
	askOften(t, e, clock)
	assert.Assert(t, nearly(e.shareAt().Width, 0.2))
}

// askOften sends the service 50 requests in 5 s, which the limited replica doesn't take.
func askOften(t *testing.T, e *Entry, clock *clockwork.FakeClock) {
	t.Helper()
	for range 50 {
		clock.Advance(100 * time.Millisecond)
		_, err := e.Pool("llm").Acquire(t.Context(), batch.AdmissionRequest{WaitUntil: clock.Now(), Excluded: []track.ReplicaID{"i-1"}})
		assert.Assert(t, err != nil)
	}
}

// Guards against entries on both sides of a cut that each take the whole limit.
func TestSilentPeersKeepTheirShare(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := sharedEntry(clock)
	askOften(t, e, clock)
	e.receiveNew(demandNote("front-1", 1, 30))
	e.receiveNew(demandNote("front-3", 1, 0))
	note := demandNote("front-1", 2, 30)
	note.Zones = []gossip.ZoneSummary{{Zone: "artigas", Representative: "front-8", Demand: map[string]float64{"llm": 60}}}
	e.receiveNew(note)
	own := e.Pool("llm").Demand()
	assert.Assert(t, own > 9 && own < 11, "%g", own)
	mean := (own + 90) / 5
	width := (own + 0.2*mean) / (1.2 * 5 * mean)
	assert.Assert(t, nearly(e.shareAt().Width, width), "%g, not %g", e.shareAt().Width, width)
	for range 10 {
		askOften(t, e, clock)
	}
	assert.Assert(t, math.Abs(e.shareAt().Width-width) < 0.01, "%g, not %g", e.shareAt().Width, width)
	clock.Advance(silentShareTime)
	assert.Assert(t, nearly(e.shareAt().Width, 1), "entries that are silent for so long are gone")
}

// The summary of the zone has the demand of all its entries, also for those in other zones.
func TestZoneSummaryHasTheDemand(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := sharedEntry(clock)
	e.receiveNew(demandNote("front-1", 1, 30))
	e.receiveNew(demandNote("front-3", 1, 2.5))
	askOften(t, e, clock)
	demand := e.summarizeZone().Demand["llm"]
	assert.Assert(t, demand > 41.5 && demand < 43.5, "%g", demand)
	assert.DeepEqual(t, e.composeNote(false).Demand, e.ownDemand())
}

// A peer tells of the limit of a replica that hasn't answered this entry yet.
func TestLimitIsHeardFromPeers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := sharedEntry(clock)
	request := batch.AdmissionRequest{WaitUntil: clock.Now(), OnTimeUntil: clock.Now(), Deadline: clock.Now().Add(time.Second)}
	_, err := e.Pool("llm").Acquire(t.Context(), request)
	assert.ErrorContains(t, err, string(batch.ReasonLimited))
	assert.DeepEqual(t, e.composeNote(false).Signs, []track.SignReport{{Replica: "i-1", Limit: 1}})
}
