package swap

import (
	"filberttrack.example/track"
)

// settlement is what has to be done about a group of which all members have
// promised: a change left half done is finished or undone, and blank ranks are
// restored.
type settlement struct {
	members []track.RankID
	states  map[track.RankID]track.RankState
	// open is the switch that some member is armed for.
	open *track.MapSwitch
	// finish is set if the open switch is to be committed.
	finish bool
	// donor is a state to restore blank ranks from.
	donor track.RankState
	blank bool
}

func newSettlement(members []track.RankID, states map[track.RankID]track.RankState, fallback track.ExpertMap, ballot track.Ballot) *settlement {
	s := &settlement{members: members, states: states}
	s.donor.Blank = true
	for _, member := range members {
		state := states[member]
		s.blank = s.blank || state.Blank
		if state.Blank {
			continue
		}
		if s.donor.Blank {
			s.donor = state
		}
		if state.Armed != nil && (s.open == nil || state.Armed.Version.Compare(s.open.Version) > 0) {
			s.open = state.Armed
		}
	}
	if s.donor.Blank {
		fallback.Version = ballot
		s.donor = track.RankState{Map: fallback}
	}
	s.finish = s.open != nil && s.mustFinish(*s.open)
	return s
}

// mustFinish decides about a switch that some member is armed for. A decision to
// commit is only ever taken after all members were armed, and never taken back;
// so a member that is neither armed nor past the switch shows that there was
// none.
func (s *settlement) mustFinish(open track.MapSwitch) bool {
	all := true
	for _, state := range s.states {
		switch {
		case state.Blank:
		case state.Map.Version == open.Version:
			return true
		case state.Armed == nil || *state.Armed != open:
			all = false
		}
	}
	return all
}

func (s *settlement) needed() bool {
	return s.blank || s.open != nil && !s.decidedEverywhere()
}

// decidedEverywhere reports whether each member has committed the open switch
// and only waits for its step.
func (s *settlement) decidedEverywhere() bool {
	for _, state := range s.states {
		used := state.Map.Version == s.open.Version
		if !used && (state.Armed == nil || *state.Armed != *s.open || !state.Decided) {
			return false
		}
	}
	return true
}

func (s *settlement) switches() track.MapSwitch {
	if s.open == nil {
		return track.MapSwitch{}
	}
	return *s.open
}

// order returns the order by which a member is settled, if it needs one.
func (s *settlement) order(member track.RankID) (track.MapOrder, bool) {
	state := s.states[member]
	switch {
	case state.Blank:
		return track.MapOrder{Kind: track.OrderRestore, State: s.restored(state.Boot)}, true
	case s.finish:
		return track.MapOrder{Kind: track.OrderCommit, Switch: *s.open}, true
	case state.Armed != nil:
		return track.MapOrder{Kind: track.OrderDisarm, Switch: *state.Armed}, true
	}
	return track.MapOrder{}, false
}

// restored returns the state for a blank rank. It joins in the step that the
// others have not completed: with the donor's map, and the switch if that is to
// be committed and the donor has not passed it.
func (s *settlement) restored(boot uint64) *track.RankState {
	state := track.RankState{Boot: boot, Map: s.donor.Map}
	if s.finish && s.donor.Armed != nil {
		open := *s.open
		state.Prepared, state.Armed, state.Decided = s.donor.Prepared, &open, true
	}
	return &state
}
