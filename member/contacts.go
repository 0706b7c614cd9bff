package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"filberttrack.example/track"
)

// HeartbeatTarget is a peer that gets heartbeats.
type HeartbeatTarget struct {
	Instance track.Instance
	// Interval is the interval between heartbeats to the peer.
	Interval time.Duration
}

// HeartbeatTargets returns the peers that get heartbeats, sorted by ID. These are the entries
// of the own zone or, for an agent whose zone has none, its fallback entries. An entry
// also sends heartbeats to the agents that it should hear from but does not.
func (s *State) HeartbeatTargets() []HeartbeatTarget {
	targets := make(map[track.InstanceID]HeartbeatTarget)
	for id, e := range s.namedEntries {
		targets[id] = HeartbeatTarget{Instance: e.instance, Interval: s.timing.RetryInterval}
	}
	for id, i := range s.listed {
		if i.Zone == s.self.Zone && i.Role != s.self.Role || i.Role == track.RoleEntry && i.Zone == s.self.Zone {
			targets[id] = HeartbeatTarget{Instance: i, Interval: s.timing.RetryInterval}
		}
	}
	for _, i := range s.fallbackPeers() {
		targets[i.ID] = HeartbeatTarget{Instance: i, Interval: s.timing.RetryInterval}
	}
	interval := s.Interval()
	// An agent of a zone without entries sends heartbeats to all entries it has heard.
	withoutEntry := s.self.Role == track.RoleAgent && len(s.Entries()) == 0
	for id, p := range s.peers {
		switch {
		case p.removed:
		case p.instance.Role == track.RoleEntry:
			if p.instance.Zone == s.self.Zone || withoutEntry {
				targets[id] = HeartbeatTarget{Instance: p.instance, Interval: interval}
			}
		case p.suspect:
			targets[id] = HeartbeatTarget{Instance: p.instance, Interval: s.timing.MinSuspectAfter}
		default:
			delete(targets, id)
		}
	}
	delete(targets, s.self.ID)
	return slices.SortedFunc(maps.Values(targets), func(a, b HeartbeatTarget) int {
		return cmp.Compare(a.Instance.ID, b.Instance.ID)
	})
}

// fallbackPeers returns the peers in other zones that this instance is assigned to:
// for an agent of a zone without entries its fallback entries, for an entry the agents
// that it is a fallback for. Both sides choose by the same rendezvous hash of the
// agent's ID.
func (s *State) fallbackPeers() []track.Instance {
	if s.self.Role == track.RoleAgent {
		if len(s.Entries()) > 0 {
			return nil
		}
		return s.fallbackEntries(s.self)
	}
	var agents []track.Instance
	for _, i := range s.listed {
		if i.Role != track.RoleAgent || i.Zone == s.self.Zone {
			continue
		}
		isSelf := func(e track.Instance) bool { return e.ID == s.self.ID }
		if slices.ContainsFunc(s.fallbackEntries(i), isSelf) {
			agents = append(agents, i)
		}
	}
	return agents
}

// fallbackEntries returns the entries in other zones of the region that take over an
// agent.
func (s *State) fallbackEntries(agent track.Instance) []track.Instance {
	var entries []track.Instance
	for id, i := range s.listed {
		if i.Role == track.RoleEntry && i.Region == agent.Region && i.Zone != agent.Zone && id != s.self.ID {
			entries = append(entries, i)
		}
	}
	if s.self.Role == track.RoleEntry {
		entries = append(entries, s.self)
	}
	sortByRendezvousHash(agent.ID, entries, func(i track.Instance) track.InstanceID { return i.ID })
	return entries[:min(len(entries), s.timing.FallbackEntries)]
}

// Known returns all other instances that were heard, are listed or were named by a
// peer, except removed ones, sorted by ID.
func (s *State) Known() []track.Instance {
	known := make(map[track.InstanceID]track.Instance)
	for id, e := range s.namedEntries {
		known[id] = e.instance
	}
	maps.Copy(known, s.listed)
	for id, p := range s.peers {
		known[id] = p.instance
		if p.removed {
			delete(known, id)
		}
	}
	delete(known, s.self.ID)
	return slices.SortedFunc(maps.Values(known), func(a, b track.Instance) int {
		return cmp.Compare(a.ID, b.ID)
	})
}

// Find returns an instance by its ID: as last heard, else as listed, else as named by
// a peer.
func (s *State) Find(id track.InstanceID) (track.Instance, bool) {
	if p := s.peers[id]; p != nil {
		return p.instance, true
	}
	if i, ok := s.listed[id]; ok {
		return i, true
	}
	e, ok := s.namedEntries[id]
	return e.instance, ok
}
