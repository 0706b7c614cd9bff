package member

import (
	"maps"
	"slices"
	"time"

	"filberttrack.example/track"
)

// UpdateList updates the state with a newly read copy of the platform's instance list.
// An empty list is ignored.
func (s *State) UpdateList(now time.Time, instances []track.Instance) {
	if len(instances) == 0 {
		s.recordEvent(Event{Kind: EventListEmpty, Reason: "the previous list stays in use"})
		return
	}
	s.lastListRead = now
	for _, i := range instances {
		if i.State == track.InstanceLeaving {
			s.recordOwnLeavingMark(now, i)
		}
	}
	kept := s.relevantInstances(instances)
	shrunk := s.hasShrunk(now, len(kept))
	if !shrunk {
		clear(s.listed)
	}
	for _, i := range kept {
		s.listed[i.ID] = i
	}
	if !shrunk {
		s.removeUnlisted()
	}
}

// relevantInstances returns the listed instances that this one may exchange messages
// with: those of its own zone, those of its region in the other role (agents only if
// their zone has no entry) and, for an entry, the entries of all zones.
func (s *State) relevantInstances(instances []track.Instance) []track.Instance {
	hasEntry := make(map[track.AvailabilityZone]bool)
	for _, i := range instances {
		if i.Role == track.RoleEntry {
			hasEntry[i.Zone] = true
		}
	}
	var kept []track.Instance
	for _, i := range instances {
		bothEntries := i.Role == track.RoleEntry && s.self.Role == track.RoleEntry
		if bothEntries || (s.mayExchangeHeartbeats(i) &&
			(i.Role == track.RoleEntry || i.Zone == s.self.Zone || !hasEntry[i.Zone])) {
			kept = append(kept, i)
		}
	}
	return kept
}

// recordOwnLeavingMark records that the list read by this instance itself gives an instance
// as leaving.
func (s *State) recordOwnLeavingMark(now time.Time, i track.Instance) {
	if i.Zone == s.self.Zone {
		s.ownLeavingMarks[i.ID] = now.Add(s.timing.LeavingMarkTTL)
	}
	s.recordLeavingMark(now, i.ID)
}

// hasShrunk reports whether a list of the given length lost more than half of the
// instances at once and has not yet been that short for ShrunkListDelay. Such a list
// may be incomplete, so it removes no instances.
func (s *State) hasShrunk(now time.Time, length int) bool {
	if length*2 >= len(s.listed) {
		s.listShrunkSince = time.Time{}
		return false
	}
	if s.listShrunkSince.IsZero() {
		s.listShrunkSince = now
		s.recordEvent(Event{Kind: EventListShrunk, Reason: "instances missing from the list stay known for now"})
	}
	return now.Sub(s.listShrunkSince) < s.timing.ShrunkListDelay
}

// removeUnlisted removes the suspect peers that are no longer listed.
func (s *State) removeUnlisted() {
	unlisted := func(p *peer) bool {
		_, listed := s.listed[p.instance.ID]
		return p.suspect && !listed
	}
	for _, p := range s.present(unlisted) {
		s.removePeer(p, "silent and no longer in the instance list")
	}
}

// recordLeavingMark records that the list, as read by this instance or a peer, gives
// an instance as leaving.
func (s *State) recordLeavingMark(now time.Time, id track.InstanceID) {
	if !s.isMarkedLeaving(id) {
		s.recordEvent(Event{Kind: EventListedLeaving, Instance: id, Reason: "the instance list gives it as leaving"})
	}
	s.leavingMarks[id] = now.Add(s.timing.LeavingMarkTTL)
}

// isMarkedLeaving reports whether the instance list gives an instance as leaving.
func (s *State) isMarkedLeaving(id track.InstanceID) bool {
	_, ok := s.leavingMarks[id]
	return ok
}

// ListedLeaving returns the sorted IDs of the instances of the own zone that are leaving
// according to the lists that this instance read itself. Marks read by others are left
// out, so that they are not passed on.
func (s *State) ListedLeaving() []track.InstanceID {
	return slices.Sorted(maps.Keys(s.ownLeavingMarks))
}

// TakeListTurn reports whether it is this instance's turn to read the list. If so, the turn
// counts as taken, and the caller should read the list. The entries of a zone take turns
// in the order of their IDs.
func (s *State) TakeListTurn(now time.Time) bool {
	if s.lastListRead.IsZero() || (s.self.Role == track.RoleAgent && !s.hearsEntry()) {
		return s.listReadDue(now, s.timing.RetryInterval)
	}
	if s.self.Role == track.RoleAgent {
		return s.listReadDue(now, s.timing.AgentListInterval)
	}
	entries := s.Entries()
	index := slices.IndexFunc(entries, func(e track.EntryRef) bool { return e.ID == s.self.ID })
	slot := now.UnixNano() / int64(s.timing.ListInterval)
	if slot == s.lastListSlot || slot%int64(len(entries)) != int64(index) {
		return false
	}
	s.lastListSlot = slot
	s.lastListAttempt = now
	return true
}

// hearsEntry reports whether any entry is heard, of the own zone or another.
func (s *State) hearsEntry() bool {
	for _, p := range s.peers {
		if p.instance.Role == track.RoleEntry && !p.removed {
			return true
		}
	}
	return false
}

// listReadDue reports whether the interval has passed since the last attempt to read
// the list, and if so records a new attempt.
func (s *State) listReadDue(now time.Time, interval time.Duration) bool {
	if !s.lastListAttempt.IsZero() && now.Sub(s.lastListAttempt) < interval {
		return false
	}
	s.lastListAttempt = now
	return true
}
