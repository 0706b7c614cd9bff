// Package member holds the membership as one instance sees it: which other instances
// are live, suspect or leaving, and which availability zones are unreachable. It is a
// pure state machine: callers pass in the time and the messages, and it starts no
// goroutines or I/O.
package member

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"filberttrack.example/track"
)

// State is the membership as one instance sees it. It is not safe for
// concurrent use.
type State struct {
	self        track.Instance
	incarnation track.Incarnation
	timing      Timing

	// peers holds every peer that has been heard, by ID. A removed peer stays for
	// TombstoneTTL.
	peers map[track.InstanceID]*peer
	// listed holds the relevant instances of the last accepted instance list.
	listed map[track.InstanceID]track.Instance
	// namedEntries holds entries of the own zone that peers named but that have not
	// been heard yet.
	namedEntries map[track.InstanceID]namedEntry
	// ownLeavingMarks holds the instances of the own zone that are leaving according to the
	// lists that this instance read itself, with the time at which the mark expires.
	// leavingMarks also holds those of other zones and those that peers read.
	ownLeavingMarks map[track.InstanceID]time.Time
	leavingMarks    map[track.InstanceID]time.Time
	// refusedLeaving holds the latest incarnation of each agent in another zone that
	// refused a dispatch because it is leaving.
	refusedLeaving map[track.InstanceID]track.Incarnation
	zones          map[track.AvailabilityZone]*zone

	lastTick        time.Time
	lastListRead    time.Time
	lastListAttempt time.Time
	// listShrunkSince is when the list lost more than half of its instances; zero if
	// it did not.
	listShrunkSince time.Time
	// lastListSlot numbers the turn in which this entry last read the list.
	lastListSlot int64
	// majoritySilent is set while more than half of the zone's agents are silent.
	majoritySilent bool
	events         []Event
}

// peer is another process that has been heard: one of the own zone, or one of another
// zone if an agent's zone has no entry.
type peer struct {
	instance    track.Instance
	incarnation track.Incarnation
	// seq is the sequence number of the latest heartbeat.
	seq       uint64
	lastHeard time.Time
	// joined is when the peer, or its backend server, came into service. The router
	// ramps up its load from then on.
	joined    time.Time
	suspect   bool
	removed   bool
	leaving   bool
	backendUp bool
	load      track.Load
	// interval is the heartbeat interval that the peer, an entry, can afford.
	interval time.Duration
}

// namedEntry is an entry of the own zone that a peer named.
type namedEntry struct {
	instance track.Instance
	since    time.Time
}

// New returns the state of an instance that has not heard any peer yet.
func New(self track.Instance, incarnation track.Incarnation, timing Timing) *State {
	return &State{
		self:            self,
		incarnation:     incarnation,
		timing:          timing,
		peers:           make(map[track.InstanceID]*peer),
		listed:          make(map[track.InstanceID]track.Instance),
		namedEntries:    make(map[track.InstanceID]namedEntry),
		ownLeavingMarks: make(map[track.InstanceID]time.Time),
		leavingMarks:    make(map[track.InstanceID]time.Time),
		refusedLeaving:  make(map[track.InstanceID]track.Incarnation),
		zones:           make(map[track.AvailabilityZone]*zone),
	}
}

// Self returns the instance and incarnation whose view of the membership this is.
func (s *State) Self() (track.Instance, track.Incarnation) {
	return s.self, s.incarnation
}

// HandleHeartbeat updates the state with a received heartbeat. Errors are of type *Error: Stale
// if a later heartbeat was received before, WrongZone if the sender should not send
// heartbeats to this instance, and DuplicateID if it uses this instance's ID.
func (s *State) HandleHeartbeat(now time.Time, h track.Heartbeat) error {
	const op = "receive heartbeat"
	switch {
	case !s.mayExchangeHeartbeats(h.From):
		return track.Fail(op, WrongZone, errors.New("sender is in zone "+string(h.From.Zone)))
	case h.From.ID == s.self.ID:
		return track.Fail(op, DuplicateID, errors.New("another process uses ID "+string(h.From.ID)))
	}
	p := s.peers[h.From.ID]
	if p != nil && isStale(p, h.Incarnation, h.Seq) {
		return track.Fail(op, Stale, errors.New("a later heartbeat was received before"))
	}
	p = s.recordContact(now, h.From, h.Incarnation)
	p.seq = h.Seq
	p.load = h.Load
	if h.Up && !p.backendUp {
		p.joined = now
	}
	p.backendUp = h.Up
	if h.Leaving {
		s.setLeaving(p, "announced by the instance itself")
	}
	for _, id := range h.ListedLeaving {
		s.recordLeavingMark(now, id)
	}
	return nil
}

// isStale reports whether a heartbeat with the given numbers is not newer than the
// latest one of the peer.
func isStale(p *peer, incarnation track.Incarnation, seq uint64) bool {
	if incarnation != p.incarnation {
		return incarnation < p.incarnation
	}
	return seq <= p.seq
}

// recordContact records that a peer was heard just now. The incarnation must not be
// lower than the known one.
func (s *State) recordContact(now time.Time, instance track.Instance, incarnation track.Incarnation) *peer {
	p := s.peers[instance.ID]
	switch {
	case p == nil:
		p = &peer{joined: now}
		s.peers[instance.ID] = p
		s.recordPeerEvent(EventJoined, instance, incarnation, "first heard")
	case incarnation > p.incarnation:
		p = &peer{joined: now}
		s.peers[instance.ID] = p
		s.recordPeerEvent(EventRestarted, instance, incarnation, "new incarnation")
	case p.removed:
		p.joined = now
		s.recordPeerEvent(EventReturned, instance, incarnation, "heard after its removal")
	case p.suspect:
		s.recordPeerEvent(EventRecovered, instance, incarnation, "heard again")
	}
	p.instance = instance
	p.incarnation = incarnation
	p.lastHeard = now
	p.suspect = false
	p.removed = false
	return p
}

// mayExchangeHeartbeats reports whether this instance and another may exchange heartbeats:
// within a zone, and between an agent and the entries of its region.
func (s *State) mayExchangeHeartbeats(i track.Instance) bool {
	return i.Zone == s.self.Zone || (i.Region == s.self.Region && i.Role != s.self.Role)
}

// HandleReply updates the state with a peer's reply to a heartbeat.
func (s *State) HandleReply(now time.Time, to track.Instance, r track.HeartbeatReply) {
	if r.AgentState != nil && r.AgentState.From.ID == to.ID {
		// If the peer's heartbeat is stale, a later one has already been processed.
		_ = s.HandleHeartbeat(now, *r.AgentState)
		return
	}
	if r.From != to.ID || to.Role != track.RoleEntry {
		return
	}
	if p := s.peers[to.ID]; p != nil && r.Incarnation < p.incarnation {
		return
	}
	p := s.recordContact(now, to, r.Incarnation)
	p.interval = r.Interval
	s.addNamedEntries(now, r.Entries)
}

// addNamedEntries records the entries of the own zone that a peer named.
func (s *State) addNamedEntries(now time.Time, entries []track.EntryRef) {
	for _, e := range entries {
		if e.ID == s.self.ID {
			continue
		}
		if p := s.peers[e.ID]; p != nil && !p.removed {
			continue
		}
		if _, ok := s.namedEntries[e.ID]; ok {
			continue
		}
		s.namedEntries[e.ID] = namedEntry{
			since: now,
			instance: track.Instance{
				ID: e.ID, Role: track.RoleEntry, Region: s.self.Region, Zone: s.self.Zone,
				Address: e.Address, State: track.InstanceLive,
			},
		}
	}
}

// HandleConnectionRefused records that the peer's machine refused a connection. It removes the peer
// if it is suspect already.
func (s *State) HandleConnectionRefused(id track.InstanceID) {
	p := s.peers[id]
	if p == nil || p.removed || !p.suspect {
		return
	}
	s.removePeer(p, "silent, and its machine refuses connections")
}

// HandleLeavingRefusal records that an agent refused a dispatch because it is leaving.
func (s *State) HandleLeavingRefusal(id track.InstanceID, incarnation track.Incarnation) {
	if p := s.peers[id]; p != nil {
		if p.incarnation == incarnation {
			s.setLeaving(p, "refused a dispatch")
		}
		return
	}
	s.refusedLeaving[id] = max(s.refusedLeaving[id], incarnation)
}

func (s *State) setLeaving(p *peer, reason string) {
	if p.leaving {
		return
	}
	p.leaving = true
	s.recordPeerEvent(EventLeaving, p.instance, p.incarnation, reason)
}

// Tick updates the state to the given time: silent peers become suspect and later
// removed, silent zones become unreachable, and expired data is deleted. It should be
// called several times a second.
func (s *State) Tick(now time.Time) {
	s.compensatePause(now)
	s.updatePeers(now)
	s.updateZones(now)
	s.deleteExpired(now)
}

// compensatePause detects that this process was paused, and does not count the pause
// as silence of peers and zones.
func (s *State) compensatePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	first := s.lastTick.IsZero()
	s.lastTick = now
	if first || gap <= s.timing.PauseThreshold {
		return
	}
	for _, p := range s.peers {
		p.lastHeard = earlier(p.lastHeard.Add(gap), now)
	}
	for _, z := range s.zones {
		z.lastDigest = earlier(z.lastDigest.Add(gap), now)
	}
	s.recordEvent(Event{Kind: EventSelfPaused, Instance: s.self.ID, Reason: gap.String()})
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// updatePeers makes silent peers suspect, and removes those silent for longer.
func (s *State) updatePeers(now time.Time) {
	interval := s.Interval()
	suspectAfter := s.timing.suspectAfter(interval)
	removeAfter := s.timing.removeAfter(interval)
	silent := func(p *peer) bool { return !p.suspect && now.Sub(p.lastHeard) > suspectAfter }
	for _, p := range s.present(silent) {
		p.suspect = true
		s.recordPeerEvent(EventSuspected, p.instance, p.incarnation, "silent for "+suspectAfter.String())
	}
	s.updateMajoritySilent()
	expired := func(p *peer) bool {
		protected := s.majoritySilent && s.isOwnAgent(p)
		return p.suspect && !protected && now.Sub(p.lastHeard) > removeAfter
	}
	for _, p := range s.present(expired) {
		s.removePeer(p, "silent for "+removeAfter.String())
	}
}

// present returns the matching peers that are not removed, sorted by ID.
func (s *State) present(match func(*peer) bool) []*peer {
	var matching []*peer
	for _, p := range s.peers {
		if !p.removed && match(p) {
			matching = append(matching, p)
		}
	}
	slices.SortFunc(matching, func(a, b *peer) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return matching
}

// updateMajoritySilent checks whether more than half of the zone's agents are silent.
// The fault is then more likely on this side, so no agents are removed for silence.
func (s *State) updateMajoritySilent() {
	total, silent := 0, 0
	for _, p := range s.peers {
		if !s.isOwnAgent(p) || p.removed || p.leaving {
			continue
		}
		total++
		if p.suspect {
			silent++
		}
	}
	majority := silent*2 > total
	if majority == s.majoritySilent {
		return
	}
	s.majoritySilent = majority
	kind := EventMajorityHeard
	if majority {
		kind = EventMajoritySilent
	}
	s.recordEvent(Event{
		Kind: kind, Zone: s.self.Zone,
		Reason: "agents are not removed while more than half of those in the zone are silent",
	})
}

func (s *State) removePeer(p *peer, reason string) {
	p.removed = true
	s.recordPeerEvent(EventRemoved, p.instance, p.incarnation, reason)
}

// deleteExpired deletes leaving marks, named entries, refusals and removed peers that
// no longer matter.
func (s *State) deleteExpired(now time.Time) {
	expired := func(_ track.InstanceID, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(s.ownLeavingMarks, expired)
	maps.DeleteFunc(s.leavingMarks, expired)
	maps.DeleteFunc(s.namedEntries, func(id track.InstanceID, e namedEntry) bool {
		p := s.peers[id]
		return (p != nil && !p.removed) || now.Sub(e.since) > s.timing.TombstoneTTL
	})
	maps.DeleteFunc(s.refusedLeaving, func(id track.InstanceID, _ track.Incarnation) bool { return !s.isCandidate(id) })
	maps.DeleteFunc(s.peers, func(_ track.InstanceID, p *peer) bool {
		return p.removed && now.Sub(p.lastHeard) > s.timing.TombstoneTTL
	})
}

// Interval returns the heartbeat interval: for an entry the one at which it can afford
// to receive, for an agent the shortest that all its entries can afford.
func (s *State) Interval() time.Duration {
	if s.self.Role == track.RoleEntry {
		return s.timing.affordableInterval(s.countAgents())
	}
	interval := s.timing.HeartbeatInterval
	for _, p := range s.peers {
		if !p.removed {
			interval = max(interval, p.interval)
		}
	}
	return interval
}

func (s *State) countAgents() int {
	n := 0
	for _, p := range s.peers {
		if p.instance.Role == track.RoleAgent && !p.removed {
			n++
		}
	}
	return n
}

// isOwnAgent reports whether a peer is an agent of the own zone, not one of a zone
// without entries.
func (s *State) isOwnAgent(p *peer) bool {
	return p.instance.Role == track.RoleAgent && p.instance.Zone == s.self.Zone
}

// inService reports whether the peer is an agent whose replica takes new work.
func (s *State) inService(p *peer) bool {
	return p.instance.Role == track.RoleAgent && !p.removed && !p.leaving && p.backendUp &&
		!s.isMarkedLeaving(p.instance.ID)
}

// Servers returns the replicas that may get new work, those of other zones included,
// sorted by the agent's ID.
func (s *State) Servers() []track.BackendServer {
	servers := make([]track.BackendServer, 0, len(s.peers))
	for _, p := range s.peers {
		if s.inService(p) {
			servers = append(servers, s.backendServer(p))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		servers = append(servers, s.zoneServers(s.zones[name])...)
	}
	slices.SortFunc(servers, func(a, b track.BackendServer) int { return cmp.Compare(a.Agent, b.Agent) })
	return servers
}

func (s *State) backendServer(p *peer) track.BackendServer {
	return track.BackendServer{
		Agent:       p.instance.ID,
		Incarnation: p.incarnation,
		Zone:        p.instance.Zone,
		Target:      p.instance.Serves,
		Address:     p.instance.Address,
		Group:       p.instance.Group,
		Joined:      p.joined,
		Load:        p.load,
		Reported:    p.lastHeard,
		Suspect:     p.suspect,
	}
}

// Entries returns the live entries of the own zone, sorted by ID. If this instance is
// an entry, it is included.
func (s *State) Entries() []track.EntryRef {
	var entries []track.EntryRef
	if s.self.Role == track.RoleEntry {
		entries = append(entries, track.EntryRef{
			ID: s.self.ID, Incarnation: s.incarnation, Address: s.self.Address,
		})
	}
	for _, p := range s.peers {
		own := p.instance.Role == track.RoleEntry && p.instance.Zone == s.self.Zone
		if own && !p.removed && !p.suspect && !p.leaving {
			entries = append(entries, track.EntryRef{
				ID: p.instance.ID, Incarnation: p.incarnation, Address: p.instance.Address,
			})
		}
	}
	slices.SortFunc(entries, func(a, b track.EntryRef) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// EntriesHash returns a hash of the live entries of the own zone, so that peers can tell
// whether they know the same ones.
func (s *State) EntriesHash() uint64 {
	return hashEntries(s.Entries())
}

// Reply returns the reply to a heartbeat. It lists the live entries of the own zone if
// the sender knows other ones.
func (s *State) Reply(h track.Heartbeat) track.HeartbeatReply {
	reply := track.HeartbeatReply{
		From:        s.self.ID,
		Incarnation: s.incarnation,
		Interval:    s.Interval(),
	}
	if s.self.Role != track.RoleEntry || h.From.Zone != s.self.Zone {
		return reply
	}
	entries := s.Entries()
	if h.EntriesHash != hashEntries(entries) {
		reply.Entries = entries
	}
	return reply
}

func (s *State) recordPeerEvent(kind EventKind, i track.Instance, incarnation track.Incarnation, reason string) {
	s.recordEvent(Event{Kind: kind, Instance: i.ID, Incarnation: incarnation, Zone: i.Zone, Reason: reason})
}
