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

// mesh connects the Exchanges of many nodes by direct calls. It runs on a fake clock and
// makes the calls in a fixed order.
type mesh struct {
	clock *clockwork.FakeClock
	// step is the interval at which the nodes check which calls are due.
	step  time.Duration
	nodes []*node
	byID  map[track.InstanceID]*node
	// list is the instance list of the platform. Reading it fails if listUnavailable is
	// set.
	list            []track.Instance
	listUnavailable bool
	// isLost, if set, reports whether a call is lost.
	isLost func(from, to *node) bool
	// trafficMu guards the traffic of all nodes.
	trafficMu sync.Mutex
}

// node is one entry or agent process.
type node struct {
	mesh     *mesh
	x        *Exchange
	instance track.Instance
	local    LocalState
	paused   bool
	dead     bool
	traffic  traffic
	// requestEnds holds the times at which the requests sent to an agent end.
	requestEnds []time.Time
}

func newMesh() *mesh {
	return &mesh{
		step:  2 * tickInterval,
		clock: clockwork.NewFakeClockAt(time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)),
		byID:  make(map[track.InstanceID]*node),
	}
}

// newZones returns a mesh with the zones z0, z1 ... in the given number of regions.
// Entries and agents are spread evenly over the zones, and all are in the instance list.
func newZones(regions, zones, entries, agents int, topics ...track.TopicHandler) *mesh {
	m := newMesh()
	for z := range zones {
		zone := track.AvailabilityZone(fmt.Sprintf("z%d", z))
		region := track.Region(fmt.Sprintf("r%d", z%regions))
		for n := range nodesInZone(entries, zones, z) {
			m.start(track.RoleEntry, region, zone, fmt.Sprintf("%s-entry-%d", zone, n), 1, topics...)
		}
		for n := range nodesInZone(agents, zones, z) {
			m.start(track.RoleAgent, region, zone, fmt.Sprintf("%s-agent-%d", zone, n), 1)
		}
	}
	m.listAll()
	return m
}

// nodesInZone returns how many of n nodes are in zone z.
func nodesInZone(n, zones, z int) int {
	return (n + z) / zones
}

// start adds a node that runs from now on.
func (m *mesh) start(
	role track.Role, region track.Region, zone track.AvailabilityZone, id string, incarnation track.Incarnation,
	topics ...track.TopicHandler,
) *node {
	n := &node{mesh: m, local: LocalState{Up: role == track.RoleAgent}, instance: track.Instance{
		ID: track.InstanceID(id), Role: role, Region: region, Zone: zone, State: track.InstanceLive,
		Address: fmt.Sprintf("10.20.%d.%d:7000", len(m.nodes)/250, len(m.nodes)%250),
	}}
	if role == track.RoleAgent {
		n.instance.Serves = fmt.Sprintf("model-%d", len(m.nodes)%12)
		n.local.Load = track.Load{Running: 7, Queued: 1, Capacity: 32, TokensInFlight: 9000, StepTime: 31 * time.Millisecond}
		n.local.Load.CachedPrefixes = []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	}
	n.x = New(Options{
		Self: n.instance, Incarnation: incarnation, Timing: member.DefaultTiming(), Dialer: n, List: n,
		Clock: m.clock, Logger: zap.NewNop(), Metrics: metrics.NewSet(), TopicHandlers: topics,
		Local: func() LocalState { return n.local },
	})
	m.nodes = append(m.nodes, n)
	m.byID[n.instance.ID] = n
	return n
}

// listAll updates the instance list to all live nodes.
func (m *mesh) listAll() {
	m.list = nil
	for _, n := range m.nodes {
		if !n.dead {
			m.list = append(m.list, n.instance)
		}
	}
}

// run advances the clock by d in steps, and runs all live nodes at each step.
func (m *mesh) run(d time.Duration) {
	for end := m.clock.Now().Add(d); m.clock.Now().Before(end); {
		m.clock.Advance(m.step)
		for _, n := range m.nodes {
			if n.dead || n.paused {
				continue
			}
			for _, call := range n.x.dueCalls() {
				n.x.makeCall(context.Background(), call)
			}
			n.x.publish()
		}
	}
}

// runUntil runs the mesh until the condition holds and returns the time that it took. It
// fails the test if this takes longer than limit.
func (m *mesh) runUntil(t *testing.T, limit time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	start := m.clock.Now()
	for !condition() {
		if m.clock.Since(start) >= limit {
			t.Fatalf("not within %s: %s", limit, description)
		}
		m.run(m.step)
	}
	return m.clock.Since(start)
}

// liveNodes returns the live nodes of a role in a zone, or in all zones if zone is empty.
func (m *mesh) liveNodes(role track.Role, zone track.AvailabilityZone) []*node {
	var nodes []*node
	for _, n := range m.nodes {
		if !n.dead && n.instance.Role == role && (zone == "" || n.instance.Zone == zone) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// server returns the replica of an agent as the node passes it to its router, if it does.
func (n *node) server(id track.InstanceID) (track.BackendServer, bool) {
	for _, s := range n.x.Servers() {
		if s.Agent == id {
			return s, true
		}
	}
	return track.BackendServer{}, false
}

// allOffer reports whether each of the nodes has the agent's replica in its pool or, if
// want is false, whether none has.
func allOffer(nodes []*node, id track.InstanceID, want bool) bool {
	for _, n := range nodes {
		if _, ok := n.server(id); ok != want {
			return false
		}
	}
	return true
}

// Instances implements track.InstanceList.
func (n *node) Instances(context.Context) ([]track.Instance, error) {
	if n.mesh.listUnavailable {
		return nil, track.Fail("read list", track.Unavailable, errors.New("away"))
	}
	n.traffic.listBytes += len(n.mesh.list) * listEntryBytes
	return n.mesh.list, nil
}

// DialPeer implements track.PeerDialer.
func (n *node) DialPeer(i track.Instance) (track.Peer, error) {
	return &link{from: n, to: n.mesh.byID[i.ID]}, nil
}

// link carries the calls of one node to another. It implements track.Peer.
type link struct{ from, to *node }

// checkReachable returns the error of a call that does not arrive.
func (l *link) checkReachable() error {
	switch {
	case l.to == nil || l.to.paused:
		return track.Fail("call", track.TimedOut, nil)
	case l.to.mesh.isLost != nil && l.to.mesh.isLost(l.from, l.to):
		return track.Fail("call", track.TimedOut, nil)
	case l.to.dead:
		return track.Fail("call", track.Unavailable, track.ErrNoListener)
	}
	return nil
}

func (l *link) Heartbeat(ctx context.Context, h track.Heartbeat) (track.HeartbeatReply, error) {
	if err := l.checkReachable(); err != nil {
		return track.HeartbeatReply{}, err
	}
	reply, err := l.to.x.Heartbeat(ctx, h)
	l.countTraffic(wire.EncodeHeartbeat(h), wire.EncodeHeartbeatReply(reply))
	return reply, err
}

func (l *link) Digest(ctx context.Context, q track.DigestQuery) (track.Digest, error) {
	if err := l.checkReachable(); err != nil {
		return track.Digest{}, err
	}
	digest, err := l.to.x.Digest(ctx, q)
	l.countTraffic(wire.EncodeDigestQuery(q), wire.EncodeDigest(digest))
	return digest, err
}

func (l *link) Fetch(ctx context.Context, from track.InstanceID, p track.Payload) ([]byte, error) {
	return l.to.x.Fetch(ctx, from, p)
}

// traffic counts the messages and bytes that one node sent and received, and the bytes of
// the instance lists that it read.
type traffic struct {
	messages, bytes, listBytes int
}

// countTraffic adds a call to the traffic of both nodes.
func (l *link) countTraffic(request, reply proto.Message) {
	l.to.mesh.trafficMu.Lock()
	defer l.to.mesh.trafficMu.Unlock()
	bytes := proto.Size(request) + proto.Size(reply) + callOverheadBytes
	for _, n := range []*node{l.from, l.to} {
		n.traffic.messages += 2
		n.traffic.bytes += bytes
	}
}

// loadGenerator sends requests of a fixed duration from every entry and counts their
// outcomes.
type loadGenerator struct {
	mesh *mesh
	rng  *rand.Rand
	// gracePeriod is the time for which entries may still send requests to a leaving
	// agent.
	gracePeriod time.Duration
	// leavingSince holds the time from which an agent refuses new requests.
	leavingSince map[track.InstanceID]time.Time
	// readyEntries holds the entries that have had replicas, so that the platform's load
	// balancer sends them requests.
	readyEntries map[track.InstanceID]bool

	// sent counts all requests sent to agents, and refused those sent to a leaving agent.
	// refusedLate counts those among them that were sent after the grace period.
	// interrupted counts the requests in progress at an agent that was stopped, and
	// unroutable those for which a ready entry had no replica.
	sent, refused, refusedLate, interrupted, unroutable int
}

func newLoadGenerator(m *mesh) *loadGenerator {
	return &loadGenerator{
		mesh: m, rng: rand.New(rand.NewPCG(1, 1)), gracePeriod: agentLeaveTarget,
		leavingSince: make(map[track.InstanceID]time.Time), readyEntries: make(map[track.InstanceID]bool),
	}
}

// run runs the mesh for d, and sends a request from every entry at each step.
func (l *loadGenerator) run(d time.Duration) {
	for range int(d / l.mesh.step) {
		l.mesh.run(l.mesh.step)
		now := l.mesh.clock.Now()
		for _, entry := range l.mesh.liveNodes(track.RoleEntry, "") {
			l.send(now, entry)
		}
	}
}

// send sends a request from an entry to a random replica.
func (l *loadGenerator) send(now time.Time, entry *node) {
	servers := entry.x.Servers()
	if len(servers) == 0 {
		if l.readyEntries[entry.instance.ID] {
			l.unroutable++
		}
		return
	}
	l.readyEntries[entry.instance.ID] = true
	s := servers[l.rng.IntN(len(servers))]
	l.sent++
	if since, ok := l.leavingSince[s.Agent]; ok {
		l.refused++
		if now.Sub(since) > l.gracePeriod {
			l.refusedLate++
		}
		entry.x.HandleLeavingRefusal(s.Agent, s.Incarnation)
		return
	}
	agent := l.mesh.byID[s.Agent]
	agent.requestEnds = append(agent.requestEnds, now.Add(3*time.Second))
}

// stop stops a node and counts the requests that are still in progress there.
func (l *loadGenerator) stop(n *node) {
	for _, end := range n.requestEnds {
		if end.After(l.mesh.clock.Now()) {
			l.interrupted++
		}
	}
	n.dead = true
}
