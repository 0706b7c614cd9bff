package beat

import (
	"fmt"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"filberttrack.example/track"
)

const (
	// callOverheadBytes is the size of the HTTP/2 and gRPC framing of a unary call, which
	// is sent in addition to its two messages.
	callOverheadBytes = 150
	// listEntryBytes is the size of one instance in the platform's instance list.
	listEntryBytes = 150
	// maxBytesPerSecond is the target for the control traffic of one node.
	maxBytesPerSecond = 20_000
	// measureTime is the time over which traffic is counted. In this time, each of 14
	// entries reads the instance list once in turn.
	measureTime = 56 * time.Second
)

// rate is the mean traffic per second of the nodes of a role.
type rate struct {
	messages, bytes, listBytes float64
	// maxBytes is the traffic of the busiest node in bytes per second, without the
	// instance list.
	maxBytes float64
}

func (r rate) String() string {
	return fmt.Sprintf("%6.1f msg/s %7.0f B/s (highest node %7.0f B/s), list %6.0f B/s, sum %7.0f B/s",
		r.messages, r.bytes, r.maxBytes, r.listBytes, r.bytes+r.listBytes)
}

// rateOf returns the rate of nodes whose traffic was counted for d.
func rateOf(nodes []*node, d time.Duration) rate {
	var r rate
	n := float64(len(nodes))
	for _, node := range nodes {
		r.messages += float64(node.traffic.messages) / d.Seconds() / n
		r.bytes += float64(node.traffic.bytes) / d.Seconds() / n
		r.listBytes += float64(node.traffic.listBytes) / d.Seconds() / n
		r.maxBytes = max(r.maxBytes, float64(node.traffic.bytes)/d.Seconds())
	}
	return r
}

// measure runs a mesh until its traffic is steady, and then measures the traffic for d.
func measure(m *mesh, d time.Duration) (entry, agent rate) {
	m.run(10 * time.Second)
	for _, n := range m.nodes {
		n.traffic = traffic{}
	}
	m.run(d)
	return rateOf(m.liveNodes(track.RoleEntry, ""), d), rateOf(m.liveNodes(track.RoleAgent, ""), d)
}

// BenchmarkTraffic prints the messages and bytes per second of each role, both directions
// added up, and how an entry's traffic grows with the number of zones.
func BenchmarkTraffic(b *testing.B) {
	sizes := []struct{ regions, zones, entries, agents int }{
		{1, 3, 9, 12}, {1, 3, 40, 173}, {2, 6, 81, 346}, {4, 13, 175, 750}, {8, 26, 350, 1500},
	}
	for b.Loop() {
		var zones, bytes []float64
		for _, s := range sizes {
			entry, agent := measure(newZones(s.regions, s.zones, s.entries, s.agents), measureTime)
			fmt.Printf("%d zones, %d entries, %d agents\n", s.zones, s.entries, s.agents)
			fmt.Printf("  entry %s\n  agent %s\n", entry, agent)
			if s.agents > 12 {
				zones = append(zones, float64(s.zones))
				bytes = append(bytes, entry.bytes)
			}
		}
		base, slope := stat.LinearRegression(zones, bytes, nil, false)
		fmt.Printf("entry without the list: %.0f B/s + %.0f B/s a zone; target %d B/s in all\n", base, slope, maxBytesPerSecond)
	}
}

// TestTrafficStaysBelowTarget checks one zone of the maximum size. This covers the two
// largest parts of a node's traffic: heartbeats, which are sent within the zone only, and
// the instance list, which has the length for all zones here.
func TestTrafficStaysBelowTarget(t *testing.T) {
	t.Parallel()
	m := newZones(1, 1, 14, 58)
	for n := len(m.list); n < 350+1500; n++ {
		m.list = append(m.list, track.Instance{ID: track.InstanceID(fmt.Sprint(n)), Role: track.RoleAgent, Zone: "far"})
	}
	entry, agent := measure(m, 20*time.Second)
	t.Logf("entry %s; agent %s", entry, agent)
	if entry.maxBytes+entry.listBytes > maxBytesPerSecond || agent.maxBytes+agent.listBytes > maxBytesPerSecond {
		t.Errorf("entry %s, agent %s; target %d B/s", entry, agent, maxBytesPerSecond)
	}
}
