// Package drain stops a daemon gracefully: it takes no new work, lets work in
// progress end, and names what a second signal or the hard limit cuts off.
package drain

import (
	"fmt"
	"time"
)

// Phase is a stage of a graceful shutdown.
type Phase int

// The phases, in their order.
const (
	// Serving means that no stop was asked for.
	Serving Phase = iota
	// Settling means that the process is unready but still takes the work that
	// the platform's balancer sends until it has noticed.
	Settling
	// Finishing means that no new work is taken.
	Finishing
	// Ended means that all work is done, or that the rest is cut off.
	Ended
)

var phaseNames = [...]string{Serving: "Serving", Settling: "Settling", Finishing: "Finishing", Ended: "Ended"}

// String returns the name of the phase.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("Phase(%d)", int(p))
	}
	return phaseNames[p]
}

// Timing bounds the phases.
type Timing struct {
	// Settle is the time for which an unready process still takes work.
	Settle time.Duration
	// Limit is the time from the first stop to the end, whatever is open.
	Limit time.Duration
}

// State is the progress of a shutdown. It is pure and not safe for concurrent
// use.
type State struct {
	timing  Timing
	phase   Phase
	stopped time.Time
}

// NewState returns the state of a process that serves.
func NewState(timing Timing) *State {
	return &State{timing: timing}
}

// Phase returns the current phase.
func (s *State) Phase() Phase {
	return s.phase
}

// Stop takes a stop signal. The second one ends the process.
func (s *State) Stop(now time.Time) {
	if s.phase != Serving {
		s.phase = Ended
		return
	}
	s.stopped = now
	s.phase = Settling
	if s.timing.Settle <= 0 {
		s.phase = Finishing
	}
}

// Step lets time pass with the given number of requests open, and returns the
// phase that follows.
func (s *State) Step(now time.Time, open int) Phase {
	if s.phase == Serving || s.phase == Ended {
		return s.phase
	}
	passed := now.Sub(s.stopped)
	if s.phase == Settling && passed >= s.timing.Settle {
		s.phase = Finishing
	}
	finished := s.phase == Finishing && open == 0
	if finished || passed >= s.timing.Limit {
		s.phase = Ended
	}
	return s.phase
}
