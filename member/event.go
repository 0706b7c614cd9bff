package member

import "filberttrack.example/track"

// EventKind names a change of what the instance believes.
type EventKind string

// The kinds of event.
const (
	Joined       EventKind = "Joined"
	Restarted    EventKind = "Restarted"
	Suspected    EventKind = "Suspected"
	Recovered    EventKind = "Recovered"
	Removed      EventKind = "Removed"
	Returned     EventKind = "Returned"
	LeavingSaid  EventKind = "LeavingSaid"
	LeavingMark  EventKind = "LeavingMarked"
	ZoneSeen     EventKind = "ZoneSeen"
	ZoneCut      EventKind = "ZoneCut"
	ZoneHealed   EventKind = "ZoneHealed"
	ZoneGone     EventKind = "ZoneGone"
	ListEmpty    EventKind = "ListEmpty"
	ListShrunk   EventKind = "ListShrunk"
	SelfPaused   EventKind = "SelfPaused"
	MostSilent   EventKind = "MostSilent"
	SilenceEnded EventKind = "SilenceEnded"
)

// Event is one change of belief, for the log.
type Event struct {
	Kind        EventKind
	Instance    track.InstanceID
	Incarnation track.Incarnation
	Zone        track.AvailabilityZone
	Reason      string
}

func (s *State) note(e Event) {
	s.events = append(s.events, e)
}

// TakeEvents returns the events since the last call.
func (s *State) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}
