package member

import (
	"maps"
	"slices"
	"time"

	"filberttrack.example/track"
)

// View is a snapshot of the membership for operators.
type View struct {
	// Self, Incarnation and Zone are those of the instance itself.
	Self        track.InstanceID
	Incarnation track.Incarnation
	Zone        track.AvailabilityZone
	// Isolated is set if other zones are known but none of them is reachable.
	Isolated bool
	// MajoritySilent is set while no agents are removed for being silent, because more
	// than half of the zone's agents are.
	MajoritySilent bool
	// ListAge is the time since the instance list was last read; negative if it never
	// was.
	ListAge time.Duration
	// Peers is sorted by ID, Zones by name.
	Peers []PeerView
	Zones []ZoneView
}

// PeerView describes a peer of the own zone, or one of another zone that exchanges
// heartbeats with this instance.
type PeerView struct {
	ID          track.InstanceID
	Role        track.Role
	Incarnation track.Incarnation
	// Serves names the model or service behind an agent; empty for an entry.
	Serves string
	State  PeerState
	// Silence is the time since the peer was last heard.
	Silence time.Duration
}

// PeerState is the state of a peer.
type PeerState string

// The states of a peer.
const (
	PeerLive PeerState = "Live"
	// PeerSuspect is a peer that has been silent for a while.
	PeerSuspect PeerState = "Suspect"
	// PeerLeaving is a peer that takes no new work.
	PeerLeaving PeerState = "Leaving"
	// PeerBackendDown is a live agent whose backend server does not answer.
	PeerBackendDown PeerState = "BackendServerDown"
)

// ZoneView describes another availability zone.
type ZoneView struct {
	Zone  track.AvailabilityZone
	State ZoneState
	// Silence is the time since the last digest of the zone or, if there was none,
	// since the zone was first listed.
	Silence time.Duration
	// Targets sums up the replicas of each target, as of the last digest.
	Targets []track.TargetDigest
}

// View returns a snapshot of the membership for operators.
func (s *State) View(now time.Time) View {
	v := View{
		Self:           s.self.ID,
		Incarnation:    s.incarnation,
		Zone:           s.self.Zone,
		Isolated:       s.Isolated(),
		MajoritySilent: s.majoritySilent,
		ListAge:        -1,
	}
	if !s.lastListRead.IsZero() {
		v.ListAge = now.Sub(s.lastListRead)
	}
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[id]; !p.removed {
			v.Peers = append(v.Peers, s.peerView(now, p))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[name]
		v.Zones = append(v.Zones, ZoneView{
			Zone: name, State: z.state, Silence: now.Sub(z.lastDigest), Targets: z.targets,
		})
	}
	return v
}

func (s *State) peerView(now time.Time, p *peer) PeerView {
	view := PeerView{
		ID:          p.instance.ID,
		Role:        p.instance.Role,
		Incarnation: p.incarnation,
		Serves:      p.instance.Serves,
		State:       PeerLive,
		Silence:     now.Sub(p.lastHeard),
	}
	switch {
	case p.leaving || s.isMarkedLeaving(p.instance.ID):
		view.State = PeerLeaving
	case p.suspect:
		view.State = PeerSuspect
	case p.instance.Role == track.RoleAgent && !p.backendUp:
		view.State = PeerBackendDown
	}
	return view
}
