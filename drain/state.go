// Package drain stops a daemon gracefully: it accepts no new requests, waits until
// requests in progress have ended, and logs those that a second stop signal or the
// time limit cuts off.
package drain

import (
	"fmt"
	"time"
)

// Phase is a stage of a graceful shutdown.
type Phase int

// The phases in the order in which they follow each other.
const (
	// Serving means that no stop was requested.
	Serving Phase = iota
	// Settling means that the process reports itself unready but still accepts the
	// requests that the platform's load balancer sends until it has noticed.
	Settling
	// Finishing means that no new requests are accepted while open ones end.
	Finishing
	// Ended means that all requests have ended, or that the remaining ones are cut off.
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

// Timeouts sets the duration of the phases.
type Timeouts struct {
	// DeregistrationDelay is the time for which an unready process still accepts requests. If it
	// isn't positive, the Settling phase is skipped.
	DeregistrationDelay time.Duration
	// MaxDuration is the time from the first stop signal after which the shutdown ends, even
	// if requests are still open.
	MaxDuration time.Duration
}

// State is the state machine of a shutdown. It has no side effects and reads no clock.
// It is not safe for concurrent use.
type State struct {
	timing Timeouts
	phase  Phase
	// stopTime is the time of the first stop signal.
	stopTime time.Time
}

// NewState returns a state in phase Serving.
func NewState(timing Timeouts) *State {
	return &State{timing: timing}
}

// Phase returns the current phase.
func (s *State) Phase() Phase {
	return s.phase
}

// Stop handles a stop signal. The first one starts the shutdown, a second one ends it
// at once.
func (s *State) Stop(now time.Time) {
	if s.phase != Serving {
		s.phase = Ended
		return
	}
	s.stopTime = now
	s.phase = Settling
	if s.timing.DeregistrationDelay <= 0 {
		s.phase = Finishing
	}
}

// Advance moves on to the phase that is due at the given time with the given number of
// open requests, and returns it.
func (s *State) Advance(now time.Time, open int) Phase {
	if s.phase == Serving || s.phase == Ended {
		return s.phase
	}
	elapsed := now.Sub(s.stopTime)
	if s.phase == Settling && elapsed >= s.timing.DeregistrationDelay {
		s.phase = Finishing
	}
	allDone := s.phase == Finishing && open == 0
	if allDone || elapsed >= s.timing.MaxDuration {
		s.phase = Ended
	}
	return s.phase
}
