package beat

import (
	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track/member"
)

// counters holds the metrics counters of an Exchange.
type counters struct {
	heartbeatsSent, heartbeatsReceived, callsFailed, heartbeatsDropped *metrics.Counter
	digestsRequested, listFailures                                     *metrics.Counter
	payloadsOversize, payloadsIgnored                                  *metrics.Counter
}

// newCounters registers the counters and gauges of an Exchange.
func newCounters(set *metrics.Set, x *Exchange) counters {
	set.NewGauge(`filberttrack_member_peers{state="live"}`, x.peerGauge(member.PeerLive))
	set.NewGauge(`filberttrack_member_peers{state="suspect"}`, x.peerGauge(member.PeerSuspect))
	set.NewGauge(`filberttrack_member_peers{state="leaving"}`, x.peerGauge(member.PeerLeaving))
	set.NewGauge(`filberttrack_member_zones{state="linked"}`, x.zoneGauge(member.ZoneReachable))
	set.NewGauge(`filberttrack_member_zones{state="cut"}`, x.zoneGauge(member.ZoneUnreachable))
	set.NewGauge(`filberttrack_member_list_age_seconds`, func() float64 { return x.View().ListAge.Seconds() })
	return counters{
		heartbeatsSent:     set.NewCounter("filberttrack_member_heartbeats_sent_total"),
		heartbeatsReceived: set.NewCounter("filberttrack_member_heartbeats_received_total"),
		callsFailed:        set.NewCounter("filberttrack_member_calls_failed_total"),
		heartbeatsDropped:  set.NewCounter("filberttrack_member_heartbeats_dropped_total"),
		digestsRequested:   set.NewCounter("filberttrack_member_digests_asked_total"),
		listFailures:       set.NewCounter("filberttrack_member_list_failures_total"),
		payloadsOversize:   set.NewCounter("filberttrack_member_payloads_oversize_total"),
		payloadsIgnored:    set.NewCounter("filberttrack_member_payloads_ignored_total"),
	}
}

// peerGauge returns a function that counts the peers in a state.
func (x *Exchange) peerGauge(state member.PeerState) func() float64 {
	return func() float64 {
		n := 0
		for _, p := range x.View().Peers {
			if p.State == state {
				n++
			}
		}
		return float64(n)
	}
}

// zoneGauge returns a function that counts the other zones in a state.
func (x *Exchange) zoneGauge(state member.ZoneState) func() float64 {
	return func() float64 {
		n := 0
		for _, z := range x.View().Zones {
			if z.State == state {
				n++
			}
		}
		return float64(n)
	}
}
