// Package cold decides when a replica is possibly cold, and how many requests a second all entries together may
// send to it then. A replica is cold for some time after its start: it handles few requests a second then and
// crashes well above that rate.
package cold

import (
	"math"
	"time"
)

const (
	// learnDelay is the longest time after which an entry reads what a replica has written about itself. A period in
	// which a replica may have become cold is longer by it.
	learnDelay = 2 * time.Second
	// maxClockDifference is the difference between the clocks of an entry and of a replica up to which the start that
	// the replica states counts.
	maxClockDifference = 5 * time.Second
	// recordMemory is the time for which a record that says that the replica is cold counts beyond the time that it
	// states, if no later record arrives: replicas write one every 1.2 s. Without this limit, an outage of the
	// log would keep replicas cold for as long as it lasts.
	recordMemory = 10 * time.Second
	// keptPart is the part of the room between the rate and the breach that kept permits may fill. The rest is left for
	// requests that are on their way for different times, clocks that differ, and entries that join.
	keptPart = 1.0 / 3
	// maxKeep is the longest time for which permits are kept.
	maxKeep = time.Second
	// maxStartTime limits the configured time for which a replica is cold.
	maxStartTime = time.Hour
	// minRate is the least rate, in requests a second, if the room below the breach is smaller than a permit.
	minRate = 0.2
)

// Spec describes the cold replicas of a service.
type Spec struct {
	// StartTime is the time for which a replica is cold after its start.
	StartTime time.Duration
	// PerSecond is the number of requests a second that a cold replica can handle; 0 if replicas are never cold.
	PerSecond float64
	// More than PerSecond x Overshoot + Slack requests in one second are a breach. If both are 0, the bound is unknown
	// and no permit but one is kept.
	Overshoot, Slack float64
}

// Enabled reports whether replicas of the service can be cold.
func (s Spec) Enabled() bool {
	return s.PerSecond > 0
}

// Breach returns the number of requests in one second above which a cold replica may crash.
func (s Spec) Breach() float64 {
	return s.PerSecond*s.Overshoot + s.Slack
}

// Rate returns the number of permits a second of all entries together. It is PerSecond, or less if the breach leaves no
// room for two permits: the one that is kept, and the one by which a second can have more permits than the rate.
func (s Spec) Rate() float64 {
	if !s.Enabled() || s.Breach() == 0 {
		return s.PerSecond
	}
	return max(min(s.PerSecond, s.Breach()-2), minRate)
}

// KeepTime returns the time for which a permit at the given rate may be kept. The requests of one second use the
// permits of that second and those that were kept at its beginning, 1 + rate x KeepTime at most.
func (s Spec) KeepTime(rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	room := max(s.Breach()-s.PerSecond, 0)
	kept := max(math.Floor(keptPart*room), 1)
	// Half a permit less, so that rounding can't make it one more.
	return time.Duration(min((kept-0.5)/rate, maxKeep.Seconds()) * float64(time.Second))
}

// Guard knows when one replica is possibly cold. It is not safe for concurrent use.
type Guard struct {
	spec    Spec
	startID int64
	// until is the end of the periods after a first sighting, a broken group or the return of a zone.
	until time.Time
	// recordUntil is the end of the period in which the latest record counts that says that the replica is cold.
	recordUntil time.Time
}

// New returns the guard of a replica that is first seen at the given time. It may have just started then, unless it
// is known to have started long before; startedAt is zero if that isn't known. Without this exception, all entries
// would send nothing but permits to all replicas after a restart of all entries.
func New(spec Spec, startID int64, startedAt, now time.Time) *Guard {
	g := &Guard{spec: spec, startID: startID}
	coldTime := min(spec.StartTime, maxStartTime) + learnDelay + maxClockDifference
	if startedAt.IsZero() || now.Sub(startedAt) < coldTime {
		g.Suspect(now)
	}
	return g
}

// Configure replaces the Spec. Periods that have begun keep their ends.
func (g *Guard) Configure(spec Spec) {
	g.spec = spec
}

// Update applies a new record of the replica, which says for how much longer the replica is cold.
func (g *Guard) Update(remaining time.Duration, startID int64, now time.Time) {
	if startID != g.startID {
		g.startID = startID
		g.Suspect(now)
	}
	g.recordUntil = time.Time{}
	if remaining > 0 {
		g.recordUntil = now.Add(min(remaining, maxStartTime) + recordMemory)
	}
}

// Suspect records that the replica may have become cold, because its group is broken or its zone was taken back. The
// period is counted from the latest call.
func (g *Guard) Suspect(now time.Time) {
	if until := now.Add(min(g.spec.StartTime, maxStartTime) + learnDelay); until.After(g.until) {
		g.until = until
	}
}

// Limit returns whether the replica is possibly cold at the given time, as far as it is known now, and the
// number of requests a second that all entries together may send to it then.
func (g *Guard) Limit(now time.Time) (perSecond float64, cold bool) {
	if !g.spec.Enabled() || !now.Before(g.until) && !now.Before(g.recordUntil) {
		return 0, false
	}
	return g.spec.Rate(), true
}
