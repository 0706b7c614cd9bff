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

// The stated targets.
const (
	agentLeaveTarget = 2 * time.Second
	listLeaveTarget  = 5 * time.Second
)

// today returns a mesh of today's size: 9 entries and 12 agents in three zones.
func today(topics ...track.TopicHandler) *mesh {
	m := newZones(1, 3, 9, 12, topics...)
	m.run(10 * time.Second)
	return m
}

func TestAllAreInServiceSoon(t *testing.T) {
	t.Parallel()
	m := newZones(1, 3, 9, 12)
	m.until(t, 5*time.Second, "every entry has its zone and spill candidates", func() bool {
		for _, n := range m.live(track.RoleEntry, "") {
			if len(n.x.Servers()) != 12 {
				return false
			}
		}
		return true
	})
}

func TestNewcomersDoNotWaitForTheList(t *testing.T) {
	t.Parallel()
	m := today()
	newEntry := m.start(track.RoleEntry, "r0", "z0", "z0-entry-new", 1)
	newAgent := m.start(track.RoleAgent, "r0", "z0", "z0-agent-new", 1)
	m.until(t, 5*time.Second, "new agent known to all, the new entry included", func() bool {
		return sees(m.live(track.RoleEntry, "z0"), newAgent.instance.ID, true)
	})
	m.until(t, 5*time.Second, "new entry knows its zone", func() bool { return len(newEntry.x.Servers()) >= 5 })
	assert.Equal(t, len(newEntry.x.Entries()), 4)
}

func TestListEmptyOrAwayChangesNothing(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(*mesh){
		"empty": func(m *mesh) { m.list = nil },
		"away":  func(m *mesh) { m.listAway = true },
	} {
		t.Run(name, func(t *testing.T) {
			m := today()
			fail(m)
			m.run(2 * time.Minute)
			for _, n := range m.live(track.RoleEntry, "") {
				assert.Equal(t, len(n.x.Servers()), 12)
			}
			dead := m.byID["z0-agent-1"]
			dead.dead = true
			m.until(t, 10*time.Second, "a killed agent is removed", func() bool {
				return sees(m.live(track.RoleEntry, "z0"), dead.instance.ID, false)
			})
		})
	}
}

func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, lost := range map[string]bool{"told at once": false, "first messages lost": true} {
		t.Run(name, func(t *testing.T) {
			m := today()
			m.step = tickInterval
			leaver := m.byID["z0-agent-1"]
			leaver.local.Leaving = true
			if lost {
				m.lost = func(from, _ *node) bool { return from == leaver }
			}
			_ = leaver.x.Leave(context.Background())
			m.lost = nil
			m.until(t, agentLeaveTarget, "gone from the pools of its zone", func() bool {
				return sees(m.live(track.RoleEntry, "z0"), leaver.instance.ID, false)
			})
			m.until(t, 5*time.Second, "gone from the other zones' pools", func() bool {
				return sees(m.live(track.RoleEntry, ""), leaver.instance.ID, false)
			})
		})
	}
}

func TestListMarkIsHonoured(t *testing.T) {
	t.Parallel()
	for offset := range 8 {
		m := today()
		m.step = tickInterval
		m.run(time.Duration(offset) * 2 * m.step)
		leaver := m.byID["z0-agent-1"]
		leaver.instance.State = track.Leaving
		m.listAll()
		took := m.until(t, listLeaveTarget, "gone from the pools of its zone", func() bool {
			return sees(m.live(track.RoleEntry, "z0"), leaver.instance.ID, false)
		})
		t.Logf("offset %s: %s", time.Duration(offset)*2*m.step, took)
	}
}

func TestZoneCutBothWaysAndHealed(t *testing.T) {
	t.Parallel()
	m := today()
	cut := func(n *node) bool { return n.instance.Zone == "z0" }
	m.lost = func(from, to *node) bool { return cut(from) != cut(to) }
	inside, outside := m.byID["z0-entry-0"], m.byID["z1-entry-0"]
	m.until(t, 10*time.Second, "both sides know", func() bool {
		return inside.x.View().Isolated && sees([]*node{outside}, "z0-agent-0", false)
	})
	m.run(2 * time.Minute)
	assert.Equal(t, len(inside.x.Servers()), 4)
	assert.Equal(t, len(outside.x.Servers()), 8)
	assert.Assert(t, !outside.x.View().Isolated)

	m.lost = nil
	healed := m.clock.Now()
	m.until(t, 10*time.Second, "both sides offer each other again", func() bool {
		return len(inside.x.Servers()) == 12 && len(outside.x.Servers()) == 12
	})
	for _, s := range inside.x.Servers() {
		fresh := !s.Joined.Before(healed)
		assert.Equal(t, fresh, s.Zone != "z0", "%s joined %s", s.Agent, s.Joined)
	}
}

func TestZoneCutFromEverythingServesItself(t *testing.T) {
	t.Parallel()
	m := today()
	m.lost = func(from, to *node) bool { return from.instance.Zone != to.instance.Zone }
	m.listAway = true
	m.run(2 * time.Minute)
	for _, n := range m.live(track.RoleEntry, "") {
		assert.Equal(t, len(n.x.Servers()), 4)
		assert.Assert(t, n.x.View().Isolated)
	}
}

func TestAgentKilledOutrightAndRestarted(t *testing.T) {
	t.Parallel()
	m := today()
	victim := m.byID["z0-agent-1"]
	victim.dead = true
	m.until(t, 6*time.Second, "removed while its server runs on", func() bool {
		return sees(m.live(track.RoleEntry, "z0"), victim.instance.ID, false)
	})
	restart := m.clock.Now()
	fresh := m.start(track.RoleAgent, "r0", "z0", string(victim.instance.ID), 2)
	fresh.instance = victim.instance
	m.until(t, 3*time.Second, "back at the new incarnation", func() bool {
		s, ok := m.byID["z0-entry-0"].server(victim.instance.ID)
		return ok && s.Incarnation == 2 && !s.Joined.Before(restart)
	})
}

func TestPausedAgentDoesNotFlap(t *testing.T) {
	t.Parallel()
	m := today()
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

func TestEntryCutFromItsZoneKeepsItsPool(t *testing.T) {
	t.Parallel()
	m := today()
	entry := m.byID["z0-entry-0"]
	m.lost = func(from, to *node) bool { return from == entry || to == entry }
	m.run(time.Minute)
	assert.Equal(t, len(entry.x.Servers()), 4)
	assert.Assert(t, entry.x.View().MostSilent)
	assert.Equal(t, len(m.byID["z0-entry-1"].x.Servers()), 12)
}

// TestRollingReplacements replaces 100 instances one after the other under load,
// while the list lags by two minutes.
func TestRollingReplacements(t *testing.T) {
	t.Parallel()
	m := today()
	l := newLoad(m)
	var lists [][]track.Instance
	for n := range 100 {
		role := []track.Role{track.RoleAgent, track.RoleEntry}[n%2]
		nodes := m.live(role, "")
		old := nodes[n%len(nodes)]
		m.start(role, "r0", old.instance.Zone, fmt.Sprintf("new-%d", n), 1)
		l.run(2 * time.Second)
		if role == track.RoleAgent {
			l.left[old.instance.ID] = m.clock.Now()
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
	assert.Equal(t, l.cut, 0)
	assert.Equal(t, l.late, 0)
	assert.Equal(t, l.empty, 0)
	m.run(10 * time.Second)
	for _, n := range m.live(track.RoleEntry, "") {
		assert.Equal(t, len(n.x.Entries()), 3)
		for _, s := range n.x.Servers() {
			assert.Assert(t, !m.byID[s.Agent].dead, "%s offers the dead %s", n.instance.ID, s.Agent)
		}
	}
}

func TestZoneWithoutEntriesIsAdopted(t *testing.T) {
	t.Parallel()
	m := today()
	for _, n := range m.live(track.RoleEntry, "z0") {
		n.dead = true
	}
	m.run(5 * time.Second)
	m.listAll()
	pool := func() int {
		ids := make(map[track.InstanceID]bool)
		for _, n := range m.live(track.RoleEntry, "") {
			for _, s := range n.x.Servers() {
				assert.Assert(t, s.Zone != "z0" || s.Agent[:2] == "z0")
				ids[s.Agent] = true
			}
		}
		return len(ids)
	}
	m.until(t, time.Minute, "the zone's replicas are offered by other zones' entries", func() bool { return pool() == 12 })
	back := m.start(track.RoleEntry, "r0", "z0", "z0-entry-back", 1)
	m.listAll()
	m.run(time.Minute)
	assert.Equal(t, len(back.x.Servers()), 12)
	for _, n := range m.live(track.RoleEntry, "") {
		assert.Equal(t, len(n.x.Servers()), 12, "%s", n.instance.ID)
	}
}

func TestAdoptedAgentAnswersAnUnlistedEntry(t *testing.T) {
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

func TestNoticesReachTheZoneOnce(t *testing.T) {
	t.Parallel()
	m := newMesh()
	heard := make(map[track.InstanceID][]string)
	var notices []*Notices
	for n := range 3 {
		gossip := NewNotices(track.TopicUsage, track.TopicQuarantine)
		node := m.start(track.RoleEntry, "r0", "z0", fmt.Sprintf("entry-%d", n), 1, gossip.Handlers()...)
		gossip.Hurry(track.TopicQuarantine, node.x)
		gossip.Subscribe(track.TopicQuarantine, func(n track.Notice) {
			heard[node.instance.ID] = append(heard[node.instance.ID], string(n.From)+":"+string(n.Data))
		})
		notices = append(notices, gossip)
	}
	m.listAll()
	m.run(5 * time.Second)
	// However many are published at once, the latest is not held up.
	for n := range 100 {
		notices[0].Publish(track.Notice{Topic: track.TopicQuarantine, Data: fmt.Append(nil, n)})
	}
	m.run(m.step)
	want := []string{"entry-0:99"}
	assert.DeepEqual(t, heard, map[track.InstanceID][]string{"entry-1": want, "entry-2": want})
	m.run(10 * time.Second)
	assert.DeepEqual(t, heard, map[track.InstanceID][]string{"entry-1": want, "entry-2": want})
}

func TestNearbyAndKnownInstances(t *testing.T) {
	t.Parallel()
	m := today()
	x := m.byID["z0-entry-0"].x
	assert.Equal(t, len(x.Nearby()), 4)
	entries, agents := 0, 0
	for _, i := range x.Known() {
		assert.Assert(t, i.ID != "z0-entry-0")
		if i.Role == track.RoleEntry {
			entries++
			continue
		}
		assert.Equal(t, string(i.Zone), "z0")
		agents++
	}
	assert.Equal(t, entries, len(m.live(track.RoleEntry, ""))-1)
	assert.Equal(t, agents, len(m.live(track.RoleAgent, "z0")))
}

func TestSummariesReachOtherZones(t *testing.T) {
	t.Parallel()
	m := newMesh()
	heard := make(map[track.InstanceID]map[track.AvailabilityZone]string)
	for n := range 3 {
		gossip := NewNotices(track.TopicUsage)
		zone := track.AvailabilityZone(fmt.Sprint("z", n))
		gossip.Summarize(track.TopicUsage, func() []byte { return []byte("demand of " + zone) })
		id := track.InstanceID(fmt.Sprint("entry-", n))
		heard[id] = make(map[track.AvailabilityZone]string)
		gossip.Subscribe(track.TopicUsage, func(n track.Notice) { heard[id][n.Zone] = string(n.Data) })
		m.start(track.RoleEntry, "r0", zone, string(id), 1, gossip.Handlers()...)
	}
	m.listAll()
	m.run(10 * time.Second)
	assert.DeepEqual(t, heard, map[track.InstanceID]map[track.AvailabilityZone]string{
		"entry-0": {"z1": "demand of z1", "z2": "demand of z2"},
		"entry-1": {"z0": "demand of z0", "z2": "demand of z2"},
		"entry-2": {"z0": "demand of z0", "z1": "demand of z1"},
	})
}

// echo is a topic that offers a fixed payload and notes what it receives.
type echo struct {
	name  track.Topic
	data  []byte
	heard map[track.InstanceID]int
}

func (e *echo) Topic() track.Topic                      { return e.name }
func (e *echo) Offer(track.Instance) [][]byte           { return [][]byte{e.data} }
func (e *echo) Receive(from track.InstanceID, _ []byte) { e.heard[from]++ }
func (e *echo) Fetch(_ track.InstanceID, request []byte) ([]byte, error) {
	if len(request) == 0 {
		return nil, errors.New("nothing asked")
	}
	return make([]byte, track.MaxFetchBytes-10+int(request[0])), nil
}

func TestTopics(t *testing.T) {
	t.Parallel()
	good := &echo{name: "good", data: []byte("x"), heard: make(map[track.InstanceID]int)}
	large := &echo{name: "large", data: make([]byte, track.MaxPayloadBytes+1), heard: make(map[track.InstanceID]int)}
	m := today(good, large)
	assert.Assert(t, good.heard["z0-entry-0"] >= 9, "%v", good.heard)
	assert.Equal(t, len(large.heard), 0)

	x := m.byID["z0-entry-0"].x
	ask := func(to track.InstanceID, topic track.Topic, data ...byte) error {
		_, err := x.Ask(context.Background(), to, track.Payload{Topic: topic, Data: data})
		return err
	}
	assert.NilError(t, ask("z1-entry-0", "good", 10))
	assert.Assert(t, track.IsKind(ask("z1-entry-0", "good", 11), TooLarge))
	assert.Assert(t, track.IsKind(ask("z1-entry-0", "good"), track.Refused))
	assert.Assert(t, track.IsKind(ask("z1-entry-0", "none", 1), UnknownTopic))
	assert.Assert(t, track.IsKind(ask("nobody", "good", 1), UnknownPeer))
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
