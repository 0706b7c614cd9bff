package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// sharedMargin is the share of the limit that is used. The rest makes up for the
	// delay with which an entry learns of the others.
	sharedMargin = 0.7
	// sharedBuckets is the number of buckets into which a window is divided.
	sharedBuckets = 20
)

// ServiceLimit bounds the retries that all entries together may send to a service
// within any window of a given length.
type ServiceLimit struct {
	// Share is the number of retries allowed for each request.
	Share float64
	// Slack is the number of retries allowed in addition to that.
	Slack  float64
	Window time.Duration
}

// ServiceBudget is this entry's part of a ServiceLimit for one service: retries in
// proportion to the entry's own requests, and an equal part of the slack. It needs
// no coordination with other entries. It is safe for concurrent use.
type ServiceBudget struct {
	limit ServiceLimit
	clock clockwork.Clock
	// entries returns the number of entries that share the slack.
	entries func() int

	mu sync.Mutex
	// buckets cover a window and one bucket more, as a window may begin within a
	// bucket.
	buckets [sharedBuckets + 1]bucket
}

// bucket counts the requests and retries in one part of a window.
type bucket struct {
	// number is the position of the bucket in time, in bucket lengths since 1970.
	number   int64
	requests float64
	retries  float64
}

// NewServiceBudget returns this entry's budget under limit, before any requests. entries
// returns the number of entries that share the slack.
func NewServiceBudget(limit ServiceLimit, clock clockwork.Clock, entries func() int) *ServiceBudget {
	return &ServiceBudget{limit: limit, clock: clock, entries: entries}
}

// RecordRequest counts a client's request, without its retries.
func (s *ServiceBudget) RecordRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current().requests++
}

// TryRetry reports whether a request may be retried, and counts the retry if so.
func (s *ServiceBudget) TryRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests, retries := s.windowTotals()
	slack := s.limit.Slack / float64(max(s.entries(), 1))
	if retries+1 > sharedMargin*(s.limit.Share*requests+slack) {
		return false
	}
	s.current().retries++
	return true
}

// Remaining returns the number of retries that are allowed at the moment; it is negative
// if the limit has shrunk below the retries sent.
func (s *ServiceBudget) Remaining() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests, retries := s.windowTotals()
	return sharedMargin*(s.limit.Share*requests+s.limit.Slack/float64(max(s.entries(), 1))) - retries
}

func (s *ServiceBudget) bucketNumber() int64 {
	return s.clock.Now().UnixNano() / max(int64(s.limit.Window)/sharedBuckets, 1)
}

// current returns the bucket of the current time, which is empty at first.
func (s *ServiceBudget) current() *bucket {
	number := s.bucketNumber()
	b := &s.buckets[number%int64(len(s.buckets))]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// windowTotals returns the requests in the buckets that lie wholly within the window
// up to now, and the retries in all buckets that the window overlaps.
func (s *ServiceBudget) windowTotals() (requests, retries float64) {
	oldest := s.bucketNumber() - sharedBuckets
	for _, b := range s.buckets {
		if b.number > oldest {
			requests += b.requests
		}
		if b.number >= oldest {
			retries += b.retries
		}
	}
	return requests, retries
}
