package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/member"
)

// startTime is the time at which the tests begin.
var startTime = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// fixture holds the membership state of one entry and a simulated time.
type fixture struct {
	now   time.Time
	state *member.State
	// seqs holds the latest heartbeat sequence number of each agent.
	seqs map[track.InstanceID]uint64
	// eventKinds holds the kinds of all events since the start.
	eventKinds []member.EventKind
}

func newFixture() *fixture {
	f := &fixture{now: startTime, seqs: make(map[track.InstanceID]uint64)}
	f.state = member.New(entry("entry-1", "kl-a"), 1, member.DefaultTiming())
	f.state.Tick(f.now)
	return f
}

func entry(id track.InstanceID, zone track.AvailabilityZone) track.Instance {
	return track.Instance{
		ID: id, Role: track.RoleEntry, Region: "kl-region", Zone: zone,
		Address: string(id) + ":1", State: track.InstanceLive,
	}
}

func agent(id track.InstanceID) track.Instance {
	i := entry(id, "kl-a")
	i.Role = track.RoleAgent
	i.Serves = "tempo-llm"
	return i
}

// heartbeat delivers the next heartbeat of an agent at the given incarnation.
func (f *fixture) heartbeat(id track.InstanceID, incarnation track.Incarnation) error {
	f.seqs[id]++
	return f.state.HandleHeartbeat(f.now, track.Heartbeat{
		From: agent(id), Incarnation: incarnation, Seq: f.seqs[id], Up: true,
	})
}

// advance advances the time in steps of a second. The given agents send a heartbeat at
// incarnation 1 in each step.
func (f *fixture) advance(d time.Duration, heard ...track.InstanceID) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Second)
		for _, id := range heard {
			_ = f.heartbeat(id, 1)
		}
		f.state.Tick(f.now)
		for _, e := range f.state.TakeEvents() {
			f.eventKinds = append(f.eventKinds, e.Kind)
		}
	}
}

// servers returns the IDs of the agents whose replicas may get new work.
func (f *fixture) servers() []track.InstanceID {
	ids := []track.InstanceID{}
	for _, s := range f.state.Servers() {
		ids = append(ids, s.Agent)
	}
	return ids
}

func (f *fixture) server(t *testing.T, id track.InstanceID) track.BackendServer {
	t.Helper()
	for _, s := range f.state.Servers() {
		if s.Agent == id {
			return s
		}
	}
	t.Fatalf("%s is not in service", id)
	return track.BackendServer{}
}

type ids = []track.InstanceID

func TestSuspectPeerStaysInService(t *testing.T) {
	f := newFixture()
	f.advance(5*time.Second, "a", "b", "c")
	joined := f.server(t, "c").Joined
	f.advance(10*time.Second, "a", "b")
	assert.DeepEqual(t, f.servers(), ids{"a", "b", "c"})
	assert.Assert(t, f.server(t, "c").Suspect)
	f.advance(2*time.Second, "a", "b", "c")
	assert.Assert(t, !f.server(t, "c").Suspect)
	assert.Equal(t, f.server(t, "c").Joined, joined)
}

func TestRemovedPeerJoinsAnewOnReturn(t *testing.T) {
	f := newFixture()
	f.advance(5*time.Second, "a", "b", "c")
	f.advance(16*time.Second, "a", "b")
	assert.DeepEqual(t, f.servers(), ids{"a", "b"})
	f.advance(time.Second, "a", "b", "c")
	assert.Equal(t, f.server(t, "c").Joined, f.now)
}

func TestRefusedConnectionRemovesSuspectPeer(t *testing.T) {
	f := newFixture()
	f.advance(5*time.Second, "a", "b", "c")
	f.state.HandleConnectionRefused("c")
	assert.DeepEqual(t, f.servers(), ids{"a", "b", "c"})
	f.advance(4*time.Second, "a", "b")
	f.state.HandleConnectionRefused("c")
	assert.DeepEqual(t, f.servers(), ids{"a", "b"})
}

func TestMajoritySilentRemovesNoAgent(t *testing.T) {
	f := newFixture()
	f.advance(5*time.Second, "a", "b", "c")
	f.advance(time.Hour, "a")
	assert.DeepEqual(t, f.servers(), ids{"a", "b", "c"})
	assert.Assert(t, f.state.View(f.now).MajoritySilent)
	// A list read after the silence began still removes silent agents that it no longer
	// contains.
	f.state.UpdateList(f.now, []track.Instance{entry("entry-1", "kl-a"), agent("a"), agent("b")})
	assert.DeepEqual(t, f.servers(), ids{"a", "b"})
}

func TestOwnPauseMakesNoPeerSuspect(t *testing.T) {
	f := newFixture()
	f.advance(5*time.Second, "a", "b", "c")
	f.now = f.now.Add(time.Minute)
	f.state.Tick(f.now)
	for _, s := range f.state.Servers() {
		assert.Assert(t, !s.Suspect, s.Agent)
	}
	assert.Equal(t, len(f.servers()), 3)
}

func TestStaleHeartbeatsAreRejected(t *testing.T) {
	f := newFixture()
	assert.NilError(t, f.heartbeat("a", 1))
	f.now = f.now.Add(time.Minute)
	assert.NilError(t, f.state.HandleHeartbeat(f.now, track.Heartbeat{From: agent("a"), Incarnation: 2, Seq: 1, Up: true}))
	assert.Equal(t, f.server(t, "a").Joined, f.now)

	for name, stale := range map[string]track.Heartbeat{
		"old incarnation": {From: agent("a"), Incarnation: 1, Seq: 99, Leaving: true, Up: true},
		"repeated":        {From: agent("a"), Incarnation: 2, Seq: 1, Leaving: true, Up: true},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, member.IsStale(f.state.HandleHeartbeat(f.now, stale)))
			assert.Equal(t, f.server(t, "a").Incarnation, track.Incarnation(2))
		})
	}
	t.Run("old incarnation after removal", func(t *testing.T) {
		f.advance(5*time.Second, "b", "c")
		f.state.HandleConnectionRefused("a")
		stale := track.Heartbeat{From: agent("a"), Incarnation: 1, Seq: 100, Up: true}
		assert.Assert(t, member.IsStale(f.state.HandleHeartbeat(f.now, stale)))
		assert.DeepEqual(t, f.servers(), ids{"b", "c"})
	})
	t.Run("refusal by an old incarnation", func(t *testing.T) {
		f.state.HandleLeavingRefusal("b", 0)
		assert.DeepEqual(t, f.servers(), ids{"b", "c"})
	})
}

func TestHeartbeatFromWrongSenderIsRejected(t *testing.T) {
	f := newFixture()
	for kind, from := range map[member.Kind]track.Instance{
		member.WrongZone:   entry("entry-9", "kl-b"),
		member.DuplicateID: entry("entry-1", "kl-a"),
	} {
		err := f.state.HandleHeartbeat(f.now, track.Heartbeat{From: from, Incarnation: 1, Seq: 1})
		assert.Assert(t, track.IsKind(err, kind), "%v", err)
	}
}

func TestLeavingHoldsUntilNextIncarnation(t *testing.T) {
	f := newFixture()
	f.advance(2*time.Second, "a", "b")
	f.seqs["a"]++
	assert.NilError(t, f.state.HandleHeartbeat(f.now, track.Heartbeat{
		From: agent("a"), Incarnation: 1, Seq: f.seqs["a"], Leaving: true, Up: true,
	}))
	assert.DeepEqual(t, f.servers(), ids{"b"})
	f.advance(time.Minute, "a", "b")
	assert.DeepEqual(t, f.servers(), ids{"b"})
	assert.NilError(t, f.heartbeat("a", 2))
	assert.DeepEqual(t, f.servers(), ids{"a", "b"})
}

func TestLeavingMarksOfListHoldUntilExpiry(t *testing.T) {
	f := newFixture()
	f.advance(2*time.Second, "a", "b")
	leaving := agent("a")
	leaving.State = track.InstanceLeaving
	f.state.UpdateList(f.now, []track.Instance{leaving, agent("b")})
	assert.DeepEqual(t, f.servers(), ids{"b"})
	assert.DeepEqual(t, f.state.ListedLeaving(), ids{"a"})
	// An older copy of the list does not revoke the mark.
	f.state.UpdateList(f.now, []track.Instance{agent("a"), agent("b")})
	assert.DeepEqual(t, f.servers(), ids{"b"})
	f.advance(61*time.Second, "a", "b")
	assert.DeepEqual(t, f.servers(), ids{"a", "b"})
	// A mark that a peer read has the same effect, but is not passed on.
	f.seqs["b"]++
	assert.NilError(t, f.state.HandleHeartbeat(f.now, track.Heartbeat{
		From: agent("b"), Incarnation: 1, Seq: f.seqs["b"], Up: true, ListedLeaving: ids{"a"},
	}))
	assert.DeepEqual(t, f.servers(), ids{"b"})
	assert.Equal(t, len(f.state.ListedLeaving()), 0)
}

func TestListDoesNotRemoveHeardPeers(t *testing.T) {
	f := newFixture()
	full := []track.Instance{entry("entry-1", "kl-a"), agent("a"), agent("b"), agent("c"), entry("entry-2", "kl-a")}
	f.state.UpdateList(f.now, full)
	f.advance(2*time.Second, "a", "b", "c")
	for name, list := range map[string][]track.Instance{
		"empty": nil, "shrunk": full[:1], "lagging": full[:3],
	} {
		t.Run(name, func(t *testing.T) {
			f.state.UpdateList(f.now, list)
			assert.DeepEqual(t, f.servers(), ids{"a", "b", "c"})
		})
	}
}

func TestShrunkListIsAcceptedAfterDelay(t *testing.T) {
	f := newFixture()
	f.state.UpdateList(f.now, []track.Instance{
		entry("entry-1", "kl-a"), entry("entry-2", "kl-a"), entry("entry-3", "kl-a"),
	})
	short := []track.Instance{entry("entry-1", "kl-a")}
	f.state.UpdateList(f.now, short)
	assert.Equal(t, len(f.state.HeartbeatTargets()), 2)
	f.advance(11 * time.Minute)
	f.state.UpdateList(f.now, short)
	assert.Equal(t, len(f.state.HeartbeatTargets()), 0)
}

func TestEmptyListIsIgnored(t *testing.T) {
	f := newFixture()
	f.state.UpdateList(f.now, []track.Instance{entry("entry-1", "kl-a"), entry("entry-2", "kl-a")})
	for range 3 {
		f.state.UpdateList(f.now, nil)
		f.advance(11 * time.Minute)
	}
	assert.Equal(t, len(f.state.HeartbeatTargets()), 1)
}

func TestListedAgentIsNotInServiceUntilHeard(t *testing.T) {
	f := newFixture()
	f.state.UpdateList(f.now, []track.Instance{agent("a")})
	assert.Equal(t, len(f.servers()), 0)
	assert.Equal(t, f.state.HeartbeatTargets()[0].Instance.ID, track.InstanceID("a"))
}

func TestAgentIsNotInServiceWhileBackendServerIsDown(t *testing.T) {
	f := newFixture()
	f.advance(2*time.Second, "a", "b")
	f.seqs["a"]++
	assert.NilError(t, f.state.HandleHeartbeat(f.now, track.Heartbeat{From: agent("a"), Incarnation: 1, Seq: f.seqs["a"]}))
	assert.DeepEqual(t, f.servers(), ids{"b"})
	f.advance(time.Second, "a", "b")
	assert.Equal(t, f.server(t, "a").Joined, f.now)
}

func TestIntervalGrowsWithNumberOfAgents(t *testing.T) {
	for agents, want := range map[int]time.Duration{1: time.Second, 20: time.Second, 58: 2900 * time.Millisecond} {
		f := newFixture()
		for n := range agents {
			assert.NilError(t, f.heartbeat(track.InstanceID(fmt.Sprintf("a-%d", n)), 1))
		}
		assert.Equal(t, f.state.Interval(), want)
	}
}

func newDigest(zone track.AvailabilityZone, hash uint64, candidates ...track.Candidate) track.Digest {
	return track.Digest{
		Zone: zone, CandidatesHash: hash, Candidates: candidates,
		Targets: []track.TargetDigest{{Target: "tempo-llm", Ready: 2, Running: 8, Capacity: 32}},
	}
}

func TestUnreachableZoneGetsNoWorkAndJoinsAnew(t *testing.T) {
	f := newFixture()
	remote := track.Candidate{Agent: "r", Incarnation: 3, Address: "r:1", Target: "tempo-llm"}
	f.state.UpdateList(f.now, []track.Instance{entry("entry-1", "kl-a"), entry("entry-2", "kl-b")})
	f.state.HandleDigest(f.now, true, newDigest("kl-b", 7, remote))
	assert.DeepEqual(t, f.servers(), ids{"r"})
	assert.Equal(t, f.server(t, "r").Load.Capacity, 16)
	f.advance(4 * time.Second)
	assert.DeepEqual(t, f.servers(), ids{"r"})
	f.advance(time.Second)
	assert.Equal(t, len(f.servers()), 0)
	assert.Assert(t, f.state.Isolated())
	f.advance(time.Minute)
	f.state.HandleDigest(f.now, true, newDigest("kl-b", 7))
	assert.Equal(t, f.server(t, "r").Joined, f.now)
	assert.Assert(t, !f.state.Isolated())
}

func TestCandidateIncarnationNeverDecreases(t *testing.T) {
	f := newFixture()
	remote := track.Candidate{Agent: "r", Incarnation: 3, Target: "tempo-llm"}
	f.state.HandleDigest(f.now, true, newDigest("kl-b", 7, remote))
	f.state.HandleLeavingRefusal("r", 3)
	assert.Equal(t, len(f.servers()), 0)
	remote.Incarnation = 2
	f.state.HandleDigest(f.now, true, newDigest("kl-b", 8, remote))
	assert.Equal(t, len(f.servers()), 0)
	remote.Incarnation = 4
	f.state.HandleDigest(f.now, true, newDigest("kl-b", 9, remote))
	assert.Equal(t, f.server(t, "r").Incarnation, track.Incarnation(4))
}

func TestDigestSpreadsCandidates(t *testing.T) {
	f := newFixture()
	for n := range 40 {
		assert.NilError(t, f.heartbeat(track.InstanceID(fmt.Sprintf("a-%d", n)), 1))
	}
	offers := make(map[track.InstanceID]int)
	for n := range 100 {
		q := track.DigestQuery{From: entry(track.InstanceID(fmt.Sprintf("far-%d", n)), "kl-b"), Limit: 4}
		d := f.state.Digest(q)
		assert.Equal(t, len(d.Candidates), 4)
		for _, c := range d.Candidates {
			offers[c.Agent]++
		}
		q.CandidatesHash = d.CandidatesHash
		assert.Equal(t, len(f.state.Digest(q).Candidates), 0)
	}
	for id, n := range offers {
		assert.Assert(t, n <= 30, "%s was offered to %d of 100 entries, an even share is 10", id, n)
	}
	assert.Assert(t, len(offers) >= 35, "only %d of 40 replicas offered", len(offers))
}

func TestEntriesTakeTurnsReadingList(t *testing.T) {
	var states []*member.State
	for n := range 3 {
		states = append(states, member.New(entry(track.InstanceID(fmt.Sprintf("entry-%d", n)), "kl-a"), 1, member.DefaultTiming()))
	}
	turns := make([]int, 3)
	for tick := range 480 {
		now := startTime.Add(time.Duration(tick) * 250 * time.Millisecond)
		for n, s := range states {
			if s.TakeListTurn(now) {
				turns[n]++
			}
			s.UpdateList(now, []track.Instance{entry("entry-0", "kl-a")})
			for m, other := range states {
				if m != n {
					from, incarnation := other.Self()
					_ = s.HandleHeartbeat(now, track.Heartbeat{From: from, Incarnation: incarnation, Seq: uint64(tick + 1)})
				}
			}
		}
	}
	// There are 30 turns in 120 s, and each entry also reads the list when it starts.
	assert.DeepEqual(t, turns, []int{11, 11, 11})
}
