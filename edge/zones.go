package edge

import (
	"slices"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/gossip"
)

// zoneSummary is the latest summary of another zone.
type zoneSummary struct {
	note gossip.ZoneSummary
	// reportedAt is when the zone's speaker sent the summary.
	reportedAt time.Time
	// forwarded is set once the summary was sent to the entries of the own zone.
	forwarded bool
}

// rankReport is the latest report on the rank of a replica.
type rankReport struct {
	brief gossip.RankSummary
	zone  track.AvailabilityZone
	// reportedAt is when the agent reported this.
	reportedAt time.Time
}

// isSpeaker reports whether this entry is the speaker of its zone: the first by name of
// those that have sent a message recently and are not leaving.
func (e *Entry) isSpeaker() bool {
	for _, note := range e.zonePeers() {
		if !note.Leaving && (note.From < e.options.Self || e.leaving.Load()) {
			return false
		}
	}
	return true
}

// zonePeers returns the latest messages of the other entries of the own zone.
func (e *Entry) zonePeers() []gossip.Message {
	var peers []gossip.Message
	for _, note := range e.gossipNode.LiveMessages() {
		if note.Role == track.RoleEntry && note.Zone == e.options.Zone {
			peers = append(peers, note)
		}
	}
	return peers
}

// targets returns the peers to send messages to: the entries of the own zone and, if this
// entry is the speaker of its zone, the speakers of other zones. While no speaker of a zone
// is known, all entries of that zone get the messages.
func (e *Entry) targets() []gossip.Peer {
	isSpeaker, summaries := e.isSpeaker(), e.recentZones()
	zoneEvery := max(1, (e.members.entriesIn(e.options.Zone)+zoneMessagePeers/2)/zoneMessagePeers)
	return e.members.targets(e.options.Zone, func(name track.InstanceID, member Member) int {
		summary, known := summaries[member.Zone]
		switch {
		case member.Role != track.RoleEntry:
			return 0
		case member.Zone == e.options.Zone:
			return zoneEvery
		case isSpeaker && (!known || summary.note.Representative == name):
			return speakerEvery
		}
		return 0
	})
}

// recentZones returns the summaries of other zones that are not older than
// gossip.Silence.
func (e *Entry) recentZones() map[track.AvailabilityZone]zoneSummary {
	e.mu.Lock()
	defer e.mu.Unlock()
	recent := make(map[track.AvailabilityZone]zoneSummary, len(e.zones))
	for zone, summary := range e.zones {
		if e.options.Clock.Since(summary.reportedAt) < gossip.PeerTimeout {
			recent[zone] = summary
		}
	}
	return recent
}

// zoneNotes returns the summaries that a speaker sends: that of its own zone to speakers
// of other zones, and those of all other zones to the entries of its own.
func (e *Entry) zoneNotes(otherZone bool) []gossip.ZoneSummary {
	if !e.isSpeaker() {
		return nil
	}
	if otherZone {
		return []gossip.ZoneSummary{e.summarizeZone()}
	}
	return e.zonesToForward()
}

// zonesToForward returns the summaries of other zones that have arrived since the last call. The
// entries of the own zone have all earlier ones, or get a newer one if a message is lost.
func (e *Entry) zonesToForward() []gossip.ZoneSummary {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	var notes []gossip.ZoneSummary
	for zone, summary := range e.zones {
		if summary.forwarded || now.Sub(summary.reportedAt) >= gossip.PeerTimeout {
			continue
		}
		summary.forwarded = true
		e.zones[zone] = summary
		note := summary.note
		note.Age = now.Sub(summary.reportedAt)
		notes = append(notes, note)
	}
	return notes
}

// summarizeZone returns the summary of the own zone, from the messages of its entries and
// agents.
func (e *Entry) summarizeZone() gossip.ZoneSummary {
	summary := gossip.ZoneSummary{
		Zone: e.options.Zone, Representative: e.options.Self,
		InFlight: e.inFlight(), Demand: e.zoneDemand(),
	}
	summary.Era, summary.Offsets = e.offsets()
	for _, note := range e.zonePeers() {
		addInFlight(summary.InFlight, note.InFlight)
		if note.Era > summary.Era {
			summary.Era, summary.Offsets = note.Era, make(map[string]uint64, len(note.Offsets))
		}
		if note.Era < summary.Era {
			continue
		}
		for topic, end := range note.Offsets {
			summary.Offsets[topic] = max(summary.Offsets[topic], end)
		}
	}
	summary.Ranks = e.zoneRanks()
	return summary
}

// zoneRanks returns the recent reports of the agents of the own zone.
func (e *Entry) zoneRanks() []gossip.RankSummary {
	e.mu.Lock()
	defer e.mu.Unlock()
	var briefs []gossip.RankSummary
	for _, report := range e.ranks {
		age := e.options.Clock.Since(report.reportedAt)
		if report.zone != e.options.Zone || age >= gossip.PeerTimeout {
			continue
		}
		brief := report.brief
		brief.Age = age
		briefs = append(briefs, brief)
	}
	return briefs
}

// updateRanks applies reports of the agents of a zone, except those that are older than what is known.
func (e *Entry) updateRanks(briefs []gossip.RankSummary, zone track.AvailabilityZone) {
	now := e.options.Clock.Now()
	reports := make([]batch.RankReport, 0, len(briefs))
	e.mu.Lock()
	for _, brief := range briefs {
		reportedAt := now.Add(-max(brief.Age, 0))
		if old, known := e.ranks[brief.Server]; known && reportedAt.Before(old.reportedAt) {
			continue
		}
		e.ranks[brief.Server] = rankReport{brief: brief, zone: zone, reportedAt: reportedAt}
		reports = append(reports, batch.RankReport{Address: brief.Server, State: batch.RankState{
			Group: brief.Group, Working: brief.GroupReady, Slowdown: brief.Slowdown, PassDuration: brief.PassDuration,
		}})
	}
	e.mu.Unlock()
	if len(reports) == 0 {
		return
	}
	for _, p := range e.allPools() {
		p.SetRanks(reports)
	}
}

// updateZones applies the summaries of other zones in a message.
func (e *Entry) updateZones(note gossip.Message) {
	now := e.options.Clock.Now()
	for _, summary := range note.Zones {
		if summary.Zone == e.options.Zone {
			continue
		}
		reportedAt := now.Add(-max(summary.Age, 0))
		e.mu.Lock()
		if old, known := e.zones[summary.Zone]; !known || reportedAt.After(old.reportedAt) {
			e.zones[summary.Zone] = zoneSummary{note: summary, reportedAt: reportedAt}
		}
		e.mu.Unlock()
		e.configFollower.NotifyPeerPosition(track.LogPosition{
			Era: summary.Era, Offset: summary.Offsets[e.options.Topics.Config],
		})
		briefs := slices.Clone(summary.Ranks)
		for i := range briefs {
			briefs[i].Age += summary.Age
		}
		e.updateRanks(briefs, summary.Zone)
	}
}

// otherInFlight returns the requests in flight on each replica from all other entries.
func (e *Entry) otherInFlight() map[track.ReplicaID]track.InFlight {
	counts := make(map[track.ReplicaID]track.InFlight)
	for _, note := range e.zonePeers() {
		addInFlight(counts, note.InFlight)
	}
	for _, summary := range e.recentZones() {
		addInFlight(counts, summary.note.InFlight)
	}
	return counts
}

// addInFlight adds counts to total.
func addInFlight(total, counts map[track.ReplicaID]track.InFlight) {
	for id, n := range counts {
		total[id] = total[id].Add(n)
	}
}
