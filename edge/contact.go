package edge

import (
	"sync"
	"time"
)

// shortestLapse is the shortest outage of the log during which entries of live replicas expire:
// they do so after three intervals of about 1.2 s without a report, the first of which may have
// begun before the outage. A change of the entry that reads for its zone takes less.
const shortestLapse = 2200 * time.Millisecond

// logContact records when the log has answered any entry of the zone. An entry that the log alone
// turns away doesn't make it an outage: the entries of replicas that are deleted meanwhile have not
// expired. It is safe for concurrent use.
type logContact struct {
	mu sync.Mutex
	// answeredAt is the latest time at which the log answered an entry, at first the start of
	// this process.
	answeredAt time.Time
	// returnedAt is the end of the latest outage; zero before the first.
	returnedAt time.Time
}

// newLogContact returns the contact of an entry that starts now.
func newLogContact(now time.Time) *logContact { return &logContact{answeredAt: now} }

// observe records that the log answered an entry of the zone.
func (c *logContact) observe(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Sub(c.answeredAt) >= shortestLapse {
		c.returnedAt = at
	}
	if at.After(c.answeredAt) {
		c.answeredAt = at
	}
}

// returned returns the end of the latest outage; zero if there was none.
func (c *logContact) returned() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.returnedAt
}
