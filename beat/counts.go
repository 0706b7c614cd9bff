package beat

import (
	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track/member"
)

// counts holds the metrics of an exchange.
type counts struct {
	sent, received, failed, dropped *metrics.Counter
	digests, listFailed             *metrics.Counter
	oversize, ignored               *metrics.Counter
}

func newCounts(set *metrics.Set, x *Exchange) counts {
	set.NewGauge(`filberttrack_member_peers{state="live"}`, x.peerGauge(member.PeerLive))
	set.NewGauge(`filberttrack_member_peers{state="suspect"}`, x.peerGauge(member.PeerSuspect))
	set.NewGauge(`filberttrack_member_peers{state="leaving"}`, x.peerGauge(member.PeerLeaving))
	set.NewGauge(`filberttrack_member_zones{state="linked"}`, x.zoneGauge(member.ZoneLinked))
	set.NewGauge(`filberttrack_member_zones{state="cut"}`, x.zoneGauge(member.ZoneIsCut))
	set.NewGauge(`filberttrack_member_list_age_seconds`, func() float64 { return x.View().ListAge.Seconds() })
	return counts{
		sent:       set.NewCounter("filberttrack_member_heartbeats_sent_total"),
		received:   set.NewCounter("filberttrack_member_heartbeats_received_total"),
		failed:     set.NewCounter("filberttrack_member_calls_failed_total"),
		dropped:    set.NewCounter("filberttrack_member_heartbeats_dropped_total"),
		digests:    set.NewCounter("filberttrack_member_digests_asked_total"),
		listFailed: set.NewCounter("filberttrack_member_list_failures_total"),
		oversize:   set.NewCounter("filberttrack_member_payloads_oversize_total"),
		ignored:    set.NewCounter("filberttrack_member_payloads_ignored_total"),
	}
}

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
