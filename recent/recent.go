// Package recent counts events by key over the recent past.
package recent

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Counts counts events by key. An event is counted for at least one period and at most two.
// Counts is not safe for concurrent use.
type Counts[K comparable] struct {
	clock   clockwork.Clock
	period  time.Duration
	maxKeys int
	// current holds the counts of the period that ends at end, and previous those of the one
	// before.
	current, previous map[K]events
	end               time.Time
}

// events are the events of a key in a period.
type events struct {
	count int
	last  time.Time
}

// New returns a Counts without events. In each period only the first maxKeys keys are counted.
func New[K comparable](clock clockwork.Clock, period time.Duration, maxKeys int) *Counts[K] {
	return &Counts[K]{
		clock: clock, period: period, maxKeys: maxKeys,
		current: make(map[K]events), previous: make(map[K]events), end: clock.Now().Add(period),
	}
}

// Add counts an event.
func (c *Counts[K]) Add(key K) {
	c.startPeriod()
	if e, known := c.current[key]; known || len(c.current) < c.maxKeys {
		c.current[key] = events{count: e.count + 1, last: c.clock.Now()}
	}
}

// Count returns the number of recent events with the key.
func (c *Counts[K]) Count(key K) int {
	c.startPeriod()
	return c.current[key].count + c.previous[key].count
}

// Last returns the time of the latest recent event with the key; zero if there is none.
func (c *Counts[K]) Last(key K) time.Time {
	c.startPeriod()
	if e, ok := c.current[key]; ok {
		return e.last
	}
	return c.previous[key].last
}

// startPeriod starts a new period if the current one is over.
func (c *Counts[K]) startPeriod() {
	now := c.clock.Now()
	if now.Before(c.end) {
		return
	}
	c.previous, c.current = c.current, make(map[K]events)
	if now.Sub(c.end) >= c.period {
		c.previous = make(map[K]events)
	}
	c.end = now.Add(c.period)
}
