package swap

import (
	"filberttrack.example/track"
)

// settlement decides how to bring a group into a consistent state once all members have
// promised: an unfinished change is committed or rolled back, and blank ranks are
// restored.
type settlement struct {
	members []track.RankID
	states  map[track.RankID]track.RankState
	// openSwitch is the latest switch that some member is armed for; nil if there is none.
	openSwitch *track.MapSwitch
	// commit is set if the open switch is to be committed, not rolled back.
	commit bool
	// donor is the state from which blank ranks are restored.
	donor track.RankState
	// blank is set if some rank is blank.
	blank bool
}

func newSettlement(
	members []track.RankID, states map[track.RankID]track.RankState, defaultMap track.ExpertMap, ballot track.Ballot,
) *settlement {
	s := &settlement{members: members, states: states}
	s.donor.NoMap = true
	for _, member := range members {
		state := states[member]
		s.blank = s.blank || state.NoMap
		if state.NoMap {
			continue
		}
		if s.donor.NoMap {
			s.donor = state
		}
		if state.Armed != nil && (s.openSwitch == nil || state.Armed.Version.Compare(s.openSwitch.Version) > 0) {
			s.openSwitch = state.Armed
		}
	}
	if s.donor.NoMap {
		defaultMap.Version = ballot
		s.donor = track.RankState{Map: defaultMap}
	}
	s.commit = s.openSwitch != nil && s.mustCommit(*s.openSwitch)
	return s
}

// mustCommit reports whether a switch that some member is armed for may have been
// committed, and so must be. A coordinator decides to commit only after all members were
// armed, and never reverses that decision. A member that is neither armed nor past the
// switch therefore proves that there was no such decision.
func (s *settlement) mustCommit(open track.MapSwitch) bool {
	allArmed := true
	for _, state := range s.states {
		switch {
		case state.NoMap:
		case state.Map.Version == open.Version:
			return true
		case state.Armed == nil || *state.Armed != open:
			allArmed = false
		}
	}
	return allArmed
}

// needed reports whether some member has to be settled.
func (s *settlement) needed() bool {
	return s.blank || s.openSwitch != nil && !s.committedEverywhere()
}

// committedEverywhere reports whether each member has committed the open switch, and uses
// the new map or only waits for the step of the switch.
func (s *settlement) committedEverywhere() bool {
	for _, state := range s.states {
		inUse := state.Map.Version == s.openSwitch.Version
		if !inUse && (state.Armed == nil || *state.Armed != *s.openSwitch || !state.Committed) {
			return false
		}
	}
	return true
}

// switchOrZero returns the open switch, or the zero value if there is none.
func (s *settlement) switchOrZero() track.MapSwitch {
	if s.openSwitch == nil {
		return track.MapSwitch{}
	}
	return *s.openSwitch
}

// order returns the order by which a member is settled, and false if it needs none.
func (s *settlement) order(member track.RankID) (track.MapOrder, bool) {
	state := s.states[member]
	switch {
	case state.NoMap:
		return track.MapOrder{Kind: track.OrderRestore, State: s.restoredState(state.StartID)}, true
	case s.commit:
		return track.MapOrder{Kind: track.OrderCommit, Switch: *s.openSwitch}, true
	case state.Armed != nil:
		return track.MapOrder{Kind: track.OrderDisarm, Switch: *state.Armed}, true
	}
	return track.MapOrder{}, false
}

// restoredState returns the state that a blank rank is given. The rank joins in the step
// that the others have not completed: with the donor's map, and with the switch if that
// is to be committed and the donor has not passed it.
func (s *settlement) restoredState(boot uint64) *track.RankState {
	state := track.RankState{StartID: boot, Map: s.donor.Map}
	if s.commit && s.donor.Armed != nil {
		open := *s.openSwitch
		state.Prepared, state.Armed, state.Committed = s.donor.Prepared, &open, true
	}
	return &state
}
