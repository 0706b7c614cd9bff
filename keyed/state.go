package keyed

import (
	"sync"
	"time"
)

// state tells whether the log answers.
type state struct {
	mu       sync.Mutex
	since    time.Time
	returned time.Time
}

func (s *state) get() (since, returned time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since, s.returned
}

// failed reports whether the log answered before.
func (s *state) failed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.since.IsZero()
	if first {
		s.since = now
	}
	return first
}

// answered reports whether the log was away before.
func (s *state) answered(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return false
	}
	s.since, s.returned = time.Time{}, now
	return true
}
