package member

import (
	"maps"
	"slices"
	"time"

	"filberttrack.example/track"
)

// Listed takes a reading of the platform's instance list.
func (s *State) Listed(now time.Time, instances []track.Instance) {
	if len(instances) == 0 {
		s.note(Event{Kind: ListEmpty, Reason: "the former list stays in use"})
		return
	}
	s.lastList = now
	for _, i := range instances {
		if i.State == track.Leaving {
			s.readMark(now, i)
		}
	}
	kept := s.relevant(instances)
	shrunk := s.shrunk(now, len(kept))
	if !shrunk {
		clear(s.book)
	}
	for _, i := range kept {
		s.book[i.ID] = i
	}
	if !shrunk {
		s.removeUnlisted()
	}
}

// relevant returns the listed instances that this one may talk to: those of its
// own zone, agents of its region that no entry of their zone can hear, and for an
// entry the entries of all zones.
func (s *State) relevant(instances []track.Instance) []track.Instance {
	served := make(map[track.AvailabilityZone]bool)
	for _, i := range instances {
		if i.Role == track.RoleEntry {
			served[i.Zone] = true
		}
	}
	var kept []track.Instance
	for _, i := range instances {
		peers := i.Role == track.RoleEntry && s.self.Role == track.RoleEntry
		if peers || (s.mayTalkTo(i) && (i.Role == track.RoleEntry || i.Zone == s.self.Zone || !served[i.Zone])) {
			kept = append(kept, i)
		}
	}
	return kept
}

// readMark notes a leaving mark that this instance read itself.
func (s *State) readMark(now time.Time, i track.Instance) {
	if i.Zone == s.self.Zone {
		s.read[i.ID] = now.Add(s.timing.MarkHold)
	}
	s.mark(now, i.ID)
}

// shrunk reports whether a list of the given length lost so much at once that
// it is not believed yet.
func (s *State) shrunk(now time.Time, length int) bool {
	if length*2 >= len(s.book) {
		s.shrunkSince = time.Time{}
		return false
	}
	if s.shrunkSince.IsZero() {
		s.shrunkSince = now
		s.note(Event{Kind: ListShrunk, Reason: "instances missing from it stay known"})
	}
	return now.Sub(s.shrunkSince) < s.timing.ShrinkHold
}

// removeUnlisted removes peers that are silent and no longer listed.
func (s *State) removeUnlisted() {
	unlisted := func(p *peer) bool {
		_, listed := s.book[p.instance.ID]
		return p.suspect && !listed
	}
	for _, p := range s.present(unlisted) {
		s.remove(p, "silent, and no longer listed")
	}
}

// mark notes that the list gives an instance as leaving.
func (s *State) mark(now time.Time, id track.InstanceID) {
	if !s.marked(id) {
		s.note(Event{Kind: LeavingMark, Instance: id, Reason: "the instance list gives it as leaving"})
	}
	s.told[id] = now.Add(s.timing.MarkHold)
}

func (s *State) marked(id track.InstanceID) bool {
	_, ok := s.told[id]
	return ok
}

// Marked returns the instances of the own zone that this instance itself read
// to be leaving, sorted.
func (s *State) Marked() []track.InstanceID {
	return slices.Sorted(maps.Keys(s.read))
}

// ListDue reports whether it is this instance's turn to read the list, and
// counts the turn as taken. The entries of a zone take turns by the rank of
// their IDs.
func (s *State) ListDue(now time.Time) bool {
	if s.lastList.IsZero() || (s.self.Role == track.RoleAgent && !s.hearsEntry()) {
		return s.takeListTurn(now, s.timing.Retry)
	}
	if s.self.Role == track.RoleAgent {
		return s.takeListTurn(now, s.timing.AgentList)
	}
	entries := s.Entries()
	rank := slices.IndexFunc(entries, func(e track.EntryRef) bool { return e.ID == s.self.ID })
	slot := now.UnixNano() / int64(s.timing.ListTurn)
	if slot == s.lastListSlot || slot%int64(len(entries)) != int64(rank) {
		return false
	}
	s.lastListSlot = slot
	s.lastListTry = now
	return true
}

// hearsEntry reports whether any entry is heard, of the own zone or an adopter.
func (s *State) hearsEntry() bool {
	for _, p := range s.members {
		if p.instance.Role == track.RoleEntry && !p.gone {
			return true
		}
	}
	return false
}

func (s *State) takeListTurn(now time.Time, every time.Duration) bool {
	if !s.lastListTry.IsZero() && now.Sub(s.lastListTry) < every {
		return false
	}
	s.lastListTry = now
	return true
}
