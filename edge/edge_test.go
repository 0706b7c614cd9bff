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
	"filberttrack.example/track/proxy"
	"filberttrack.example/track/retry"
)

// unavailableLog is a log whose reads always fail.
type unavailableLog struct{ net.PacketConn }

func (unavailableLog) Newest(context.Context, string, string) (track.KeyedPage, error) {
	return track.KeyedPage{}, track.Fail("call", track.Unavailable, errors.New("away"))
}

func (l unavailableLog) Read(ctx context.Context, topic string, _ uint64, _ time.Duration) (track.KeyedPage, error) {
	return l.Newest(ctx, topic, "")
}

func (unavailableLog) Put(context.Context, string, string, []byte) error { return nil }

func decodeConfig([]byte) (track.RouteConfig, error) { return track.RouteConfig{Version: 1}, nil }

func decodeReplica(id string, data []byte) (track.Replica, error) {
	return track.Replica{ID: track.ReplicaID(id), Service: "llm", Address: string(data), Slots: 2}, nil
}

func newEntry(clock clockwork.Clock) *Entry {
	return NewEntry(Options{
		Self: "front-2", Zone: "rivera", Member: Member{Role: track.RoleEntry, Zone: "rivera"},
		Log: unavailableLog{}, Topics: Topics{Config: "op", Replicas: "servers", ConfigKey: "config", EvacuatedPrefix: "evacuate/"},
		DecodeConfig: decodeConfig, DecodeReplica: decodeReplica,
		RetryLimit: retry.ServiceLimit{Share: 0.2, Slack: 60, Window: 10 * time.Second}, DrainTimeout: 2 * time.Second,
		Clock: clock, Random: func() float64 { return 0 }, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
}

// receiveNew passes a message to the entry like one from the network: it is dropped unless
// it is newer than the previous one of its sender.
func (e *Entry) receiveNew(note gossip.Message) {
	if e.gossipNode.Accept(note) {
		e.receive(note)
	}
}

func entryNote(name track.InstanceID, seq uint64) gossip.Message {
	return gossip.Message{
		From: name, Role: track.RoleEntry, Zone: "rivera", Address: string(name) + ":1", API: string(name) + ":2",
		Seq: seq, Started: 1, LogAge: 100 * time.Millisecond,
	}
}

func TestZoneLeaderIsTheFirstEntryWithARecentReplicaList(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*gossip.Message)
		leads  bool
	}{
		{"replica list read just now", func(*gossip.Message) {}, true},
		{"replica list read long ago", func(n *gossip.Message) { n.LogAge = 3 * time.Second }, false},
		{"replica list never read", func(n *gossip.Message) { n.LogAge = -1 }, false},
		{"leaving", func(n *gossip.Message) { n.Leaving = true }, false},
		{"in another zone", func(n *gossip.Message) { n.Zone = "artigas" }, false},
		{"later by name", func(n *gossip.Message) { n.From = "front-3" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			e := newEntry(clock)
			note := entryNote("front-1", 1)
			c.change(&note)
			e.receiveNew(note)
			_, ok := e.zoneLeader()
			assert.Equal(t, ok, c.leads)
			clock.Advance(gossip.PeerTimeout)
			_, ok = e.zoneLeader()
			assert.Assert(t, !ok, "an entry that sends no messages isn't the leader")
		})
	}
}

// The list that an entry takes from its zone's leader must not reach the drain time before the end of the next read,
// also if the leader then doesn't answer.
func TestLeadersListIsReplacedBeforeTheDrainTime(t *testing.T) {
	for drain := 100 * time.Millisecond; drain <= 10*time.Second; drain += 100 * time.Millisecond {
		o := Options{DrainTimeout: drain}
		age := o.maxLeaderAge()
		assert.Assert(t, age > 0, "0 would be no limit")
		if age > 1 {
			assert.Assert(t, age+leaderReadTimeout+o.replicasReadInterval()+leaderReadTimeout < drain, "%s", drain)
		}
	}
}

// The age in a message grows while no further message comes.
func TestLeaderIsLeftOnceItsLatestMessageIsOld(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEntry(clock)
	note := entryNote("front-1", 1)
	note.LogAge = e.options.maxLeaderAge()
	e.receiveNew(note)
	_, ok := e.zoneLeader()
	assert.Assert(t, ok)
	clock.Advance(time.Millisecond)
	_, ok = e.zoneLeader()
	assert.Assert(t, !ok)
}

func TestInFlightCountsOfPeers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEntry(clock)
	e.fleet.Apply([]track.KeyedRecord{{Key: "i-1", Value: []byte("10.0.0.1:80")}})
	pool := e.Pool("llm")
	note := entryNote("front-1", 1)
	note.InFlight = map[track.ReplicaID]track.InFlight{"i-1": {Running: 1}}
	e.receiveNew(note)
	other := entryNote("front-3", 1)
	other.InFlight = map[track.ReplicaID]track.InFlight{"i-1": {Running: 1, Starting: 1}}
	e.receiveNew(other)
	counts := pool.InFlight()
	assert.Equal(t, len(counts), 0, "the pool must not count requests of other entries as its own")
	clock.Advance(gossip.PeerTimeout)
	e.receiveNew(entryNote("front-1", 2))
	assert.Equal(t, e.members.entryCount(), 3, "the retry slack is shared with silent entries, too")
}

func TestRanksAreMatchedToReplicasByAddress(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.fleet.Apply([]track.KeyedRecord{{Key: "i-1", Value: []byte("10.0.0.1:80")}})
	pool := e.Pool("llm")
	e.receiveNew(gossip.Message{
		From: "side-1", Role: track.RoleAgent, Seq: 1,
		Rank: &gossip.RankStatus{Server: "10.0.0.1:80", Group: "g"},
	})
	assert.Assert(t, pool.HasBrokenGroup(), "the group isn't serving")
	e.receiveNew(gossip.Message{
		From: "side-1", Role: track.RoleAgent, Seq: 2,
		Rank: &gossip.RankStatus{Server: "10.0.0.1:80", Group: "g", GroupReady: true},
	})
	assert.Assert(t, !pool.HasBrokenGroup())
}

func TestReadyWithConfigurationAndReplicas(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	assert.Assert(t, !e.Ready())
	applyConfig(e.configHolder, "config")([]track.KeyedRecord{{Key: "config", Value: []byte("1")}})
	assert.Assert(t, !e.Ready())
	e.replicaFollower.Mirror().Replace(track.KeyedPage{End: 3})
	assert.Assert(t, e.Ready())
	e.StartDraining(proxy.Stop{EndAt: time.Now().Add(time.Minute)})
	assert.Assert(t, !e.Ready())
}

// entryNoteIn returns a message of an entry in the given zone.
func entryNoteIn(name track.InstanceID, zone track.AvailabilityZone, seq uint64) gossip.Message {
	note := entryNote(name, seq)
	note.Zone = zone
	return note
}

func TestSpeakerIsTheFirstEntryOfItsZone(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	assert.Assert(t, e.isSpeaker())
	e.receiveNew(entryNote("front-3", 1))
	e.receiveNew(entryNoteIn("front-0", "artigas", 1))
	assert.Assert(t, e.isSpeaker(), "later entries and entries of other zones don't matter")
	e.receiveNew(entryNote("front-1", 1))
	assert.Assert(t, !e.isSpeaker())
	assert.Equal(t, len(e.zoneNotes(true)), 0)
	leaving := entryNote("front-1", 2)
	leaving.Leaving = true
	e.receiveNew(leaving)
	assert.Assert(t, e.isSpeaker(), "a leaving entry is no longer the speaker")
}

func TestZonesExchangeSummaries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	local, remote := newEntry(clock), newEntry(clock)
	remote.options.Self, remote.options.Zone = "front-7", "artigas"
	// The speaker of artigas sums up the requests in flight of its zone.
	peer := entryNoteIn("front-8", "artigas", 1)
	peer.InFlight = map[track.ReplicaID]track.InFlight{"i-1": {Running: 2, Starting: 1}}
	remote.receiveNew(peer)
	remote.receiveNew(gossip.Message{
		From: "side-7", Zone: "artigas", Role: track.RoleAgent, Seq: 1,
		Rank: &gossip.RankStatus{Server: "10.0.0.1:80", Group: "g"},
	})
	crossZone := remote.composeNote(true)
	assert.Equal(t, len(crossZone.InFlight), 0, "only the summary may contain counts for other zones")
	crossZone.From, crossZone.Seq = "front-7", 1
	local.fleet.Apply([]track.KeyedRecord{{Key: "i-1", Value: []byte("10.0.0.1:80")}})
	pool := local.Pool("llm")
	local.receiveNew(crossZone)
	assert.DeepEqual(t, local.otherInFlight(), map[track.ReplicaID]track.InFlight{"i-1": {Running: 2, Starting: 1}})
	assert.Assert(t, pool.HasBrokenGroup(), "the summary contains the state of the ranks")
	// The receiver forwards the summary to the entries of its own zone, with its age.
	clock.Advance(300 * time.Millisecond)
	sameZone := local.composeNote(false)
	assert.Equal(t, len(sameZone.Zones), 1)
	assert.Equal(t, sameZone.Zones[0].Age, 300*time.Millisecond)
	// A forwarded summary doesn't overwrite a newer message from the agent itself.
	local.receiveNew(gossip.Message{
		From: "side-7", Zone: "artigas", Role: track.RoleAgent, Seq: 2,
		Rank: &gossip.RankStatus{Server: "10.0.0.1:80", Group: "g", GroupReady: true},
	})
	forwarded := entryNote("front-1", 1)
	forwarded.Zones = sameZone.Zones
	local.receiveNew(forwarded)
	assert.Assert(t, !pool.HasBrokenGroup())
	clock.Advance(gossip.PeerTimeout)
	assert.Equal(t, len(local.otherInFlight()), 0, "a summary that isn't repeated expires")
}

func TestOnlySpeakersOfOtherZonesGetMessages(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEntry(clock)
	for _, note := range []gossip.Message{entryNoteIn("front-7", "artigas", 1), entryNoteIn("front-8", "artigas", 1)} {
		e.receiveNew(note)
	}
	every := func() map[track.InstanceID]int {
		intervals := map[track.InstanceID]int{}
		for _, peer := range e.targets() {
			assert.Assert(t, peer.OtherZone)
			intervals[peer.ID] = peer.EveryNth
		}
		return intervals
	}
	assert.DeepEqual(t, every(), map[track.InstanceID]int{"front-7": speakerEvery, "front-8": speakerEvery})
	summary := entryNoteIn("front-8", "artigas", 2)
	summary.Zones = []gossip.ZoneSummary{{Zone: "artigas", Representative: "front-8"}}
	e.receiveNew(summary)
	assert.DeepEqual(t, every(), map[track.InstanceID]int{"front-8": speakerEvery})
	clock.Advance(gossip.PeerTimeout)
	assert.DeepEqual(t, every(), map[track.InstanceID]int{"front-7": speakerEvery, "front-8": speakerEvery})
}

func TestLowestRanks(t *testing.T) {
	ranks := map[track.InstanceID]int{"a": 5, "b": 0, "c": 9, "d": 2, "e": 7}
	assert.DeepEqual(t, lowestRanks(ranks), map[track.InstanceID]bool{"b": true, "d": true, "a": true})
}

func TestOnlyTheSpeakerSendsToOtherZones(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	e.receiveNew(entryNote("front-1", 1))
	otherZone := entryNote("front-9", 1)
	otherZone.Zone = "artigas"
	e.receiveNew(otherZone)
	e.receiveNew(gossip.Message{From: "side-1", Role: track.RoleAgent, Address: "side-1:1", Seq: 1})
	every := map[track.InstanceID]int{}
	for _, peer := range e.targets() {
		every[peer.ID] = peer.EveryNth
	}
	assert.DeepEqual(t, every, map[track.InstanceID]int{"front-1": 1})
}

// The list of replicas is read as often as the time to drain demands.
func TestReplicasReadInterval(t *testing.T) {
	for _, c := range []struct{ drain, want time.Duration }{
		{0, 300 * time.Millisecond},
		{2 * time.Second, 600 * time.Millisecond},
		{4 * time.Second, 1200 * time.Millisecond},
		{time.Minute, 1500 * time.Millisecond},
	} {
		assert.Equal(t, Options{DrainTimeout: c.drain}.replicasReadInterval(), c.want)
	}
}
