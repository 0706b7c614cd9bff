package beat

import (
	"fmt"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"

	"filberttrack.example/track"
)

const (
	// callOverheadBytes is what a unary call costs on the connection beyond its
	// two messages: HTTP/2 and gRPC framing.
	callOverheadBytes = 150
	// listEntryBytes is the size of one instance in the platform's list.
	listEntryBytes = 150
	// bytesTarget is what control may cost a node, in bytes a second.
	bytesTarget = 20_000
	// trafficTime is the time over which traffic is counted: one turn of 14
	// entries at the list.
	trafficTime = 56 * time.Second
)

// rate is the mean traffic of the nodes of a role a second.
type rate struct {
	messages, bytes, list float64
	// highest is that of the busiest node, without the list.
	highest float64
}

func (r rate) String() string {
	return fmt.Sprintf("%6.1f msg/s %7.0f B/s (highest node %7.0f B/s), list %6.0f B/s, sum %7.0f B/s",
		r.messages, r.bytes, r.highest, r.list, r.bytes+r.list)
}

func rateOf(nodes []*node, d time.Duration) rate {
	var r rate
	n := float64(len(nodes))
	for _, node := range nodes {
		r.messages += float64(node.traffic.messages) / d.Seconds() / n
		r.bytes += float64(node.traffic.bytes) / d.Seconds() / n
		r.list += float64(node.traffic.list) / d.Seconds() / n
		r.highest = max(r.highest, float64(node.traffic.bytes)/d.Seconds())
	}
	return r
}

// measure counts the traffic of a mesh that has settled.
func measure(m *mesh, d time.Duration) (entry, agent rate) {
	m.run(10 * time.Second)
	for _, n := range m.nodes {
		n.traffic = traffic{}
	}
	m.run(d)
	return rateOf(m.live(track.RoleEntry, ""), d), rateOf(m.live(track.RoleAgent, ""), d)
}

// BenchmarkTraffic prints messages and bytes a second for each role, both
// directions taken together, and their slopes.
func BenchmarkTraffic(b *testing.B) {
	sizes := []struct{ regions, zones, entries, agents int }{
		{1, 3, 9, 12}, {1, 3, 40, 173}, {2, 6, 81, 346}, {4, 13, 175, 750}, {8, 26, 350, 1500},
	}
	for b.Loop() {
		var zones, bytes []float64
		for _, s := range sizes {
			entry, agent := measure(newZones(s.regions, s.zones, s.entries, s.agents), trafficTime)
			fmt.Printf("%d zones, %d entries, %d agents\n", s.zones, s.entries, s.agents)
			fmt.Printf("  entry %s\n  agent %s\n", entry, agent)
			if s.agents > 12 {
				zones = append(zones, float64(s.zones))
				bytes = append(bytes, entry.bytes)
			}
		}
		base, slope := stat.LinearRegression(zones, bytes, nil, false)
		fmt.Printf("entry without the list: %.0f B/s + %.0f B/s a zone; target %d B/s in all\n", base, slope, bytesTarget)
	}
}

// TestTrafficFitsTheTarget checks a zone of full size: the two largest shares of
// a node's traffic, heartbeats and the list, come from its own zone.
func TestTrafficFitsTheTarget(t *testing.T) {
	t.Parallel()
	m := newZones(1, 1, 14, 58)
	for n := len(m.list); n < 350+1500; n++ {
		m.list = append(m.list, track.Instance{ID: track.InstanceID(fmt.Sprint(n)), Role: track.RoleAgent, Zone: "far"})
	}
	entry, agent := measure(m, 20*time.Second)
	t.Logf("entry %s; agent %s", entry, agent)
	if entry.highest+entry.list > bytesTarget || agent.highest+agent.list > bytesTarget {
		t.Errorf("entry %s, agent %s; target %d B/s", entry, agent, bytesTarget)
	}
}
