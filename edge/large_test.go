package edge

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/talk"
)

// The size of a large deployment.
const (
	largeZones          = 5
	largeEntriesPerZone = 20
	largeAgentsPerZone  = 38
	largeRanks          = 64
)

func largeZone(i int) track.AvailabilityZone {
	return track.AvailabilityZone(fmt.Sprintf("zone-%d", i))
}

// largeEntry is an entry of a large deployment, with the messages that it gets.
type largeEntry struct {
	*Entry
	clock *clockwork.FakeClock
	seq   uint64
}

func newLargeEntry() *largeEntry {
	clock := clockwork.NewFakeClock()
	e := &largeEntry{Entry: newEntry(clock), clock: clock}
	e.options.Zone = largeZone(0)
	var records []track.KeyedRecord
	for i := range largeZones * largeAgentsPerZone {
		records = append(records, track.KeyedRecord{Key: largeReplica(i), Value: []byte(largeAddress(i))})
	}
	e.fleet.Apply(records)
	e.Pool("llm").Configure(&track.EngineSpec{
		Slots: 6, StepTime: 6 * time.Millisecond, StepPerRequest: time.Millisecond, TokensPerPass: 8,
	})
	e.Pool("desk")
	return e
}

func largeReplica(i int) string { return fmt.Sprintf("i-%010x", i*7919) }
func largeAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:80", i/250, i%250) }

// second runs the messages and ticks of one second.
func (e *largeEntry) second() {
	for tenth := range 10 {
		e.clock.Advance(100 * time.Millisecond)
		e.seq++
		for i := range largeEntriesPerZone - 1 {
			note := gossip.Message{
				From: track.InstanceID(fmt.Sprintf("front-zone-0-%d", i)), Role: track.RoleEntry, Zone: largeZone(0),
				Address: fmt.Sprintf("10.1.0.%d:1", i), API: fmt.Sprintf("10.1.0.%d:2", i), Seq: e.seq, Started: 1,
				LogAge: 100 * time.Millisecond, InFlight: map[track.ReplicaID]track.InFlight{},
			}
			for j := range 10 {
				note.InFlight[track.ReplicaID(largeReplica((i*11+j*5)%190))] = track.InFlight{Running: 1 + j%2}
			}
			if i == 0 {
				for zone := 1; zone < largeZones; zone++ {
					note.Zones = append(note.Zones, largeSummary(zone))
				}
			}
			e.receiveNew(note)
		}
		for i := tenth % 4; i < largeAgentsPerZone; i += 4 {
			e.receiveNew(gossip.Message{
				From: track.InstanceID(fmt.Sprint("side-", i)), Role: track.RoleAgent, Zone: largeZone(0), Seq: e.seq, Started: 1,
				Rank: &gossip.RankStatus{Server: largeAddress(i), Group: "g", GroupReady: true, Slowdown: 1, PassDuration: 80 * time.Millisecond},
			})
		}
		e.tick()
		e.tick()
		if data, err := json.Marshal(e.composeNote(false)); err == nil {
			talk.Compress(data)
		}
		e.targets()
	}
}

// largeSummary returns the summary of another zone.
func largeSummary(zone int) gossip.ZoneSummary {
	s := gossip.ZoneSummary{
		Zone: largeZone(zone), Representative: track.InstanceID(fmt.Sprintf("front-zone-%d-0", zone)),
		InFlight: map[track.ReplicaID]track.InFlight{},
	}
	for i := range largeAgentsPerZone {
		n := zone*largeAgentsPerZone + i
		s.InFlight[track.ReplicaID(largeReplica(n))] = track.InFlight{Running: 4, Starting: 1}
		s.Ranks = append(s.Ranks, gossip.RankSummary{
			Server: largeAddress(n), Group: fmt.Sprint("g-", n/largeRanks), GroupReady: true, Slowdown: 1,
			PassDuration: 80 * time.Millisecond, Age: 200 * time.Millisecond,
		})
	}
	return s
}

// BenchmarkLargeEntry measures the processor time of an entry's part in the exchange of state, for
// one second of a large deployment.
func BenchmarkLargeEntry(b *testing.B) {
	e := newLargeEntry()
	e.second()
	for b.Loop() {
		e.second()
	}
}

// In a zone of 20 entries each sends five messages a second to each other one, as many in all as in a
// zone of ten.
func TestMessagesOfAnEntryAreBounded(t *testing.T) {
	e := newLargeEntry()
	e.second()
	zonePeers := 0
	for _, peer := range e.targets() {
		if !peer.OtherZone {
			zonePeers++
			assert.Equal(t, peer.EveryNth, 2)
		}
	}
	assert.Equal(t, zonePeers, largeEntriesPerZone-1)
}
