package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"filberttrack.example/track"
)

// ZoneState says whether another availability zone is reachable.
type ZoneState string

// The states of a zone.
const (
	// ZoneUnknown means that the zone is listed and has not answered yet.
	ZoneUnknown ZoneState = "Unknown"
	// ZoneReachable means that the zone's digests arrive.
	ZoneReachable ZoneState = "Linked"
	// ZoneUnreachable means that no digest has arrived for too long.
	ZoneUnreachable ZoneState = "Cut"
)

// zone is the state of another availability zone.
type zone struct {
	name       track.AvailabilityZone
	sameRegion bool
	state      ZoneState
	// lastDigest is the time of the latest digest or, before that, when the zone was
	// first listed.
	lastDigest time.Time
	targets    []track.TargetDigest
	// candidatesHash identifies the candidates; 0 if none were received.
	candidatesHash uint64
	candidates     map[track.InstanceID]candidate
}

// candidate is a replica in another zone that may get work from this zone.
type candidate struct {
	track.Candidate
	joined time.Time
}

// DigestTarget describes how to request the digest of another zone.
type DigestTarget struct {
	Zone track.AvailabilityZone
	// Entries lists the zone's entries in the order in which to try them.
	Entries []track.Instance
	// Interval is the interval between requests.
	Interval time.Duration
	Query    track.DigestQuery
}

// DigestTargets returns how to request the digest of each other zone, sorted by zone.
// An agent requests none.
func (s *State) DigestTargets() []DigestTarget {
	if s.self.Role != track.RoleEntry {
		return nil
	}
	byZone := make(map[track.AvailabilityZone][]track.Instance)
	for id, i := range s.listed {
		if i.Role == track.RoleEntry && i.Zone != s.self.Zone && !s.isMarkedLeaving(id) {
			byZone[i.Zone] = append(byZone[i.Zone], i)
		}
	}
	targets := make([]DigestTarget, 0, len(byZone))
	for _, name := range slices.Sorted(maps.Keys(byZone)) {
		entries := byZone[name]
		sortByRendezvousHash(s.self.ID, entries, func(i track.Instance) track.InstanceID { return i.ID })
		targets = append(targets, s.newDigestTarget(name, entries))
	}
	return targets
}

func (s *State) newDigestTarget(name track.AvailabilityZone, entries []track.Instance) DigestTarget {
	sameRegion := entries[0].Region == s.self.Region
	target := DigestTarget{
		Zone:     name,
		Entries:  entries,
		Interval: s.digestInterval(sameRegion),
		Query:    track.DigestQuery{From: s.self, Limit: s.timing.OtherRegionCandidates},
	}
	if sameRegion {
		target.Query.Limit = s.timing.SameRegionCandidates
	}
	if z := s.zones[name]; z != nil {
		target.Query.CandidatesHash = z.candidatesHash
	}
	return target
}

func (s *State) digestInterval(sameRegion bool) time.Duration {
	if sameRegion {
		return s.timing.SameRegionDigestInterval
	}
	return s.timing.OtherRegionDigestInterval
}

// HandleDigest updates the state with a received digest of another zone. sameRegion says
// whether that zone is in this instance's region.
func (s *State) HandleDigest(now time.Time, sameRegion bool, d track.Digest) {
	if d.Zone == s.self.Zone {
		return
	}
	z := s.zones[d.Zone]
	if z == nil {
		z = &zone{name: d.Zone, state: ZoneUnknown}
		s.zones[d.Zone] = z
	}
	z.sameRegion = sameRegion
	z.lastDigest = now
	z.targets = d.Targets
	s.updateCandidates(now, z, d)
	switch z.state {
	case ZoneUnreachable:
		s.resetJoinTimes(now, z)
		s.recordEvent(Event{Kind: EventZoneRecovered, Zone: z.name, Reason: "its entries answer again"})
	case ZoneUnknown:
		s.recordEvent(Event{Kind: EventZoneDiscovered, Zone: z.name, Reason: "first digest received"})
	case ZoneReachable:
	}
	z.state = ZoneReachable
}

// updateCandidates replaces the zone's candidates with those of the digest. A candidate
// keeps its join time while its incarnation is the same, and an older incarnation never
// replaces a newer one.
func (s *State) updateCandidates(now time.Time, z *zone, d track.Digest) {
	if d.CandidatesHash == z.candidatesHash {
		return
	}
	z.candidatesHash = d.CandidatesHash
	previous := z.candidates
	z.candidates = make(map[track.InstanceID]candidate, len(d.Candidates))
	for _, c := range d.Candidates {
		known, ok := previous[c.Agent]
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

// resetJoinTimes makes the replicas of a zone that is reachable again count as newly
// joined, so that the router ramps up their load.
func (s *State) resetJoinTimes(now time.Time, z *zone) {
	for id, c := range z.candidates {
		c.joined = now
		z.candidates[id] = c
	}
}

// updateZones adds newly listed zones, marks silent ones as unreachable, and deletes
// unreachable zones that are no longer listed.
func (s *State) updateZones(now time.Time) {
	listed := make(map[track.AvailabilityZone]bool)
	for _, i := range s.listed {
		if i.Role != track.RoleEntry || i.Zone == s.self.Zone {
			continue
		}
		listed[i.Zone] = true
		if s.zones[i.Zone] == nil {
			s.zones[i.Zone] = &zone{
				name: i.Zone, sameRegion: i.Region == s.self.Region, state: ZoneUnknown, lastDigest: now,
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[name]
		silent := now.Sub(z.lastDigest) > time.Duration(s.timing.UnreachableIntervals)*s.digestInterval(z.sameRegion)
		if silent && z.state != ZoneUnreachable {
			z.state = ZoneUnreachable
			s.recordEvent(Event{Kind: EventZoneUnreachable, Zone: name, Reason: "no digest received in time"})
		}
		if z.state == ZoneUnreachable && !listed[name] {
			delete(s.zones, name)
			s.recordEvent(Event{Kind: EventZoneRemoved, Zone: name, Reason: "unreachable and no longer in the instance list"})
		}
	}
}

// zoneServers returns the replicas of another zone that may get new work.
func (s *State) zoneServers(z *zone) []track.BackendServer {
	if z.state != ZoneReachable {
		return nil
	}
	var servers []track.BackendServer
	for _, c := range z.candidates {
		p := s.peers[c.Agent]
		heardDirectly := p != nil && !p.removed
		if heardDirectly || s.isMarkedLeaving(c.Agent) || s.refusedLeaving[c.Agent] >= c.Incarnation {
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
			Reported:    z.lastDigest,
		})
	}
	return servers
}

// isCandidate reports whether another zone offers the replica behind an agent.
func (s *State) isCandidate(id track.InstanceID) bool {
	for _, z := range s.zones {
		if _, ok := z.candidates[id]; ok {
			return true
		}
	}
	return false
}

// meanLoad returns the mean load of the zone's replicas of a target, as of its last
// digest; zero if the digest doesn't include the target.
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

// Isolated reports whether other zones are known but none of them is reachable.
func (s *State) Isolated() bool {
	for _, z := range s.zones {
		if z.state != ZoneUnreachable {
			return false
		}
	}
	return len(s.zones) > 0
}

// Digest returns the digest of the own zone for an entry of another zone. It omits the
// candidates if the entry already has them.
func (s *State) Digest(q track.DigestQuery) track.Digest {
	byTarget := make(map[string][]track.Candidate)
	totals := make(map[string]track.TargetDigest)
	for _, p := range s.peers {
		if !s.inService(p) || p.suspect || !s.isOwnAgent(p) {
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
	digest := track.Digest{From: s.self.ID, Zone: s.self.Zone}
	for _, target := range slices.Sorted(maps.Keys(totals)) {
		digest.Targets = append(digest.Targets, totals[target])
		digest.Candidates = append(digest.Candidates, selectCandidates(q, byTarget[target])...)
	}
	digest.CandidatesHash = hashCandidates(digest.Candidates)
	if digest.CandidatesHash == q.CandidatesHash {
		digest.Candidates = nil
	}
	return digest
}

// selectCandidates returns the candidates of one target for the requesting entry, at
// most q.Limit of them. Requesting entries are spread evenly over the replicas.
func selectCandidates(q track.DigestQuery, candidates []track.Candidate) []track.Candidate {
	sortByRendezvousHash(q.From.ID, candidates, func(c track.Candidate) track.InstanceID { return c.Agent })
	selected := candidates[:min(len(candidates), max(q.Limit, 0))]
	slices.SortFunc(selected, func(a, b track.Candidate) int { return cmp.Compare(a.Agent, b.Agent) })
	return selected
}
