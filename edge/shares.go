package edge

import (
	"cmp"
	"maps"
	"math"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/permit"
)

const (
	// silentShareTime is the time for which a silent entry keeps its share of the limits of
	// replicas: it may be cut off from its peers and still send.
	silentShareTime = 10 * time.Minute
	// evenShare is the part of the mean demand that each entry has in addition to its own, so
	// that it may send its first requests.
	evenShare = 0.2
	// demandPrecision is the number of steps in a request a second to which messages round demand.
	demandPrecision = 10
)

// ownDemand returns this entry's demand for each service, in requests a second.
func (e *Entry) ownDemand() map[string]float64 {
	e.mu.Lock()
	pools := maps.Clone(e.pools)
	e.mu.Unlock()
	demand := make(map[string]float64, len(pools))
	for service, p := range pools {
		if d := math.Round(p.Demand()*demandPrecision) / demandPrecision; d > 0 {
			demand[service] = d
		}
	}
	return demand
}

// zoneDemand returns the demand of the entries of the own zone, as far as it is known.
func (e *Entry) zoneDemand() map[string]float64 {
	total := e.ownDemand()
	for _, note := range e.zoneEntryMessages() {
		for service, d := range note.Demand {
			total[service] += max(d, 0)
		}
	}
	return total
}

// zoneEntryMessages returns the latest messages of the other entries of the own zone that may still
// send requests.
func (e *Entry) zoneEntryMessages() map[track.InstanceID]gossip.Message {
	latest := make(map[track.InstanceID]gossip.Message)
	for _, note := range e.gossipNode.LatestMessages() {
		if note.Role == track.RoleEntry && note.Zone == e.options.Zone && note.Silence < silentShareTime {
			latest[note.From] = note.Message
		}
	}
	return latest
}

// demandOf is the demand for a service of an entry, or of all entries of another zone.
type demandOf struct {
	zone    track.AvailabilityZone
	entry   track.InstanceID
	entries int
	// rate is in requests a second. It isn't known if the entry, or the zone, hasn't been heard.
	rate  float64
	known bool
}

// updateShares sets this entry's share of the limits of replicas in each pool, if there are limits.
func (e *Entry) updateShares() {
	limited := e.signs.AnyLimit()
	e.mu.Lock()
	pools := maps.Clone(e.pools)
	zones := maps.Clone(e.zones)
	e.mu.Unlock()
	maps.DeleteFunc(pools, func(_ string, p *batch.Pool) bool { return !limited && !p.NeedsShare() })
	if len(pools) == 0 {
		return
	}
	messages, members := e.zoneEntryMessages(), e.members.entriesByZone()
	for service, p := range pools {
		demands := e.demands(service, p.Demand(), members, messages, zones)
		p.SetShare(ownShare(demands))
		p.SetColdShare(e.coldShare(demands))
	}
}

// demands returns the demand for a service of each entry of the own zone, and of each other zone. The own
// demand comes first, the others in any order.
func (e *Entry) demands(
	service string, own float64, members map[track.AvailabilityZone][]track.InstanceID,
	messages map[track.InstanceID]gossip.Message, zones map[track.AvailabilityZone]zoneSummary,
) []demandOf {
	now := e.options.Clock.Now()
	// An entry that has not been heard since this one started may send all the same.
	countSilent := now.Sub(e.startedAt) < silentShareTime
	all := []demandOf{{zone: e.options.Zone, entry: e.options.Self, entries: 1, rate: own, known: true}}
	for zone, names := range members {
		if zone != e.options.Zone {
			summary, heard := zones[zone]
			if heard = heard && now.Sub(summary.reportedAt) < silentShareTime; heard || countSilent {
				rate := max(summary.note.Demand[service], 0)
				all = append(all, demandOf{zone: zone, entries: len(names), rate: rate, known: heard})
			}
			continue
		}
		for _, name := range names {
			note, heard := messages[name]
			if name != e.options.Self && (heard || countSilent) {
				rate := max(note.Demand[service], 0)
				all = append(all, demandOf{zone: zone, entry: name, entries: 1, rate: rate, known: heard})
			}
		}
	}
	return all
}

// ownShare returns the share of the first of the demands, which are those of all entries. A share is in
// proportion to the demand, and a small part is the same for all. Shares lie side by side in the order of
// zones and entries by name, which is the same at all entries.
func ownShare(demands []demandOf) permit.Share {
	sum, heard := 0.0, 0
	for _, d := range demands {
		if d.known {
			sum += d.rate
			heard += d.entries
		}
	}
	mean := sum / float64(max(heard, 1))
	weight := func(d demandOf) float64 {
		if !d.known {
			d.rate = mean * float64(d.entries)
		}
		if mean == 0 {
			return float64(d.entries)
		}
		return d.rate + evenShare*mean*float64(d.entries)
	}
	own := demands[0]
	before, total := 0.0, 0.0
	for _, d := range demands {
		total += weight(d)
		if cmp.Or(cmp.Compare(d.zone, own.zone), cmp.Compare(d.entry, own.entry)) < 0 {
			before += weight(d)
		}
	}
	return permit.Share{From: before / total, Width: weight(own) / total}
}
