package keyed

import (
	"sync"
	"time"
)

// progress records since when a read of the log is pending and when the mirror last held all
// records. A pending read shows neither: the log may have lost its answer. It is safe for
// concurrent use.
type progress struct {
	mu sync.Mutex
	// pendingSince is when the pending read was sent; zero if there is none.
	pendingSince time.Time
	// confirmedAt is the latest time at which the mirror is known to have held all records of
	// the topic; zero if it never was.
	confirmedAt time.Time
}

// start records that a read was sent.
func (p *progress) start(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingSince = now
}

// end records that the pending read has ended.
func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingSince = time.Time{}
}

// pending returns when the pending read was sent; zero if there is none.
func (p *progress) pending() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pendingSince
}

// confirm records that the mirror holds all records that the topic had at the given time.
func (p *progress) confirm(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// confirmed returns the latest time at which the mirror held all records; zero if it never did.
func (p *progress) confirmed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedAt
}
