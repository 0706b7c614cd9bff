package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"filberttrack.example/track"
)

// ZoneState says whether another availability zone can be reached.
type ZoneState string

// The states of a zone.
const (
	// ZoneUnknown means that the zone is listed and has not answered yet.
	ZoneUnknown ZoneState = "Unknown"
	ZoneLinked  ZoneState = "Linked"
	ZoneIsCut   ZoneState = "Cut"
)

// zone is another availability zone.
type zone struct {
	name  track.AvailabilityZone
	near  bool
	state ZoneState
	// heard is the time of the latest digest, or that of the first listing.
	heard      time.Time
	targets    []track.TargetDigest
	hash       uint64
	candidates map[track.InstanceID]candidate
}

// candidate is a replica in another zone.
type candidate struct {
	track.Candidate
	joined time.Time
}

// ZoneContact says whom to ask for the digest of another zone.
type ZoneContact struct {
	Zone track.AvailabilityZone
	// Entries lists the zone's entries in the order in which to try them.
	Entries []track.Instance
	// Every is the interval between digests.
	Every time.Duration
	Query track.DigestQuery
}

// ZoneContacts returns whom to ask about each other zone, sorted by zone.
func (s *State) ZoneContacts() []ZoneContact {
	if s.self.Role != track.RoleEntry {
		return nil
	}
	byZone := make(map[track.AvailabilityZone][]track.Instance)
	for id, i := range s.book {
		if i.Role == track.RoleEntry && i.Zone != s.self.Zone && !s.marked(id) {
			byZone[i.Zone] = append(byZone[i.Zone], i)
		}
	}
	contacts := make([]ZoneContact, 0, len(byZone))
	for _, name := range slices.Sorted(maps.Keys(byZone)) {
		entries := byZone[name]
		rendezvous(s.self.ID, entries, func(i track.Instance) track.InstanceID { return i.ID })
		contacts = append(contacts, s.zoneContact(name, entries))
	}
	return contacts
}

func (s *State) zoneContact(name track.AvailabilityZone, entries []track.Instance) ZoneContact {
	near := entries[0].Region == s.self.Region
	c := ZoneContact{
		Zone:    name,
		Entries: entries,
		Every:   s.digestEvery(near),
		Query:   track.DigestQuery{From: s.self, Limit: s.timing.SpillFar},
	}
	if near {
		c.Query.Limit = s.timing.SpillNear
	}
	if z := s.zones[name]; z != nil {
		c.Query.Known = z.hash
	}
	return c
}

func (s *State) digestEvery(near bool) time.Duration {
	if near {
		return s.timing.DigestNear
	}
	return s.timing.DigestFar
}

// Digested takes the digest of another zone.
func (s *State) Digested(now time.Time, near bool, d track.Digest) {
	if d.Zone == s.self.Zone {
		return
	}
	z := s.zones[d.Zone]
	if z == nil {
		z = &zone{name: d.Zone, state: ZoneUnknown}
		s.zones[d.Zone] = z
	}
	z.near = near
	z.heard = now
	z.targets = d.Targets
	s.takeCandidates(now, z, d)
	switch z.state {
	case ZoneIsCut:
		s.rejoin(now, z)
		s.note(Event{Kind: ZoneHealed, Zone: z.name, Reason: "its entries answer again"})
	case ZoneUnknown:
		s.note(Event{Kind: ZoneSeen, Zone: z.name, Reason: "first digest"})
	case ZoneLinked:
	}
	z.state = ZoneLinked
}

func (s *State) takeCandidates(now time.Time, z *zone, d track.Digest) {
	if d.CandidatesHash == z.hash {
		return
	}
	z.hash = d.CandidatesHash
	former := z.candidates
	z.candidates = make(map[track.InstanceID]candidate, len(d.Candidates))
	for _, c := range d.Candidates {
		known, ok := former[c.Agent]
		switch {
		case ok && known.Incarnation > c.Incarnation:
			z.candidates[c.Agent] = known
		case ok && known.Incarnation == c.Incarnation:
			z.candidates[c.Agent] = candidate{Candidate: c, joined: known.joined}
		default:
			z.candidates[c.Agent] = candidate{Candidate: c, joined: now}
		}
	}
}

// rejoin lets the replicas of a healed zone start anew, so that the router ramps
// them up.
func (s *State) rejoin(now time.Time, z *zone) {
	for id, c := range z.candidates {
		c.joined = now
		z.candidates[id] = c
	}
}

func (s *State) tickZones(now time.Time) {
	listed := make(map[track.AvailabilityZone]bool)
	for _, i := range s.book {
		if i.Role != track.RoleEntry || i.Zone == s.self.Zone {
			continue
		}
		listed[i.Zone] = true
		if s.zones[i.Zone] == nil {
			s.zones[i.Zone] = &zone{
				name: i.Zone, near: i.Region == s.self.Region, state: ZoneUnknown, heard: now,
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[name]
		silent := now.Sub(z.heard) > time.Duration(s.timing.CutIntervals)*s.digestEvery(z.near)
		if silent && z.state != ZoneIsCut {
			z.state = ZoneIsCut
			s.note(Event{Kind: ZoneCut, Zone: name, Reason: "no digest"})
		}
		if z.state == ZoneIsCut && !listed[name] {
			delete(s.zones, name)
			s.note(Event{Kind: ZoneGone, Zone: name, Reason: "cut, and no longer listed"})
		}
	}
}

// spill returns the replicas of another zone that may get new work.
func (s *State) spill(z *zone) []track.BackendServer {
	if z.state != ZoneLinked {
		return nil
	}
	var servers []track.BackendServer
	for _, c := range z.candidates {
		p := s.members[c.Agent]
		adopted := p != nil && !p.gone
		if adopted || s.marked(c.Agent) || s.left[c.Agent] >= c.Incarnation {
			continue
		}
		servers = append(servers, track.BackendServer{
			Agent:       c.Agent,
			Incarnation: c.Incarnation,
			Zone:        z.name,
			Target:      c.Target,
			Address:     c.Address,
			Joined:      c.joined,
			Load:        z.meanLoad(c.Target),
			Reported:    z.heard,
		})
	}
	return servers
}

// candidate reports whether another zone offers the replica behind an agent.
func (s *State) candidate(id track.InstanceID) bool {
	for _, z := range s.zones {
		if _, ok := z.candidates[id]; ok {
			return true
		}
	}
	return false
}

// meanLoad returns the average load of the zone's replicas of a target.
func (z *zone) meanLoad(target string) track.Load {
	for _, t := range z.targets {
		if t.Target == target && t.Ready > 0 {
			return track.Load{
				Running:  t.Running / t.Ready,
				Queued:   t.Queued / t.Ready,
				Capacity: t.Capacity / t.Ready,
			}
		}
	}
	return track.Load{}
}

// Isolated reports whether other zones are known and none can be reached.
func (s *State) Isolated() bool {
	for _, z := range s.zones {
		if z.state != ZoneIsCut {
			return false
		}
	}
	return len(s.zones) > 0
}

// Digest returns the digest of the own zone for an entry of another.
func (s *State) Digest(q track.DigestQuery) track.Digest {
	byTarget := make(map[string][]track.Candidate)
	totals := make(map[string]track.TargetDigest)
	for _, p := range s.members {
		if !s.inService(p) || p.suspect || !s.ownAgent(p) {
			continue
		}
		target := p.instance.Serves
		t := totals[target]
		t.Target = target
		t.Ready++
		t.Running += p.load.Running
		t.Queued += p.load.Queued
		t.Capacity += p.load.Capacity
		totals[target] = t
		byTarget[target] = append(byTarget[target], track.Candidate{
			Agent: p.instance.ID, Incarnation: p.incarnation, Address: p.instance.Address, Target: target,
		})
	}
	d := track.Digest{From: s.self.ID, Zone: s.self.Zone}
	for _, target := range slices.Sorted(maps.Keys(totals)) {
		d.Targets = append(d.Targets, totals[target])
		d.Candidates = append(d.Candidates, choose(q, byTarget[target])...)
	}
	d.CandidatesHash = candidatesHash(d.Candidates)
	if d.CandidatesHash == q.Known {
		d.Candidates = nil
	}
	return d
}

// choose returns the candidates of one target for the asking entry.
func choose(q track.DigestQuery, candidates []track.Candidate) []track.Candidate {
	rendezvous(q.From.ID, candidates, func(c track.Candidate) track.InstanceID { return c.Agent })
	chosen := candidates[:min(len(candidates), max(q.Limit, 0))]
	slices.SortFunc(chosen, func(a, b track.Candidate) int { return cmp.Compare(a.Agent, b.Agent) })
	return chosen
}
