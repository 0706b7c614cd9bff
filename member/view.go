package member

import (
	"maps"
	"slices"
	"time"

	"filberttrack.example/track"
)

// View is what operators see of the membership.
type View struct {
	Self        track.InstanceID
	Incarnation track.Incarnation
	Zone        track.AvailabilityZone
	// Isolated is set if other zones are known and none can be reached.
	Isolated bool
	// MostSilent is set while silence removes no agents, because more than half
	// of the zone's are silent.
	MostSilent bool
	// ListAge is the time since the last reading of the instance list; negative
	// if there was none.
	ListAge time.Duration
	Peers   []PeerView
	Zones   []ZoneView
}

// PeerView is a peer of the own zone.
type PeerView struct {
	ID          track.InstanceID
	Role        track.Role
	Incarnation track.Incarnation
	Serves      string
	State       PeerState
	// Silence is the time since it was heard.
	Silence time.Duration
}

// PeerState is the state of a peer.
type PeerState string

// The states of a peer.
const (
	PeerLive    PeerState = "Live"
	PeerSuspect PeerState = "Suspect"
	PeerLeaving PeerState = "Leaving"
	// PeerDown is a live agent whose backend server does not answer.
	PeerDown PeerState = "BackendServerDown"
)

// ZoneView is another availability zone.
type ZoneView struct {
	Zone    track.AvailabilityZone
	State   ZoneState
	Silence time.Duration
	Targets []track.TargetDigest
}

// View returns what operators see, sorted by ID and zone.
func (s *State) View(now time.Time) View {
	v := View{
		Self:        s.self.ID,
		Incarnation: s.incarnation,
		Zone:        s.self.Zone,
		Isolated:    s.Isolated(),
		MostSilent:  s.mostSilent,
		ListAge:     -1,
	}
	if !s.lastList.IsZero() {
		v.ListAge = now.Sub(s.lastList)
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		if p := s.members[id]; !p.gone {
			v.Peers = append(v.Peers, s.peerView(now, p))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[name]
		v.Zones = append(v.Zones, ZoneView{
			Zone: name, State: z.state, Silence: now.Sub(z.heard), Targets: z.targets,
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
		Silence:     now.Sub(p.heard),
	}
	switch {
	case p.leaving || s.marked(p.instance.ID):
		view.State = PeerLeaving
	case p.suspect:
		view.State = PeerSuspect
	case p.instance.Role == track.RoleAgent && !p.up:
		view.State = PeerDown
	}
	return view
}
