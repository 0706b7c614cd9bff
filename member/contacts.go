package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"filberttrack.example/track"
)

// Contact says whom to send heartbeats to.
type Contact struct {
	Instance track.Instance
	// Every is the interval between heartbeats to this peer.
	Every time.Duration
}

// Contacts returns the peers of the own zone that get heartbeats, sorted by ID:
// the entries, and for an entry also the agents that it does not hear.
func (s *State) Contacts() []Contact {
	found := make(map[track.InstanceID]Contact)
	for id, e := range s.learned {
		found[id] = Contact{Instance: e.instance, Every: s.timing.Retry}
	}
	for id, i := range s.book {
		if i.Zone == s.self.Zone && s.greets(i) {
			found[id] = Contact{Instance: i, Every: s.timing.Retry}
		}
	}
	interval := s.Interval()
	for id, p := range s.members {
		switch {
		case p.gone:
		case p.instance.Role == track.RoleEntry:
			found[id] = Contact{Instance: p.instance, Every: interval}
		case p.suspect:
			found[id] = Contact{Instance: p.instance, Every: s.timing.MinSuspect}
		default:
			delete(found, id)
		}
	}
	delete(found, s.self.ID)
	return slices.SortedFunc(maps.Values(found), func(a, b Contact) int {
		return cmp.Compare(a.Instance.ID, b.Instance.ID)
	})
}

// greets reports whether this instance makes itself known to a listed one. Agents
// do not greet each other.
func (s *State) greets(i track.Instance) bool {
	if i.Role == track.RoleEntry {
		return true
	}
	return i.Role == track.RoleAgent && s.self.Role == track.RoleEntry
}

// Find returns what is known of an instance: as heard, as listed, or as named by
// a peer.
func (s *State) Find(id track.InstanceID) (track.Instance, bool) {
	if p := s.members[id]; p != nil {
		return p.instance, true
	}
	if i, ok := s.book[id]; ok {
		return i, true
	}
	e, ok := s.learned[id]
	return e.instance, ok
}
