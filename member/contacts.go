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

// Contacts returns the peers that get heartbeats, sorted by ID: the entries of
// the own zone or else the adopters, and for an entry also the agents that it
// should hear and does not.
func (s *State) Contacts() []Contact {
	found := make(map[track.InstanceID]Contact)
	for id, e := range s.learned {
		found[id] = Contact{Instance: e.instance, Every: s.timing.Retry}
	}
	for id, i := range s.book {
		if i.Zone == s.self.Zone && i.Role != s.self.Role || i.Role == track.RoleEntry && i.Zone == s.self.Zone {
			found[id] = Contact{Instance: i, Every: s.timing.Retry}
		}
	}
	for _, i := range s.adoptions() {
		found[i.ID] = Contact{Instance: i, Every: s.timing.Retry}
	}
	interval := s.Interval()
	// An agent of a zone without entries answers whoever greets it.
	orphan := s.self.Role == track.RoleAgent && len(s.Entries()) == 0
	for id, p := range s.members {
		switch {
		case p.gone:
		case p.instance.Role == track.RoleEntry:
			if p.instance.Zone == s.self.Zone || orphan {
				found[id] = Contact{Instance: p.instance, Every: interval}
			}
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

// adoptions returns the peers in other zones with which an agent of a zone
// without entries and its adopters talk. Both sides choose by the same rendezvous
// hash of the agent's ID.
func (s *State) adoptions() []track.Instance {
	if s.self.Role == track.RoleAgent {
		if len(s.Entries()) > 0 {
			return nil
		}
		return s.adopters(s.self)
	}
	var agents []track.Instance
	for _, i := range s.book {
		if i.Role != track.RoleAgent || i.Zone == s.self.Zone {
			continue
		}
		mine := func(e track.Instance) bool { return e.ID == s.self.ID }
		if slices.ContainsFunc(s.adopters(i), mine) {
			agents = append(agents, i)
		}
	}
	return agents
}

// adopters returns the entries of other zones in the region that take over an
// agent.
func (s *State) adopters(agent track.Instance) []track.Instance {
	var entries []track.Instance
	for id, i := range s.book {
		if i.Role == track.RoleEntry && i.Region == agent.Region && i.Zone != agent.Zone && id != s.self.ID {
			entries = append(entries, i)
		}
	}
	if s.self.Role == track.RoleEntry {
		entries = append(entries, s.self)
	}
	rendezvous(agent.ID, entries, func(i track.Instance) track.InstanceID { return i.ID })
	return entries[:min(len(entries), s.timing.Adopters)]
}

// Known returns all other instances that are heard, listed or named by a peer,
// without those known to be gone, sorted by ID.
func (s *State) Known() []track.Instance {
	known := make(map[track.InstanceID]track.Instance)
	for id, e := range s.learned {
		known[id] = e.instance
	}
	maps.Copy(known, s.book)
	for id, p := range s.members {
		known[id] = p.instance
		if p.gone {
			delete(known, id)
		}
	}
	delete(known, s.self.ID)
	return slices.SortedFunc(maps.Values(known), func(a, b track.Instance) int {
		return cmp.Compare(a.ID, b.ID)
	})
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
