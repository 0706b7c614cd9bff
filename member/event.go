package member

import "filberttrack.example/track"

// EventKind names a kind of membership change.
type EventKind string

// The kinds of event.
const (
	// EventJoined means that a peer was heard for the first time.
	EventJoined EventKind = "Joined"
	// EventRestarted means that a peer was heard at a new incarnation.
	EventRestarted EventKind = "Restarted"
	// EventSuspected means that a peer has become suspect because it is silent.
	EventSuspected EventKind = "Suspected"
	// EventRecovered means that a suspect peer was heard again.
	EventRecovered EventKind = "Recovered"
	// EventRemoved means that a peer was removed.
	EventRemoved EventKind = "Removed"
	// EventReturned means that a removed peer was heard again at the same incarnation.
	EventReturned EventKind = "Returned"
	// EventLeaving means that a peer said that it is leaving.
	EventLeaving EventKind = "LeavingSaid"
	// EventListedLeaving means that the instance list gives an instance as leaving.
	EventListedLeaving EventKind = "LeavingMarked"
	// EventZoneDiscovered means that another zone sent its first digest.
	EventZoneDiscovered EventKind = "ZoneSeen"
	// EventZoneUnreachable means that another zone has sent no digest for too long.
	EventZoneUnreachable EventKind = "ZoneCut"
	// EventZoneRecovered means that an unreachable zone sent a digest again.
	EventZoneRecovered EventKind = "ZoneHealed"
	// EventZoneRemoved means that an unreachable zone is no longer listed either.
	EventZoneRemoved EventKind = "ZoneGone"
	// EventListEmpty means that an empty instance list was read and ignored.
	EventListEmpty EventKind = "ListEmpty"
	// EventListShrunk means that an instance list was read that lost more than half of
	// the instances.
	EventListShrunk EventKind = "ListShrunk"
	// EventSelfPaused means that this process was paused.
	EventSelfPaused EventKind = "SelfPaused"
	// EventMajoritySilent means that more than half of the zone's agents are silent,
	// and EventMajorityHeard that this has ended.
	EventMajoritySilent EventKind = "MostSilent"
	EventMajorityHeard  EventKind = "SilenceEnded"
)

// Event is one change of the membership, to be logged.
type Event struct {
	Kind EventKind
	// Instance and Incarnation are unset for changes that concern a zone or the list.
	Instance    track.InstanceID
	Incarnation track.Incarnation
	Zone        track.AvailabilityZone
	Reason      string
}

func (s *State) recordEvent(e Event) {
	s.events = append(s.events, e)
}

// TakeEvents returns the events recorded since the last call.
func (s *State) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}
