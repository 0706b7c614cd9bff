package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/member"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// world drives the state of one entry on a fake time.
type world struct {
	now   time.Time
	state *member.State
	seqs  map[track.InstanceID]uint64
	kinds []member.EventKind
}

func newWorld() *world {
	w := &world{now: start, seqs: make(map[track.InstanceID]uint64)}
	w.state = member.New(entry("entry-1", "kl-a"), 1, member.DefaultTiming())
	w.state.Tick(w.now)
	return w
}

func entry(id track.InstanceID, zone track.AvailabilityZone) track.Instance {
	return track.Instance{
		ID: id, Role: track.RoleEntry, Region: "kl-region", Zone: zone,
		Address: string(id) + ":1", State: track.Live,
	}
}

func agent(id track.InstanceID) track.Instance {
	i := entry(id, "kl-a")
	i.Role = track.RoleAgent
	i.Serves = "tempo-llm"
	return i
}

// beat lets an agent be heard at an incarnation.
func (w *world) beat(id track.InstanceID, inc track.Incarnation) error {
	w.seqs[id]++
	return w.state.Heard(w.now, track.Heartbeat{From: agent(id), Incarnation: inc, Seq: w.seqs[id], Up: true})
}

// pass lets time pass with the given agents heard every second.
func (w *world) pass(d time.Duration, heard ...track.InstanceID) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(time.Second)
		for _, id := range heard {
			_ = w.beat(id, 1)
		}
		w.state.Tick(w.now)
		for _, e := range w.state.TakeEvents() {
			w.kinds = append(w.kinds, e.Kind)
		}
	}
}

func (w *world) pool() []track.InstanceID {
	ids := []track.InstanceID{}
	for _, s := range w.state.Servers() {
		ids = append(ids, s.Agent)
	}
	return ids
}

func (w *world) server(t *testing.T, id track.InstanceID) track.BackendServer {
	t.Helper()
	for _, s := range w.state.Servers() {
		if s.Agent == id {
			return s
		}
	}
	t.Fatalf("%s is not in the pool", id)
	return track.BackendServer{}
}

type ids = []track.InstanceID

func TestPausedPeerStaysInThePool(t *testing.T) {
	w := newWorld()
	w.pass(5*time.Second, "a", "b", "c")
	joined := w.server(t, "c").Joined
	w.pass(10*time.Second, "a", "b")
	assert.DeepEqual(t, w.pool(), ids{"a", "b", "c"})
	assert.Assert(t, w.server(t, "c").Suspect)
	w.pass(2*time.Second, "a", "b", "c")
	assert.Assert(t, !w.server(t, "c").Suspect)
	assert.Equal(t, w.server(t, "c").Joined, joined)
}

func TestSilentPeerIsRemovedAndRampedUpOnReturn(t *testing.T) {
	w := newWorld()
	w.pass(5*time.Second, "a", "b", "c")
	w.pass(16*time.Second, "a", "b")
	assert.DeepEqual(t, w.pool(), ids{"a", "b"})
	w.pass(time.Second, "a", "b", "c")
	assert.Equal(t, w.server(t, "c").Joined, w.now)
}

func TestRefusedConnectionRemovesASuspectAtOnce(t *testing.T) {
	w := newWorld()
	w.pass(5*time.Second, "a", "b", "c")
	w.state.NoListener("c")
	assert.DeepEqual(t, w.pool(), ids{"a", "b", "c"})
	w.pass(4*time.Second, "a", "b")
	w.state.NoListener("c")
	assert.DeepEqual(t, w.pool(), ids{"a", "b"})
}

func TestMostAgentsSilentRemovesNone(t *testing.T) {
	w := newWorld()
	w.pass(5*time.Second, "a", "b", "c")
	w.pass(time.Hour, "a")
	assert.DeepEqual(t, w.pool(), ids{"a", "b", "c"})
	assert.Assert(t, w.state.View(w.now).MostSilent)
	// A list read after the silence began still removes what it no longer holds.
	w.state.Listed(w.now, []track.Instance{entry("entry-1", "kl-a"), agent("a"), agent("b")})
	assert.DeepEqual(t, w.pool(), ids{"a", "b"})
}

func TestOwnPauseSuspectsNobody(t *testing.T) {
	w := newWorld()
	w.pass(5*time.Second, "a", "b", "c")
	w.now = w.now.Add(time.Minute)
	w.state.Tick(w.now)
	for _, s := range w.state.Servers() {
		assert.Assert(t, !s.Suspect, s.Agent)
	}
	assert.Equal(t, len(w.pool()), 3)
}

func TestIncarnations(t *testing.T) {
	w := newWorld()
	assert.NilError(t, w.beat("a", 1))
	w.now = w.now.Add(time.Minute)
	assert.NilError(t, w.state.Heard(w.now, track.Heartbeat{From: agent("a"), Incarnation: 2, Seq: 1, Up: true}))
	assert.Equal(t, w.server(t, "a").Joined, w.now)

	for name, late := range map[string]track.Heartbeat{
		"old incarnation": {From: agent("a"), Incarnation: 1, Seq: 99, Leaving: true, Up: true},
		"repeated":        {From: agent("a"), Incarnation: 2, Seq: 1, Leaving: true, Up: true},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, member.IsStale(w.state.Heard(w.now, late)))
			assert.Equal(t, w.server(t, "a").Incarnation, track.Incarnation(2))
		})
	}
	t.Run("old incarnation after removal", func(t *testing.T) {
		w.pass(5*time.Second, "b", "c")
		w.state.NoListener("a")
		late := track.Heartbeat{From: agent("a"), Incarnation: 1, Seq: 100, Up: true}
		assert.Assert(t, member.IsStale(w.state.Heard(w.now, late)))
		assert.DeepEqual(t, w.pool(), ids{"b", "c"})
	})
	t.Run("refusal by an old incarnation", func(t *testing.T) {
		w.state.RefusedLeaving("b", 0)
		assert.DeepEqual(t, w.pool(), ids{"b", "c"})
	})
}

func TestStrangersAreRefused(t *testing.T) {
	w := newWorld()
	for kind, from := range map[member.Kind]track.Instance{
		member.WrongZone: entry("entry-9", "kl-b"),
		member.SameID:    entry("entry-1", "kl-a"),
	} {
		err := w.state.Heard(w.now, track.Heartbeat{From: from, Incarnation: 1, Seq: 1})
		assert.Assert(t, track.IsKind(err, kind), "%v", err)
	}
}

func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	w := newWorld()
	w.pass(2*time.Second, "a", "b")
	w.seqs["a"]++
	assert.NilError(t, w.state.Heard(w.now, track.Heartbeat{
		From: agent("a"), Incarnation: 1, Seq: w.seqs["a"], Leaving: true, Up: true,
	}))
	assert.DeepEqual(t, w.pool(), ids{"b"})
	w.pass(time.Minute, "a", "b")
	assert.DeepEqual(t, w.pool(), ids{"b"})
	assert.NilError(t, w.beat("a", 2))
	assert.DeepEqual(t, w.pool(), ids{"a", "b"})
}

func TestListMarksHold(t *testing.T) {
	w := newWorld()
	w.pass(2*time.Second, "a", "b")
	leaving := agent("a")
	leaving.State = track.Leaving
	w.state.Listed(w.now, []track.Instance{leaving, agent("b")})
	assert.DeepEqual(t, w.pool(), ids{"b"})
	assert.DeepEqual(t, w.state.Marked(), ids{"a"})
	// An older copy of the list does not take the mark back.
	w.state.Listed(w.now, []track.Instance{agent("a"), agent("b")})
	assert.DeepEqual(t, w.pool(), ids{"b"})
	w.pass(61*time.Second, "a", "b")
	assert.DeepEqual(t, w.pool(), ids{"a", "b"})
	// A mark that another entry read counts as much, and is not told on.
	w.seqs["b"]++
	assert.NilError(t, w.state.Heard(w.now, track.Heartbeat{
		From: agent("b"), Incarnation: 1, Seq: w.seqs["b"], Up: true, Marked: ids{"a"},
	}))
	assert.DeepEqual(t, w.pool(), ids{"b"})
	assert.Equal(t, len(w.state.Marked()), 0)
}

func TestListTakesNobodyWhoIsHeard(t *testing.T) {
	w := newWorld()
	full := []track.Instance{entry("entry-1", "kl-a"), agent("a"), agent("b"), agent("c"), entry("entry-2", "kl-a")}
	w.state.Listed(w.now, full)
	w.pass(2*time.Second, "a", "b", "c")
	for name, list := range map[string][]track.Instance{
		"empty": nil, "shrunk": full[:1], "lagging": full[:3],
	} {
		t.Run(name, func(t *testing.T) {
			w.state.Listed(w.now, list)
			assert.DeepEqual(t, w.pool(), ids{"a", "b", "c"})
		})
	}
}

func TestShrunkListKeepsContactsForAWhile(t *testing.T) {
	w := newWorld()
	w.state.Listed(w.now, []track.Instance{entry("entry-1", "kl-a"), entry("entry-2", "kl-a"), entry("entry-3", "kl-a")})
	short := []track.Instance{entry("entry-1", "kl-a")}
	w.state.Listed(w.now, short)
	assert.Equal(t, len(w.state.Contacts()), 2)
	w.pass(11 * time.Minute)
	w.state.Listed(w.now, short)
	assert.Equal(t, len(w.state.Contacts()), 0)
}

func TestEmptyListIsNeverBelieved(t *testing.T) {
	w := newWorld()
	w.state.Listed(w.now, []track.Instance{entry("entry-1", "kl-a"), entry("entry-2", "kl-a")})
	for range 3 {
		w.state.Listed(w.now, nil)
		w.pass(11 * time.Minute)
	}
	assert.Equal(t, len(w.state.Contacts()), 1)
}

func TestListedAgentAloneIsNotInService(t *testing.T) {
	w := newWorld()
	w.state.Listed(w.now, []track.Instance{agent("a")})
	assert.Equal(t, len(w.pool()), 0)
	assert.Equal(t, w.state.Contacts()[0].Instance.ID, track.InstanceID("a"))
}

func TestBackendServerDownLeavesThePool(t *testing.T) {
	w := newWorld()
	w.pass(2*time.Second, "a", "b")
	w.seqs["a"]++
	assert.NilError(t, w.state.Heard(w.now, track.Heartbeat{From: agent("a"), Incarnation: 1, Seq: w.seqs["a"]}))
	assert.DeepEqual(t, w.pool(), ids{"b"})
	w.pass(time.Second, "a", "b")
	assert.Equal(t, w.server(t, "a").Joined, w.now)
}

func TestIntervalStretchesWithTheZone(t *testing.T) {
	for agents, want := range map[int]time.Duration{1: time.Second, 20: time.Second, 58: 2900 * time.Millisecond} {
		w := newWorld()
		for n := range agents {
			assert.NilError(t, w.beat(track.InstanceID(fmt.Sprintf("a-%d", n)), 1))
		}
		assert.Equal(t, w.state.Interval(), want)
	}
}

func digestOf(zone track.AvailabilityZone, hash uint64, candidates ...track.Candidate) track.Digest {
	return track.Digest{
		Zone: zone, CandidatesHash: hash, Candidates: candidates,
		Targets: []track.TargetDigest{{Target: "tempo-llm", Ready: 2, Running: 8, Capacity: 32}},
	}
}

func TestCutZoneIsNotOfferedAndHealsAsNew(t *testing.T) {
	w := newWorld()
	remote := track.Candidate{Agent: "r", Incarnation: 3, Address: "r:1", Target: "tempo-llm"}
	w.state.Listed(w.now, []track.Instance{entry("entry-1", "kl-a"), entry("entry-2", "kl-b")})
	w.state.Digested(w.now, true, digestOf("kl-b", 7, remote))
	assert.DeepEqual(t, w.pool(), ids{"r"})
	assert.Equal(t, w.server(t, "r").Load.Capacity, 16)
	w.pass(4 * time.Second)
	assert.DeepEqual(t, w.pool(), ids{"r"})
	w.pass(time.Second)
	assert.Equal(t, len(w.pool()), 0)
	assert.Assert(t, w.state.Isolated())
	w.pass(time.Minute)
	w.state.Digested(w.now, true, digestOf("kl-b", 7))
	assert.Equal(t, w.server(t, "r").Joined, w.now)
	assert.Assert(t, !w.state.Isolated())
}

func TestCandidatesKeepTheirIncarnation(t *testing.T) {
	w := newWorld()
	remote := track.Candidate{Agent: "r", Incarnation: 3, Target: "tempo-llm"}
	w.state.Digested(w.now, true, digestOf("kl-b", 7, remote))
	w.state.RefusedLeaving("r", 3)
	assert.Equal(t, len(w.pool()), 0)
	remote.Incarnation = 2
	w.state.Digested(w.now, true, digestOf("kl-b", 8, remote))
	assert.Equal(t, len(w.pool()), 0)
	remote.Incarnation = 4
	w.state.Digested(w.now, true, digestOf("kl-b", 9, remote))
	assert.Equal(t, w.server(t, "r").Incarnation, track.Incarnation(4))
}

func TestDigestSpreadsCandidates(t *testing.T) {
	w := newWorld()
	for n := range 40 {
		assert.NilError(t, w.beat(track.InstanceID(fmt.Sprintf("a-%d", n)), 1))
	}
	used := make(map[track.InstanceID]int)
	for n := range 100 {
		q := track.DigestQuery{From: entry(track.InstanceID(fmt.Sprintf("far-%d", n)), "kl-b"), Limit: 4}
		d := w.state.Digest(q)
		assert.Equal(t, len(d.Candidates), 4)
		for _, c := range d.Candidates {
			used[c.Agent]++
		}
		q.Known = d.CandidatesHash
		assert.Equal(t, len(w.state.Digest(q).Candidates), 0)
	}
	for id, n := range used {
		assert.Assert(t, n <= 30, "%s was offered to %d of 100 entries, a fair share is 10", id, n)
	}
	assert.Assert(t, len(used) >= 35, "only %d of 40 replicas offered", len(used))
}

func TestEntriesTakeTurnsAtTheList(t *testing.T) {
	var states []*member.State
	for n := range 3 {
		states = append(states, member.New(entry(track.InstanceID(fmt.Sprintf("entry-%d", n)), "kl-a"), 1, member.DefaultTiming()))
	}
	turns := make([]int, 3)
	for tick := range 480 {
		now := start.Add(time.Duration(tick) * 250 * time.Millisecond)
		for n, s := range states {
			if s.ListDue(now) {
				turns[n]++
			}
			s.Listed(now, []track.Instance{entry("entry-0", "kl-a")})
			for m, other := range states {
				if m != n {
					from, inc := other.Self()
					_ = s.Heard(now, track.Heartbeat{From: from, Incarnation: inc, Seq: uint64(tick + 1)})
				}
			}
		}
	}
	// 120 s are 30 turns, and each reads once at its start.
	assert.DeepEqual(t, turns, []int{11, 11, 11})
}
