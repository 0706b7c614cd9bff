// Package member holds what one instance believes about the others: which live,
// which are suspect, which are leaving, and which availability zones are cut
// off. It is pure: time and messages are passed in, and it starts nothing.
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

	// members holds the peers of the own zone that were ever heard.
	members map[track.InstanceID]*peer
	// book holds the relevant instances of the last list that was believed.
	book map[track.InstanceID]track.Instance
	// learned holds entries of the own zone that peers named.
	learned map[track.InstanceID]learnedEntry
	// read holds the leaving marks of the own zone that this instance read
	// itself, and told all that it knows, with the time until which they hold.
	read map[track.InstanceID]time.Time
	told map[track.InstanceID]time.Time
	// left holds the incarnations in other zones that refused as leaving.
	left  map[track.InstanceID]track.Incarnation
	zones map[track.AvailabilityZone]*zone

	lastTick     time.Time
	lastList     time.Time
	lastListTry  time.Time
	shrunkSince  time.Time
	lastListSlot int64
	mostSilent   bool
	events       []Event
}

// peer is a process of the own zone.
type peer struct {
	instance    track.Instance
	incarnation track.Incarnation
	seq         uint64
	heard       time.Time
	joined      time.Time
	suspect     bool
	gone        bool
	leaving     bool
	up          bool
	load        track.Load
	// interval is what the peer, an entry, can afford.
	interval time.Duration
}

// learnedEntry is an entry of the own zone that a peer named.
type learnedEntry struct {
	instance track.Instance
	since    time.Time
}

// New returns the state of an instance that has heard nobody.
func New(self track.Instance, incarnation track.Incarnation, timing Timing) *State {
	return &State{
		self:        self,
		incarnation: incarnation,
		timing:      timing,
		members:     make(map[track.InstanceID]*peer),
		book:        make(map[track.InstanceID]track.Instance),
		learned:     make(map[track.InstanceID]learnedEntry),
		read:        make(map[track.InstanceID]time.Time),
		told:        make(map[track.InstanceID]time.Time),
		left:        make(map[track.InstanceID]track.Incarnation),
		zones:       make(map[track.AvailabilityZone]*zone),
	}
}

// Self returns the instance and incarnation whose state this is.
func (s *State) Self() (track.Instance, track.Incarnation) {
	return s.self, s.incarnation
}

// Heard takes a heartbeat of a peer.
func (s *State) Heard(now time.Time, h track.Heartbeat) error {
	const op = "take heartbeat"
	switch {
	case !s.mayTalkTo(h.From):
		return track.Fail(op, WrongZone, errors.New("sender is in zone "+string(h.From.Zone)))
	case h.From.ID == s.self.ID:
		return track.Fail(op, SameID, errors.New("another process uses ID "+string(h.From.ID)))
	}
	p := s.members[h.From.ID]
	if p != nil && older(p, h.Incarnation, h.Seq) {
		return track.Fail(op, Stale, errors.New("a later heartbeat is known"))
	}
	p = s.touch(now, h.From, h.Incarnation)
	p.seq = h.Seq
	p.load = h.Load
	if h.Up && !p.up {
		p.joined = now
	}
	p.up = h.Up
	if h.Leaving {
		s.setLeaving(p, "said by itself")
	}
	for _, id := range h.Marked {
		s.mark(now, id)
	}
	return nil
}

// older reports whether a heartbeat is no news about the peer.
func older(p *peer, incarnation track.Incarnation, seq uint64) bool {
	if incarnation != p.incarnation {
		return incarnation < p.incarnation
	}
	return seq <= p.seq
}

// touch notes a sign of life. The incarnation is not below the known one.
func (s *State) touch(now time.Time, instance track.Instance, incarnation track.Incarnation) *peer {
	p := s.members[instance.ID]
	switch {
	case p == nil:
		p = &peer{joined: now}
		s.members[instance.ID] = p
		s.noteFor(Joined, instance, incarnation, "first heard")
	case incarnation > p.incarnation:
		p = &peer{joined: now}
		s.members[instance.ID] = p
		s.noteFor(Restarted, instance, incarnation, "new incarnation")
	case p.gone:
		p.joined = now
		s.noteFor(Returned, instance, incarnation, "heard after its removal")
	case p.suspect:
		s.noteFor(Recovered, instance, incarnation, "heard again")
	}
	p.instance = instance
	p.incarnation = incarnation
	p.heard = now
	p.suspect = false
	p.gone = false
	return p
}

// mayTalkTo reports whether heartbeats may pass between this instance and
// another: within a zone, and between an agent and the entries of its region.
func (s *State) mayTalkTo(i track.Instance) bool {
	return i.Zone == s.self.Zone || (i.Region == s.self.Region && i.Role != s.self.Role)
}

// Answered takes a peer's reply to a heartbeat.
func (s *State) Answered(now time.Time, to track.Instance, r track.HeartbeatReply) {
	if r.Self != nil && r.Self.From.ID == to.ID {
		// A stale one was overtaken by a heartbeat, which said more.
		_ = s.Heard(now, *r.Self)
		return
	}
	if r.From != to.ID || to.Role != track.RoleEntry {
		return
	}
	if p := s.members[to.ID]; p != nil && r.Incarnation < p.incarnation {
		return
	}
	p := s.touch(now, to, r.Incarnation)
	p.interval = r.Interval
	s.learn(now, r.Entries)
}

// learn takes the entries of the own zone that a peer named.
func (s *State) learn(now time.Time, entries []track.EntryRef) {
	for _, e := range entries {
		if e.ID == s.self.ID {
			continue
		}
		if p := s.members[e.ID]; p != nil && !p.gone {
			continue
		}
		if _, ok := s.learned[e.ID]; ok {
			continue
		}
		s.learned[e.ID] = learnedEntry{
			since: now,
			instance: track.Instance{
				ID: e.ID, Role: track.RoleEntry, Region: s.self.Region, Zone: s.self.Zone,
				Address: e.Address, State: track.Live,
			},
		}
	}
}

// NoListener takes the news that the peer's machine refused a connection. It
// removes a peer that was silent before.
func (s *State) NoListener(id track.InstanceID) {
	p := s.members[id]
	if p == nil || p.gone || !p.suspect {
		return
	}
	s.remove(p, "silent, and its machine refuses connections")
}

// RefusedLeaving takes the news that an agent refused a dispatch because it is
// leaving.
func (s *State) RefusedLeaving(id track.InstanceID, incarnation track.Incarnation) {
	if p := s.members[id]; p != nil {
		if p.incarnation == incarnation {
			s.setLeaving(p, "refused a dispatch")
		}
		return
	}
	s.left[id] = max(s.left[id], incarnation)
}

func (s *State) setLeaving(p *peer, reason string) {
	if p.leaving {
		return
	}
	p.leaving = true
	s.noteFor(LeavingSaid, p.instance, p.incarnation, reason)
}

// Tick lets time pass: silent peers become suspect and are removed, silent
// zones are cut, old knowledge is dropped. Call it several times a second.
func (s *State) Tick(now time.Time) {
	s.forgivePause(now)
	s.tickPeers(now)
	s.tickZones(now)
	s.expire(now)
}

// forgivePause gives the others back the time for which this process was paused.
func (s *State) forgivePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	first := s.lastTick.IsZero()
	s.lastTick = now
	if first || gap <= s.timing.PauseGap {
		return
	}
	for _, p := range s.members {
		p.heard = earlier(p.heard.Add(gap), now)
	}
	for _, z := range s.zones {
		z.heard = earlier(z.heard.Add(gap), now)
	}
	s.note(Event{Kind: SelfPaused, Instance: s.self.ID, Reason: gap.String()})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *State) tickPeers(now time.Time) {
	interval := s.Interval()
	suspectAfter := s.timing.suspectAfter(interval)
	removeAfter := s.timing.removeAfter(interval)
	silent := func(p *peer) bool { return !p.suspect && now.Sub(p.heard) > suspectAfter }
	for _, p := range s.present(silent) {
		p.suspect = true
		s.noteFor(Suspected, p.instance, p.incarnation, "silent for "+suspectAfter.String())
	}
	s.weighSilence()
	lost := func(p *peer) bool {
		kept := s.mostSilent && s.ownAgent(p)
		return p.suspect && !kept && now.Sub(p.heard) > removeAfter
	}
	for _, p := range s.present(lost) {
		s.remove(p, "silent for "+removeAfter.String())
	}
}

// present returns the peers not removed that match, sorted by ID.
func (s *State) present(match func(*peer) bool) []*peer {
	var found []*peer
	for _, p := range s.members {
		if !p.gone && match(p) {
			found = append(found, p)
		}
	}
	slices.SortFunc(found, func(a, b *peer) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return found
}

// weighSilence finds out whether so many agents are silent that the fault is
// more likely on this side.
func (s *State) weighSilence() {
	total, silent := 0, 0
	for _, p := range s.members {
		if !s.ownAgent(p) || p.gone || p.leaving {
			continue
		}
		total++
		if p.suspect {
			silent++
		}
	}
	most := silent*2 > total
	if most == s.mostSilent {
		return
	}
	s.mostSilent = most
	kind := SilenceEnded
	if most {
		kind = MostSilent
	}
	s.note(Event{Kind: kind, Zone: s.self.Zone, Reason: "more than half of the zone's agents decide"})
}

func (s *State) remove(p *peer, reason string) {
	p.gone = true
	s.noteFor(Removed, p.instance, p.incarnation, reason)
}

// expire drops what is too old to matter.
func (s *State) expire(now time.Time) {
	old := func(_ track.InstanceID, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(s.read, old)
	maps.DeleteFunc(s.told, old)
	maps.DeleteFunc(s.learned, func(id track.InstanceID, e learnedEntry) bool {
		p := s.members[id]
		return (p != nil && !p.gone) || now.Sub(e.since) > s.timing.Tombstone
	})
	maps.DeleteFunc(s.left, func(id track.InstanceID, _ track.Incarnation) bool { return !s.candidate(id) })
	maps.DeleteFunc(s.members, func(_ track.InstanceID, p *peer) bool {
		return p.gone && now.Sub(p.heard) > s.timing.Tombstone
	})
}

// Interval returns the time between heartbeats: for an entry what it can afford
// to receive, for an agent what all its entries can.
func (s *State) Interval() time.Duration {
	if s.self.Role == track.RoleEntry {
		return s.timing.interval(s.countAgents())
	}
	interval := s.timing.Heartbeat
	for _, p := range s.members {
		if !p.gone {
			interval = max(interval, p.interval)
		}
	}
	return interval
}

func (s *State) countAgents() int {
	n := 0
	for _, p := range s.members {
		if p.instance.Role == track.RoleAgent && !p.gone {
			n++
		}
	}
	return n
}

// ownAgent reports whether a peer is an agent of the own zone, not an adopted one.
func (s *State) ownAgent(p *peer) bool {
	return p.instance.Role == track.RoleAgent && p.instance.Zone == s.self.Zone
}

// inService reports whether the replica behind an agent takes new work.
func (s *State) inService(p *peer) bool {
	return p.instance.Role == track.RoleAgent && !p.gone && !p.leaving && p.up && !s.marked(p.instance.ID)
}

// Servers returns the replicas that may get new work, sorted by agent.
func (s *State) Servers() []track.BackendServer {
	servers := make([]track.BackendServer, 0, len(s.members))
	for _, p := range s.members {
		if s.inService(p) {
			servers = append(servers, s.server(p))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		servers = append(servers, s.spill(s.zones[name])...)
	}
	slices.SortFunc(servers, func(a, b track.BackendServer) int { return cmp.Compare(a.Agent, b.Agent) })
	return servers
}

func (s *State) server(p *peer) track.BackendServer {
	return track.BackendServer{
		Agent:       p.instance.ID,
		Incarnation: p.incarnation,
		Zone:        p.instance.Zone,
		Target:      p.instance.Serves,
		Address:     p.instance.Address,
		Group:       p.instance.Group,
		Joined:      p.joined,
		Load:        p.load,
		Reported:    p.heard,
		Suspect:     p.suspect,
	}
}

// Entries returns the live entries of the own zone, this one included, sorted by
// ID.
func (s *State) Entries() []track.EntryRef {
	var entries []track.EntryRef
	if s.self.Role == track.RoleEntry {
		entries = append(entries, track.EntryRef{
			ID: s.self.ID, Incarnation: s.incarnation, Address: s.self.Address,
		})
	}
	for _, p := range s.members {
		own := p.instance.Role == track.RoleEntry && p.instance.Zone == s.self.Zone
		if own && !p.gone && !p.suspect && !p.leaving {
			entries = append(entries, track.EntryRef{
				ID: p.instance.ID, Incarnation: p.incarnation, Address: p.instance.Address,
			})
		}
	}
	slices.SortFunc(entries, func(a, b track.EntryRef) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// Roster returns the hash of the live entries of the own zone.
func (s *State) Roster() uint64 {
	return rosterHash(s.Entries())
}

// Reply returns the answer to a heartbeat.
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
	if h.Roster != rosterHash(entries) {
		reply.Entries = entries
	}
	return reply
}

func (s *State) noteFor(kind EventKind, i track.Instance, incarnation track.Incarnation, reason string) {
	s.note(Event{Kind: kind, Instance: i.ID, Incarnation: incarnation, Zone: i.Zone, Reason: reason})
}
