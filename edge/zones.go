package edge

import (
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/gossip"
)

// zoneSum is what the speaker of another zone told last.
type zoneSum struct {
	note gossip.ZoneNote
	told time.Time
}

// rankSeen is what is known of the rank of a replica.
type rankSeen struct {
	brief gossip.RankBrief
	zone  track.AvailabilityZone
	told  time.Time
}

// speaks reports whether this entry speaks for its zone: it is the first by name of
// those that were heard lately and stay.
func (e *Entry) speaks() bool {
	for _, note := range e.near() {
		if !note.Leaving && (note.From < e.options.Self || e.leaving.Load()) {
			return false
		}
	}
	return true
}

// near returns the latest notes of the entries of the own zone.
func (e *Entry) near() []gossip.Note {
	var near []gossip.Note
	for _, note := range e.node.Live() {
		if note.Role == track.RoleEntry && note.Zone == e.options.Zone {
			near = append(near, note)
		}
	}
	return near
}

// targets returns the entries to tell: those of the own zone all there is, speakers
// of other zones the sum of this one. While no speaker of a zone is heard, all of its
// entries are told.
func (e *Entry) targets() []gossip.Peer {
	speaks, sums := e.speaks(), e.freshZones()
	return e.members.targets(e.options.Zone, func(name track.InstanceID, member Member) int {
		sum, heard := sums[member.Zone]
		switch {
		case member.Role != track.RoleEntry:
			return 0
		case member.Zone == e.options.Zone:
			return 1
		case speaks && (!heard || sum.note.Speaker == name):
			return speakerNotes
		}
		return 0
	})
}

// freshZones returns the sums of other zones that were told lately.
func (e *Entry) freshZones() map[track.AvailabilityZone]zoneSum {
	e.mu.Lock()
	defer e.mu.Unlock()
	fresh := make(map[track.AvailabilityZone]zoneSum, len(e.zones))
	for zone, sum := range e.zones {
		if e.options.Clock.Since(sum.told) < gossip.Silence {
			fresh[zone] = sum
		}
	}
	return fresh
}

// zoneNotes returns what a speaker tells of zones: speakers of other zones its own,
// the entries of its zone all others.
func (e *Entry) zoneNotes(far bool) []gossip.ZoneNote {
	if !e.speaks() {
		return nil
	}
	if far {
		return []gossip.ZoneNote{e.sumZone()}
	}
	var notes []gossip.ZoneNote
	for _, sum := range e.freshZones() {
		note := sum.note
		note.Age = e.options.Clock.Since(sum.told)
		notes = append(notes, note)
	}
	return notes
}

// sumZone sums up what the entries of the own zone tell.
func (e *Entry) sumZone() gossip.ZoneNote {
	sum := gossip.ZoneNote{
		Zone: e.options.Zone, Speaker: e.options.Self,
		Ends: map[string]uint64{
			e.options.Topics.Config:   e.config.Mirror().End(),
			e.options.Topics.Replicas: e.replicas.Mirror().End(),
		},
		InFlight: e.inFlight(),
	}
	for _, note := range e.near() {
		addInFlight(sum.InFlight, note.InFlight)
		for topic, end := range note.Ends {
			sum.Ends[topic] = max(sum.Ends[topic], end)
		}
	}
	sum.Ranks = e.nearRanks()
	return sum
}

// nearRanks returns what the agents of the own zone told lately.
func (e *Entry) nearRanks() []gossip.RankBrief {
	e.mu.Lock()
	defer e.mu.Unlock()
	var briefs []gossip.RankBrief
	for _, seen := range e.ranks {
		age := e.options.Clock.Since(seen.told)
		if seen.zone != e.options.Zone || age >= gossip.Silence {
			continue
		}
		brief := seen.brief
		brief.Age = age
		briefs = append(briefs, brief)
	}
	return briefs
}

// takeRank takes what an agent tells of a rank, unless something newer is known.
func (e *Entry) takeRank(brief gossip.RankBrief, zone track.AvailabilityZone) {
	told := e.options.Clock.Now().Add(-max(brief.Age, 0))
	e.mu.Lock()
	old, known := e.ranks[brief.Server]
	if known && told.Before(old.told) {
		e.mu.Unlock()
		return
	}
	e.ranks[brief.Server] = rankSeen{brief: brief, zone: zone, told: told}
	e.mu.Unlock()
	for _, p := range e.allPools() {
		p.SetRank(brief.Server, batch.RankState{Group: brief.Group, Working: brief.Open, Slowdown: brief.Pace, PassDuration: brief.Pass})
	}
}

// takeZones takes the sums of other zones that a note holds.
func (e *Entry) takeZones(note gossip.Note) {
	now := e.options.Clock.Now()
	for _, z := range note.Zones {
		if z.Zone == e.options.Zone {
			continue
		}
		told := now.Add(-max(z.Age, 0))
		e.mu.Lock()
		if old, known := e.zones[z.Zone]; !known || told.After(old.told) {
			e.zones[z.Zone] = zoneSum{note: z, told: told}
		}
		e.mu.Unlock()
		e.config.Heard(z.Ends[e.options.Topics.Config])
		for _, brief := range z.Ranks {
			brief.Age += z.Age
			e.takeRank(brief, z.Zone)
		}
	}
}

// othersInFlight adds up what all other entries have in flight.
func (e *Entry) othersInFlight() map[track.ReplicaID]track.InFlight {
	counts := make(map[track.ReplicaID]track.InFlight)
	for _, note := range e.near() {
		addInFlight(counts, note.InFlight)
	}
	for _, sum := range e.freshZones() {
		addInFlight(counts, sum.note.InFlight)
	}
	return counts
}

func addInFlight(sum, counts map[track.ReplicaID]track.InFlight) {
	for id, n := range counts {
		sum[id] = sum[id].Add(n)
	}
}
