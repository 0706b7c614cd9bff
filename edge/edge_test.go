package edge

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/retry"
)

// nowhere is a log that never answers and a connection that loses all notes.
type nowhere struct{ net.PacketConn }

func (nowhere) Newest(context.Context, string, string) (track.KeyedPage, error) {
	return track.KeyedPage{}, track.Fail("call", track.Unavailable, errors.New("away"))
}

func (n nowhere) Read(ctx context.Context, topic string, _ uint64, _ time.Duration) (track.KeyedPage, error) {
	return n.Newest(ctx, topic, "")
}

func (nowhere) Put(context.Context, string, string, []byte) error { return nil }

func decodeConfig([]byte) (track.RouteConfig, error) { return track.RouteConfig{Version: 1}, nil }

func decodeReplica(id string, data []byte) (track.Replica, error) {
	return track.Replica{ID: track.ReplicaID(id), Service: "llm", Address: string(data), Slots: 2}, nil
}

func newEntry(clock clockwork.Clock) *Entry {
	return NewEntry(Options{
		Self: "front-2", Zone: "rivera", Member: Member{Role: track.RoleEntry, Zone: "rivera"},
		Log: nowhere{}, Topics: Topics{Config: "op", Replicas: "servers", ConfigKey: "config"},
		DecodeConfig: decodeConfig, DecodeReplica: decodeReplica,
		Retries: retry.ServiceLimit{Share: 0.2, Slack: 60, Window: 10 * time.Second},
		Clock:   clock, Draw: func() float64 { return 0 }, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
}

// hear has the entry receive a note, as from the network.
func (e *Entry) hear(note gossip.Note) {
	if e.node.Take(note) {
		e.receive(note)
	}
}

func entryNote(name track.InstanceID, seq uint64) gossip.Note {
	return gossip.Note{From: name, Role: track.RoleEntry, Zone: "rivera", Address: string(name) + ":1", API: string(name) + ":2", Seq: seq, Started: 1, LogAge: 100 * time.Millisecond}
}

func TestTheFirstEntryThatTheLogTellsReadsForItsZone(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*gossip.Note)
		leads  bool
	}{
		{"told just now", func(*gossip.Note) {}, true},
		{"told long ago", func(n *gossip.Note) { n.LogAge = 3 * time.Second }, false},
		{"never told", func(n *gossip.Note) { n.LogAge = -1 }, false},
		{"leaving", func(n *gossip.Note) { n.Leaving = true }, false},
		{"of another zone", func(n *gossip.Note) { n.Zone = "artigas" }, false},
		{"later by name", func(n *gossip.Note) { n.From = "front-3" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			e := newEntry(clock)
			note := entryNote("front-1", 1)
			c.change(&note)
			e.hear(note)
			_, ok := e.leader()
			assert.Equal(t, ok, c.leads)
			clock.Advance(gossip.Silence)
			_, ok = e.leader()
			assert.Assert(t, !ok, "one that is silent leads nobody")
		})
	}
}

func TestCountsOfPeersBoundWhatIsSent(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEntry(clock)
	e.fleet.Apply([]track.KeyedRecord{{Key: "i-1", Value: []byte("10.0.0.1:80")}})
	pool := e.Pool("llm")
	note := entryNote("front-1", 1)
	note.InFlight = map[track.ReplicaID]track.InFlight{"i-1": {Running: 1}}
	e.hear(note)
	other := entryNote("front-3", 1)
	other.InFlight = map[track.ReplicaID]track.InFlight{"i-1": {Running: 1, Starting: 1}}
	e.hear(other)
	counts := pool.InFlight()
	assert.Equal(t, len(counts), 0, "these are of other entries")
	clock.Advance(gossip.Silence)
	e.hear(entryNote("front-1", 2))
	assert.Equal(t, e.members.entries(), 3, "the slack of retries is shared with those that are silent, too")
}

func TestRanksAreFoundByAddress(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.fleet.Apply([]track.KeyedRecord{{Key: "i-1", Value: []byte("10.0.0.1:80")}})
	pool := e.Pool("llm")
	e.hear(gossip.Note{From: "side-1", Role: track.RoleAgent, Seq: 1, Rank: &gossip.RankNote{Server: "10.0.0.1:80", Group: "g"}})
	assert.Assert(t, pool.HasBrokenGroup(), "its group isn't open")
	e.hear(gossip.Note{From: "side-1", Role: track.RoleAgent, Seq: 2, Rank: &gossip.RankNote{Server: "10.0.0.1:80", Group: "g", Open: true}})
	assert.Assert(t, !pool.HasBrokenGroup())
}

func TestReadyOnceItKnowsRoutesAndReplicas(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	assert.Assert(t, !e.Ready())
	offer(e.holder, "config")([]track.KeyedRecord{{Key: "config", Value: []byte("1")}})
	assert.Assert(t, !e.Ready())
	e.replicas.Mirror().Replace(nil, 3)
	assert.Assert(t, e.Ready())
	e.Leave()
	assert.Assert(t, !e.Ready())
}

// zoned returns a note of an entry elsewhere.
func zoned(name track.InstanceID, zone track.AvailabilityZone, seq uint64) gossip.Note {
	note := entryNote(name, seq)
	note.Zone = zone
	return note
}

func TestTheFirstEntrySpeaksForItsZone(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	assert.Assert(t, e.speaks())
	e.hear(entryNote("front-3", 1))
	e.hear(zoned("front-0", "artigas", 1))
	assert.Assert(t, e.speaks(), "those after it and those of other zones don't count")
	e.hear(entryNote("front-1", 1))
	assert.Assert(t, !e.speaks())
	assert.Equal(t, len(e.zoneNotes(true)), 0)
	leaving := entryNote("front-1", 2)
	leaving.Leaving = true
	e.hear(leaving)
	assert.Assert(t, e.speaks(), "one that leaves speaks no more")
}

func TestZonesTellEachOtherSums(t *testing.T) {
	clock := clockwork.NewFakeClock()
	here, there := newEntry(clock), newEntry(clock)
	there.options.Self, there.options.Zone = "front-7", "artigas"
	// The speaker of artigas adds up what its zone has in flight.
	peer := zoned("front-8", "artigas", 1)
	peer.InFlight = map[track.ReplicaID]track.InFlight{"i-1": {Running: 2, Starting: 1}}
	there.hear(peer)
	there.hear(gossip.Note{From: "side-7", Zone: "artigas", Role: track.RoleAgent, Seq: 1, Rank: &gossip.RankNote{Server: "10.0.0.1:80", Group: "g"}})
	far := there.note(true)
	assert.Equal(t, len(far.InFlight), 0, "the note for other zones holds the sum alone")
	far.From, far.Seq = "front-7", 1
	here.fleet.Apply([]track.KeyedRecord{{Key: "i-1", Value: []byte("10.0.0.1:80")}})
	pool := here.Pool("llm")
	here.hear(far)
	assert.DeepEqual(t, here.othersInFlight(), map[track.ReplicaID]track.InFlight{"i-1": {Running: 2, Starting: 1}})
	assert.Assert(t, pool.HasBrokenGroup(), "the state of ranks comes along")
	// It passes the sum on to the entries of its own zone, with its age.
	clock.Advance(300 * time.Millisecond)
	near := here.note(false)
	assert.Equal(t, len(near.Zones), 1)
	assert.Equal(t, near.Zones[0].Age, 300*time.Millisecond)
	// Newer word from the agent itself isn't undone by what was passed on.
	here.hear(gossip.Note{From: "side-7", Zone: "artigas", Role: track.RoleAgent, Seq: 2, Rank: &gossip.RankNote{Server: "10.0.0.1:80", Group: "g", Open: true}})
	late := entryNote("front-1", 1)
	late.Zones = near.Zones
	here.hear(late)
	assert.Assert(t, !pool.HasBrokenGroup())
	clock.Advance(gossip.Silence)
	assert.Equal(t, len(here.othersInFlight()), 0, "what isn't told again is forgotten")
}

func TestOnlySpeakersOfOtherZonesAreTold(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEntry(clock)
	for _, note := range []gossip.Note{zoned("front-7", "artigas", 1), zoned("front-8", "artigas", 1)} {
		e.hear(note)
	}
	every := func() map[track.InstanceID]int {
		told := map[track.InstanceID]int{}
		for _, peer := range e.targets() {
			assert.Assert(t, peer.Far)
			told[peer.Name] = peer.Every
		}
		return told
	}
	assert.DeepEqual(t, every(), map[track.InstanceID]int{"front-7": speakerNotes, "front-8": speakerNotes})
	sum := zoned("front-8", "artigas", 2)
	sum.Zones = []gossip.ZoneNote{{Zone: "artigas", Speaker: "front-8"}}
	e.hear(sum)
	assert.DeepEqual(t, every(), map[track.InstanceID]int{"front-8": speakerNotes})
	clock.Advance(gossip.Silence)
	assert.DeepEqual(t, every(), map[track.InstanceID]int{"front-7": speakerNotes, "front-8": speakerNotes})
}

func TestLookoutsHearFromTheirGroup(t *testing.T) {
	ranks := map[track.InstanceID]int{"a": 5, "b": 0, "c": 9, "d": 2, "e": 7}
	assert.DeepEqual(t, firstRanks(ranks), map[track.InstanceID]bool{"b": true, "d": true, "a": true})
}

func TestOnlyTheSpeakerTellsOtherZones(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.hear(entryNote("front-1", 1))
	far := entryNote("front-9", 1)
	far.Zone = "artigas"
	e.hear(far)
	e.hear(gossip.Note{From: "side-1", Role: track.RoleAgent, Address: "side-1:1", Seq: 1})
	every := map[track.InstanceID]int{}
	for _, peer := range e.targets() {
		every[peer.Name] = peer.Every
	}
	assert.DeepEqual(t, every, map[track.InstanceID]int{"front-1": 1})
}
