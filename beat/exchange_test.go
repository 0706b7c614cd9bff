package beat

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

// The targets for the time until entries stop using a leaving agent.
const (
	// agentLeaveTarget applies if the agent itself announces that it is leaving.
	agentLeaveTarget = 2 * time.Second
	// listLeaveTarget applies if only the instance list marks the agent as leaving.
	listLeaveTarget = 5 * time.Second
)

// newSteadyMesh returns a mesh of 9 entries and 12 agents in three zones that has run for
// 10 seconds.
func newSteadyMesh(topics ...track.TopicHandler) *mesh {
	m := newZones(1, 3, 9, 12, topics...)
	m.run(10 * time.Second)
	return m
}

func TestAllReplicasAreOfferedSoonAfterStart(t *testing.T) {
	t.Parallel()
	m := newZones(1, 3, 9, 12)
	m.runUntil(t, 5*time.Second, "every entry has the replicas of its zone and its spill candidates", func() bool {
		for _, n := range m.liveNodes(track.RoleEntry, "") {
			if len(n.x.Servers()) != 12 {
				return false
			}
		}
		return true
	})
}

func TestNewInstancesAreUsedBeforeTheyAreListed(t *testing.T) {
	t.Parallel()
	m := newSteadyMesh()
	newEntry := m.start(track.RoleEntry, "r0", "z0", "z0-entry-new", 1)
	newAgent := m.start(track.RoleAgent, "r0", "z0", "z0-agent-new", 1)
	m.runUntil(t, 5*time.Second, "all entries, including the new one, offer the new agent", func() bool {
		return allOffer(m.liveNodes(track.RoleEntry, "z0"), newAgent.instance.ID, true)
	})
	m.runUntil(t, 5*time.Second, "the new entry offers the replicas of its zone", func() bool {
		return len(newEntry.x.Servers()) >= 5
	})
	assert.Equal(t, len(newEntry.x.Entries()), 4)
}

func TestEmptyOrUnavailableListChangesNothing(t *testing.T) {
	t.Parallel()
	for name, breakList := range map[string]func(*mesh){
		"empty": func(m *mesh) { m.list = nil },
		"away":  func(m *mesh) { m.listUnavailable = true },
	} {
		t.Run(name, func(t *testing.T) {
			m := newSteadyMesh()
			breakList(m)
			m.run(2 * time.Minute)
			for _, n := range m.liveNodes(track.RoleEntry, "") {
				assert.Equal(t, len(n.x.Servers()), 12)
			}
			dead := m.byID["z0-agent-1"]
			dead.dead = true
			m.runUntil(t, 10*time.Second, "the killed agent is removed", func() bool {
				return allOffer(m.liveNodes(track.RoleEntry, "z0"), dead.instance.ID, false)
			})
		})
	}
}

func TestLeavingAgentGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	for name, callsLost := range map[string]bool{"announced at once": false, "first calls lost": true} {
		t.Run(name, func(t *testing.T) {
			m := newSteadyMesh()
			m.step = tickInterval
			leaving := m.byID["z0-agent-1"]
			leaving.local.Leaving = true
			if callsLost {
				m.isLost = func(from, _ *node) bool { return from == leaving }
			}
			_ = leaving.x.Leave(context.Background())
			m.isLost = nil
			m.runUntil(t, agentLeaveTarget, "removed from the pools of its own zone", func() bool {
				return allOffer(m.liveNodes(track.RoleEntry, "z0"), leaving.instance.ID, false)
			})
			m.runUntil(t, 5*time.Second, "removed from the pools of the other zones", func() bool {
				return allOffer(m.liveNodes(track.RoleEntry, ""), leaving.instance.ID, false)
			})
		})
	}
}

func TestAgentMarkedLeavingInListIsRemoved(t *testing.T) {
	t.Parallel()
	for offset := range 8 {
		m := newSteadyMesh()
		m.step = tickInterval
		m.run(time.Duration(offset) * 2 * m.step)
		leaving := m.byID["z0-agent-1"]
		leaving.instance.State = track.InstanceLeaving
		m.listAll()
		took := m.runUntil(t, listLeaveTarget, "removed from the pools of its own zone", func() bool {
			return allOffer(m.liveNodes(track.RoleEntry, "z0"), leaving.instance.ID, false)
		})
		t.Logf("offset %s: %s", time.Duration(offset)*2*m.step, took)
	}
}

func TestZonePartitionAndRecovery(t *testing.T) {
	t.Parallel()
	m := newSteadyMesh()
	inZ0 := func(n *node) bool { return n.instance.Zone == "z0" }
	m.isLost = func(from, to *node) bool { return inZ0(from) != inZ0(to) }
	inside, outside := m.byID["z0-entry-0"], m.byID["z1-entry-0"]
	m.runUntil(t, 10*time.Second, "both sides detect the partition", func() bool {
		return inside.x.View().Isolated && allOffer([]*node{outside}, "z0-agent-0", false)
	})
	m.run(2 * time.Minute)
	assert.Equal(t, len(inside.x.Servers()), 4)
	assert.Equal(t, len(outside.x.Servers()), 8)
	assert.Assert(t, !outside.x.View().Isolated)

	m.isLost = nil
	recoveredAt := m.clock.Now()
	m.runUntil(t, 10*time.Second, "both sides offer each other's replicas again", func() bool {
		return len(inside.x.Servers()) == 12 && len(outside.x.Servers()) == 12
	})
	for _, s := range inside.x.Servers() {
		rejoined := !s.Joined.Before(recoveredAt)
		assert.Equal(t, rejoined, s.Zone != "z0", "%s joined %s", s.Agent, s.Joined)
	}
}

func TestIsolatedZoneServesItself(t *testing.T) {
	t.Parallel()
	m := newSteadyMesh()
	m.isLost = func(from, to *node) bool { return from.instance.Zone != to.instance.Zone }
	m.listUnavailable = true
	m.run(2 * time.Minute)
	for _, n := range m.liveNodes(track.RoleEntry, "") {
		assert.Equal(t, len(n.x.Servers()), 4)
		assert.Assert(t, n.x.View().Isolated)
	}
}

func TestAgentKilledAndRestarted(t *testing.T) {
	t.Parallel()
	m := newSteadyMesh()
	killed := m.byID["z0-agent-1"]
	killed.dead = true
	m.runUntil(t, 6*time.Second, "the killed agent is removed", func() bool {
		return allOffer(m.liveNodes(track.RoleEntry, "z0"), killed.instance.ID, false)
	})
	restartedAt := m.clock.Now()
	restarted := m.start(track.RoleAgent, "r0", "z0", string(killed.instance.ID), 2)
	restarted.instance = killed.instance
	m.runUntil(t, 3*time.Second, "offered again with the new incarnation", func() bool {
		s, ok := m.byID["z0-entry-0"].server(killed.instance.ID)
		return ok && s.Incarnation == 2 && !s.Joined.Before(restartedAt)
	})
}

func TestPausedAgentDoesNotFlap(t *testing.T) {
	t.Parallel()
	m := newSteadyMesh()
	entry, agent := m.byID["z0-entry-0"], m.byID["z0-agent-1"]
	before, _ := entry.server(agent.instance.ID)
	for range 5 {
		agent.paused = true
		m.run(8 * time.Second)
		s, ok := entry.server(agent.instance.ID)
		assert.Assert(t, ok && s.Suspect)
		agent.paused = false
		m.run(4 * time.Second)
		s, ok = entry.server(agent.instance.ID)
		assert.Assert(t, ok && !s.Suspect)
		assert.Equal(t, s.Joined, before.Joined)
	}
}

func TestEntryPartitionedFromAllKeepsOwnZonePool(t *testing.T) {
	t.Parallel()
	m := newSteadyMesh()
	entry := m.byID["z0-entry-0"]
	m.isLost = func(from, to *node) bool { return from == entry || to == entry }
	m.run(time.Minute)
	assert.Equal(t, len(entry.x.Servers()), 4)
	assert.Assert(t, entry.x.View().MajoritySilent)
	assert.Equal(t, len(m.byID["z0-entry-1"].x.Servers()), 12)
}

// TestRollingReplacement replaces 100 instances one after the other under load, while the
// instance list is two minutes old.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	m := newSteadyMesh()
	l := newLoadGenerator(m)
	var lists [][]track.Instance
	for n := range 100 {
		role := []track.Role{track.RoleAgent, track.RoleEntry}[n%2]
		nodes := m.liveNodes(role, "")
		old := nodes[n%len(nodes)]
		m.start(role, "r0", old.instance.Zone, fmt.Sprintf("new-%d", n), 1)
		l.run(2 * time.Second)
		if role == track.RoleAgent {
			l.leavingSince[old.instance.ID] = m.clock.Now()
			old.local.Leaving = true
			_ = old.x.Leave(context.Background())
		}
		l.run(3 * time.Second)
		l.stop(old)
		m.listAll()
		lists = append(lists, m.list)
		m.list = lists[max(0, n-24)]
	}
	t.Logf("sent %d, refused as leaving %d", l.sent, l.refused)
	assert.Assert(t, l.sent > 5_000)
	assert.Equal(t, l.interrupted, 0)
	assert.Equal(t, l.refusedLate, 0)
	assert.Equal(t, l.unroutable, 0)
	m.run(10 * time.Second)
	for _, n := range m.liveNodes(track.RoleEntry, "") {
		assert.Equal(t, len(n.x.Entries()), 3)
		for _, s := range n.x.Servers() {
			assert.Assert(t, !m.byID[s.Agent].dead, "%s offers the stopped %s", n.instance.ID, s.Agent)
		}
	}
}

func TestZoneWithoutEntriesIsAdopted(t *testing.T) {
	t.Parallel()
	m := newSteadyMesh()
	for _, n := range m.liveNodes(track.RoleEntry, "z0") {
		n.dead = true
	}
	m.run(5 * time.Second)
	m.listAll()
	offeredReplicas := func() int {
		ids := make(map[track.InstanceID]bool)
		for _, n := range m.liveNodes(track.RoleEntry, "") {
			for _, s := range n.x.Servers() {
				assert.Assert(t, s.Zone != "z0" || s.Agent[:2] == "z0")
				ids[s.Agent] = true
			}
		}
		return len(ids)
	}
	m.runUntil(t, time.Minute, "entries of other zones offer the zone's replicas", func() bool {
		return offeredReplicas() == 12
	})
	restarted := m.start(track.RoleEntry, "r0", "z0", "z0-entry-back", 1)
	m.listAll()
	m.run(time.Minute)
	assert.Equal(t, len(restarted.x.Servers()), 12)
	for _, n := range m.liveNodes(track.RoleEntry, "") {
		assert.Equal(t, len(n.x.Servers()), 12, "%s", n.instance.ID)
	}
}

func TestAdoptedAgentsRespondToUnlistedEntry(t *testing.T) {
	t.Parallel()
	m := newZones(1, 3, 0, 12)
	m.run(10 * time.Second)
	entry := m.start(track.RoleEntry, "r0", "z0", "z0-entry", 1)
	m.run(10 * time.Second)
	for range 20 {
		m.run(m.step)
		assert.Equal(t, len(entry.x.Servers()), 12)
		for _, p := range entry.x.View().Peers {
			assert.Assert(t, p.Silence < 2*time.Second, "%s silent for %s", p.ID, p.Silence)
		}
	}
}

func TestNoticesReachEachEntryOnce(t *testing.T) {
	t.Parallel()
	m := newMesh()
	received := make(map[track.InstanceID][]string)
	var notices []*Notices
	for n := range 3 {
		gossip := NewNotices(track.TopicUsage, track.TopicQuarantine)
		node := m.start(track.RoleEntry, "r0", "z0", fmt.Sprintf("entry-%d", n), 1, gossip.Handlers()...)
		gossip.SendImmediately(track.TopicQuarantine, node.x)
		gossip.Subscribe(track.TopicQuarantine, func(n track.Notice) {
			received[node.instance.ID] = append(received[node.instance.ID], string(n.From)+":"+string(n.Data))
		})
		notices = append(notices, gossip)
	}
	m.listAll()
	m.run(5 * time.Second)
	// Even if many notices are published at once, the latest is sent without delay.
	for n := range 100 {
		notices[0].Publish(track.Notice{Topic: track.TopicQuarantine, Data: fmt.Append(nil, n)})
	}
	m.run(m.step)
	want := []string{"entry-0:99"}
	assert.DeepEqual(t, received, map[track.InstanceID][]string{"entry-1": want, "entry-2": want})
	m.run(10 * time.Second)
	assert.DeepEqual(t, received, map[track.InstanceID][]string{"entry-1": want, "entry-2": want})
}

func TestRegularPeersAndKnownInstances(t *testing.T) {
	t.Parallel()
	m := newSteadyMesh()
	x := m.byID["z0-entry-0"].x
	assert.Equal(t, len(x.RegularPeers()), 4)
	entries, agents := 0, 0
	for _, i := range x.KnownInstances() {
		assert.Assert(t, i.ID != "z0-entry-0")
		if i.Role == track.RoleEntry {
			entries++
			continue
		}
		assert.Equal(t, string(i.Zone), "z0")
		agents++
	}
	assert.Equal(t, entries, len(m.liveNodes(track.RoleEntry, ""))-1)
	assert.Equal(t, agents, len(m.liveNodes(track.RoleAgent, "z0")))
}

func TestSummariesReachOtherZones(t *testing.T) {
	t.Parallel()
	m := newMesh()
	received := make(map[track.InstanceID]map[track.AvailabilityZone]string)
	for n := range 3 {
		gossip := NewNotices(track.TopicUsage)
		zone := track.AvailabilityZone(fmt.Sprint("z", n))
		gossip.Summarize(track.TopicUsage, func() []byte { return []byte("demand of " + zone) })
		id := track.InstanceID(fmt.Sprint("entry-", n))
		received[id] = make(map[track.AvailabilityZone]string)
		gossip.Subscribe(track.TopicUsage, func(n track.Notice) { received[id][n.Zone] = string(n.Data) })
		m.start(track.RoleEntry, "r0", zone, string(id), 1, gossip.Handlers()...)
	}
	m.listAll()
	m.run(10 * time.Second)
	assert.DeepEqual(t, received, map[track.InstanceID]map[track.AvailabilityZone]string{
		"entry-0": {"z1": "demand of z1", "z2": "demand of z2"},
		"entry-1": {"z0": "demand of z0", "z2": "demand of z2"},
		"entry-2": {"z0": "demand of z0", "z1": "demand of z1"},
	})
}

// fakeTopic is a topic handler that offers a fixed payload and counts the payloads it
// receives. Its response to a fetch request has track.MaxFetchBytes - 10 bytes plus the
// value of the first request byte.
type fakeTopic struct {
	name     track.Topic
	data     []byte
	received map[track.InstanceID]int
}

func (f *fakeTopic) Topic() track.Topic                      { return f.name }
func (f *fakeTopic) PayloadsFor(track.Instance) [][]byte     { return [][]byte{f.data} }
func (f *fakeTopic) Receive(from track.InstanceID, _ []byte) { f.received[from]++ }
func (f *fakeTopic) Fetch(_ track.InstanceID, request []byte) ([]byte, error) {
	if len(request) == 0 {
		return nil, errors.New("request is empty")
	}
	return make([]byte, track.MaxFetchBytes-10+int(request[0])), nil
}

func TestPayloadsAndFetches(t *testing.T) {
	t.Parallel()
	good := &fakeTopic{name: "good", data: []byte("x"), received: make(map[track.InstanceID]int)}
	large := &fakeTopic{
		name: "large", data: make([]byte, track.MaxPayloadBytes+1), received: make(map[track.InstanceID]int),
	}
	m := newSteadyMesh(good, large)
	assert.Assert(t, good.received["z0-entry-0"] >= 9, "%v", good.received)
	assert.Equal(t, len(large.received), 0)

	x := m.byID["z0-entry-0"].x
	fetch := func(to track.InstanceID, topic track.Topic, data ...byte) error {
		_, err := x.Ask(context.Background(), to, track.Payload{Topic: topic, Data: data})
		return err
	}
	assert.NilError(t, fetch("z1-entry-0", "good", 10))
	assert.Assert(t, track.IsKind(fetch("z1-entry-0", "good", 11), TooLarge))
	assert.Assert(t, track.IsKind(fetch("z1-entry-0", "good"), track.Refused))
	assert.Assert(t, track.IsKind(fetch("z1-entry-0", "none", 1), UnknownTopic))
	assert.Assert(t, track.IsKind(fetch("nobody", "good", 1), UnknownPeer))
}

func TestRunEndsWithItsContext(t *testing.T) {
	t.Parallel()
	m := newZones(1, 1, 1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.nodes[0].x.Run(ctx) }()
	assert.NilError(t, m.clock.BlockUntilContext(ctx, 1))
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
}
