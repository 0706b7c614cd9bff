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
		Retries: retry.SharedLimit{Share: 0.2, Slack: 60, Window: 10 * time.Second},
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
	assert.Assert(t, pool.Broken(), "its group isn't open")
	e.hear(gossip.Note{From: "side-1", Role: track.RoleAgent, Seq: 2, Rank: &gossip.RankNote{Server: "10.0.0.1:80", Group: "g", Open: true}})
	assert.Assert(t, !pool.Broken())
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

func TestNotesFarAwayAreFew(t *testing.T) {
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
	assert.DeepEqual(t, every, map[track.InstanceID]int{"front-1": 1, "front-9": farNotes})
}
