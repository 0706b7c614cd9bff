package beat

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"filberttrack.example/track"
	"filberttrack.example/track/member"
	"filberttrack.example/track/wire"
)

// mesh joins exchanges by direct calls on a fake clock, in a fixed order.
type mesh struct {
	clock *clockwork.FakeClock
	// step is the time between two looks at what is due.
	step  time.Duration
	nodes []*node
	byID  map[track.InstanceID]*node
	// list is what the platform's list says; listAway makes it fail.
	list     []track.Instance
	listAway bool
	// lost reports whether a message is lost, unless nil.
	lost func(from, to *node) bool
	// counting guards the traffic of all nodes.
	counting sync.Mutex
}

// node is one process.
type node struct {
	mesh     *mesh
	x        *Exchange
	instance track.Instance
	local    Local
	paused   bool
	dead     bool
	traffic  traffic
	// open holds the ends of the requests in progress at an agent.
	open []time.Time
}

func newMesh() *mesh {
	return &mesh{
		step:  2 * tickInterval,
		clock: clockwork.NewFakeClockAt(time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)),
		byID:  make(map[track.InstanceID]*node),
	}
}

// newZones returns a mesh of zones z0, z1 ... of one region or several, with
// all nodes listed.
func newZones(regions, zones, entries, agents int, topics ...track.TopicHandler) *mesh {
	m := newMesh()
	for z := range zones {
		zone := track.AvailabilityZone(fmt.Sprintf("z%d", z))
		region := track.Region(fmt.Sprintf("r%d", z%regions))
		for n := range share(entries, zones, z) {
			m.start(track.RoleEntry, region, zone, fmt.Sprintf("%s-entry-%d", zone, n), 1, topics...)
		}
		for n := range share(agents, zones, z) {
			m.start(track.RoleAgent, region, zone, fmt.Sprintf("%s-agent-%d", zone, n), 1)
		}
	}
	m.listAll()
	return m
}

// share returns the part of n that falls to zone z.
func share(n, zones, z int) int {
	return (n + z) / zones
}

func (m *mesh) start(
	role track.Role, region track.Region, zone track.AvailabilityZone, id string, inc track.Incarnation,
	topics ...track.TopicHandler,
) *node {
	n := &node{mesh: m, local: Local{Up: role == track.RoleAgent}, instance: track.Instance{
		ID: track.InstanceID(id), Role: role, Region: region, Zone: zone, State: track.Live,
		Address: fmt.Sprintf("10.20.%d.%d:7000", len(m.nodes)/250, len(m.nodes)%250),
	}}
	if role == track.RoleAgent {
		n.instance.Serves = fmt.Sprintf("model-%d", len(m.nodes)%12)
		n.local.Load = track.Load{Running: 7, Queued: 1, Capacity: 32, TokensInFlight: 9000, StepTime: 31 * time.Millisecond}
		n.local.Load.CachedPrefixes = []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	}
	n.x = New(Options{
		Self: n.instance, Incarnation: inc, Timing: member.DefaultTiming(), Dialer: n, List: n,
		Clock: m.clock, Logger: zap.NewNop(), Metrics: metrics.NewSet(), Topics: topics,
		Local: func() Local { return n.local },
	})
	m.nodes = append(m.nodes, n)
	m.byID[n.instance.ID] = n
	return n
}

// listAll makes the platform's list hold all live nodes.
func (m *mesh) listAll() {
	m.list = nil
	for _, n := range m.nodes {
		if !n.dead {
			m.list = append(m.list, n.instance)
		}
	}
}

// run lets time pass.
func (m *mesh) run(d time.Duration) {
	for end := m.clock.Now().Add(d); m.clock.Now().Before(end); {
		m.clock.Advance(m.step)
		for _, n := range m.nodes {
			if n.dead || n.paused {
				continue
			}
			for _, o := range n.x.due() {
				n.x.perform(context.Background(), o)
			}
			n.x.publish()
		}
	}
}

// until runs until the condition holds and returns the time that it took.
func (m *mesh) until(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	begin := m.clock.Now()
	for !holds() {
		if m.clock.Since(begin) >= limit {
			t.Fatalf("not within %s: %s", limit, what)
		}
		m.run(m.step)
	}
	return m.clock.Since(begin)
}

// live returns the live nodes of a role, of one zone or of all.
func (m *mesh) live(role track.Role, zone track.AvailabilityZone) []*node {
	var nodes []*node
	for _, n := range m.nodes {
		if !n.dead && n.instance.Role == role && (zone == "" || n.instance.Zone == zone) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// server returns how the node's router sees the replica behind an agent.
func (n *node) server(id track.InstanceID) (track.BackendServer, bool) {
	for _, s := range n.x.Servers() {
		if s.Agent == id {
			return s, true
		}
	}
	return track.BackendServer{}, false
}

// sees reports whether each of the nodes has the agent in its pool.
func sees(nodes []*node, id track.InstanceID, want bool) bool {
	for _, n := range nodes {
		if _, ok := n.server(id); ok != want {
			return false
		}
	}
	return true
}

// Instances implements track.InstanceList.
func (n *node) Instances(context.Context) ([]track.Instance, error) {
	if n.mesh.listAway {
		return nil, track.Fail("read list", track.Unavailable, errors.New("away"))
	}
	n.traffic.list += len(n.mesh.list) * listEntryBytes
	return n.mesh.list, nil
}

// DialPeer implements track.PeerDialer.
func (n *node) DialPeer(i track.Instance) (track.Peer, error) {
	return &link{from: n, to: n.mesh.byID[i.ID]}, nil
}

// link carries the messages of one node to another.
type link struct{ from, to *node }

func (l *link) reach() error {
	switch {
	case l.to == nil || l.to.paused:
		return track.Fail("call", track.TimedOut, nil)
	case l.to.mesh.lost != nil && l.to.mesh.lost(l.from, l.to):
		return track.Fail("call", track.TimedOut, nil)
	case l.to.dead:
		return track.Fail("call", track.Unavailable, track.ErrNoListener)
	}
	return nil
}

func (l *link) Heartbeat(ctx context.Context, h track.Heartbeat) (track.HeartbeatReply, error) {
	if err := l.reach(); err != nil {
		return track.HeartbeatReply{}, err
	}
	reply, err := l.to.x.Heartbeat(ctx, h)
	l.count(wire.EncodeHeartbeat(h), wire.EncodeHeartbeatReply(reply))
	return reply, err
}

func (l *link) Digest(ctx context.Context, q track.DigestQuery) (track.Digest, error) {
	if err := l.reach(); err != nil {
		return track.Digest{}, err
	}
	digest, err := l.to.x.Digest(ctx, q)
	l.count(wire.EncodeDigestQuery(q), wire.EncodeDigest(digest))
	return digest, err
}

func (l *link) Fetch(ctx context.Context, from track.InstanceID, p track.Payload) ([]byte, error) {
	return l.to.x.Fetch(ctx, from, p)
}

// traffic counts what one node sent and received.
type traffic struct {
	messages, bytes, list int
}

func (l *link) count(request, reply proto.Message) {
	l.to.mesh.counting.Lock()
	defer l.to.mesh.counting.Unlock()
	bytes := proto.Size(request) + proto.Size(reply) + callOverheadBytes
	for _, n := range []*node{l.from, l.to} {
		n.traffic.messages += 2
		n.traffic.bytes += bytes
	}
}

// load sends requests of a fixed length from every entry, and counts those that
// were refused, cut, or sent to an agent that had left for longer than grace.
type load struct {
	mesh  *mesh
	rng   *rand.Rand
	grace time.Duration
	// left holds the time since when an agent refuses new work.
	left map[track.InstanceID]time.Time
	// ready holds the entries that have had servers, so that the platform's
	// balancer sends them requests.
	ready map[track.InstanceID]bool

	sent, refused, late, cut, empty int
}

func newLoad(m *mesh) *load {
	return &load{
		mesh: m, rng: rand.New(rand.NewPCG(1, 1)), grace: agentLeaveTarget,
		left: make(map[track.InstanceID]time.Time), ready: make(map[track.InstanceID]bool),
	}
}

func (l *load) run(d time.Duration) {
	for range int(d / l.mesh.step) {
		l.mesh.run(l.mesh.step)
		now := l.mesh.clock.Now()
		for _, entry := range l.mesh.live(track.RoleEntry, "") {
			l.send(now, entry)
		}
	}
}

func (l *load) send(now time.Time, entry *node) {
	servers := entry.x.Servers()
	if len(servers) == 0 {
		if l.ready[entry.instance.ID] {
			l.empty++
		}
		return
	}
	l.ready[entry.instance.ID] = true
	s := servers[l.rng.IntN(len(servers))]
	l.sent++
	if since, ok := l.left[s.Agent]; ok {
		l.refused++
		if now.Sub(since) > l.grace {
			l.late++
		}
		entry.x.RefusedLeaving(s.Agent, s.Incarnation)
		return
	}
	agent := l.mesh.byID[s.Agent]
	agent.open = append(agent.open, now.Add(3*time.Second))
}

// stop ends an agent and counts the requests that were still open.
func (l *load) stop(n *node) {
	for _, end := range n.open {
		if end.After(l.mesh.clock.Now()) {
			l.cut++
		}
	}
	n.dead = true
}
