package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// sharedMargin is the part of the allowance that is used: the entries' counts
	// of what the others do are late.
	sharedMargin = 0.7
	// sharedBuckets is the number of parts in which a window is counted.
	sharedBuckets = 20
)

// SharedLimit is the number of repeats that all entries together may send to a
// service within any window of a given length.
type SharedLimit struct {
	// Share is the number of repeats for each request, Slack the number besides.
	Share  float64
	Slack  float64
	Window time.Duration
}

// Shared keeps this entry's part of a SharedLimit for one service: repeats in
// proportion to its own requests, and an equal part of the slack. It needs no
// agreement with other entries. It is safe for concurrent use.
type Shared struct {
	limit SharedLimit
	clock clockwork.Clock
	// entries returns the number of entries that share the slack.
	entries func() int

	mu sync.Mutex
	// buckets hold a window and the part of one that it may begin in.
	buckets [sharedBuckets + 1]bucket
}

type bucket struct {
	number   int64
	requests float64
	repeats  float64
}

// NewShared returns a budget that has seen no requests.
func NewShared(limit SharedLimit, clock clockwork.Clock, entries func() int) *Shared {
	return &Shared{limit: limit, clock: clock, entries: entries}
}

// Request counts a request of a client.
func (s *Shared) Request() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current().requests++
}

// Repeat reports whether a request may be sent once more, and counts it if so.
func (s *Shared) Repeat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests, repeats := s.sums()
	slack := s.limit.Slack / float64(max(s.entries(), 1))
	if repeats+1 > sharedMargin*(s.limit.Share*requests+slack) {
		return false
	}
	s.current().repeats++
	return true
}

// Left returns the number of repeats that are allowed at the moment.
func (s *Shared) Left() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests, repeats := s.sums()
	return sharedMargin*(s.limit.Share*requests+s.limit.Slack/float64(max(s.entries(), 1))) - repeats
}

func (s *Shared) number() int64 {
	return s.clock.Now().UnixNano() / max(int64(s.limit.Window)/sharedBuckets, 1)
}

func (s *Shared) current() *bucket {
	number := s.number()
	b := &s.buckets[number%int64(len(s.buckets))]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// sums returns the requests of the whole buckets of a window, and the repeats of all
// buckets that a window up to now reaches into.
func (s *Shared) sums() (requests, repeats float64) {
	oldest := s.number() - sharedBuckets
	for _, b := range s.buckets {
		if b.number > oldest {
			requests += b.requests
		}
		if b.number >= oldest {
			repeats += b.repeats
		}
	}
	return requests, repeats
}
