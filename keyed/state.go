package keyed

import (
	"sync"
	"time"
)

// outage records when the log stopped answering and when it answered again.
type outage struct {
	mu sync.Mutex
	// since is the start of the current outage; zero while the log answers.
	since time.Time
	// returned is the end of the latest outage; zero before the first has ended.
	returned time.Time
}

func (o *outage) times() (since, returned time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.since, o.returned
}

// recordFailure reports whether an outage starts with this failure.
func (o *outage) recordFailure(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	starts := o.since.IsZero()
	if starts {
		o.since = now
	}
	return starts
}

// recordAnswer reports whether an outage ends with this answer.
func (o *outage) recordAnswer(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return false
	}
	o.since, o.returned = time.Time{}, now
	return true
}
