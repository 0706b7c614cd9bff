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
	present := make(map[track.InstanceID]bool, len(instances))
	shrunk := s.shrunk(now, len(instances))
	for _, i := range instances {
		present[i.ID] = true
		s.book[i.ID] = i
		if i.State == track.Leaving {
			s.read[i.ID] = now.Add(s.timing.MarkHold)
			s.mark(now, i.ID)
		}
	}
	if shrunk {
		return
	}
	maps.DeleteFunc(s.book, func(id track.InstanceID, _ track.Instance) bool { return !present[id] })
	s.removeUnlisted(present)
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
func (s *State) removeUnlisted(present map[track.InstanceID]bool) {
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		p := s.members[id]
		if p.suspect && !p.gone && !present[id] {
			s.remove(p, "silent, and no longer listed")
		}
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
	var ids []track.InstanceID
	for id := range s.read {
		if s.book[id].Zone == s.self.Zone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// ListDue reports whether it is this instance's turn to read the list, and
// counts the turn as taken. The entries of a zone take turns by the rank of
// their IDs.
func (s *State) ListDue(now time.Time) bool {
	if s.lastList.IsZero() || (s.self.Role == track.RoleAgent && len(s.Entries()) == 0) {
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

func (s *State) takeListTurn(now time.Time, every time.Duration) bool {
	if !s.lastListTry.IsZero() && now.Sub(s.lastListTry) < every {
		return false
	}
	s.lastListTry = now
	return true
}
