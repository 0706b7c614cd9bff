package router

import (
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/admit"
)

// replica is what the router knows of one backend server.
type replica struct {
	server track.BackendServer
	area   *area
	group  *group
	window admit.Window
	// since is the time of the last fresh start: joined, or back from ejection.
	since time.Time
	gone  bool

	// own is the work in flight from this entry.
	own amount
	// earlier is the own work when the report before the latest arrived. The
	// latest one was made about then.
	earlier amount
	// foreign is the reported work less the own part of it.
	foreign amount
	// suspect is set while an isolated attempt holds the replica.
	suspect bool

	firstByte    float64
	failures     int
	failureShare float64
	attempts     int
	ejections    int
	ejectedUntil time.Time
}

// amount is an amount of work: a replica's slots are taken by attempts, and its
// memory and the time of its steps by tokens.
type amount struct {
	attempts float64
	tokens   float64
}

func (a amount) plus(b amount, factor float64) amount {
	return amount{a.attempts + factor*b.attempts, a.tokens + factor*b.tokens}
}

func newReplica(server track.BackendServer) *replica {
	return &replica{server: server, window: admit.NewWindow(server.Load.Capacity), since: server.Joined}
}

// report takes in the replica's latest state; its load only if that is new.
func (r *replica) report(server track.BackendServer) {
	if server.Load.Capacity != r.server.Load.Capacity {
		r.window = admit.NewWindow(server.Load.Capacity)
	}
	if server.Reported.IsZero() || server.Reported.Equal(r.server.Reported) {
		r.server = server
		return
	}
	r.server = server
	reported := work(server.Load)
	r.setForeign(amount{max(reported.attempts-r.earlier.attempts, 0), max(reported.tokens-r.earlier.tokens, 0)})
	r.earlier = r.own
}

func (r *replica) setForeign(foreign amount) {
	r.area.foreign = r.area.foreign.plus(foreign, 1).plus(r.foreign, -1)
	r.foreign = foreign
}

func work(load track.Load) amount {
	return amount{float64(load.Running + load.Queued), float64(load.TokensInFlight)}
}

// load estimates the work in flight, in attempts of a mean number of tokens: the
// own ones exactly, the others as reported, drawn towards the zone's mean as the
// report ages.
func (r *replica) load(now time.Time) float64 {
	mean := r.area.meanForeign()
	total := r.own.plus(mean, 1)
	if !r.server.Reported.IsZero() {
		age := max(now.Sub(r.server.Reported), 0)
		trust := maxTrust * float64(reportHalfLife) / float64(reportHalfLife+age)
		total = total.plus(r.foreign, trust).plus(mean, -trust)
	}
	return r.area.pool.weigh(total)
}

// ramp returns the share of the full load that the replica may take. It is
// relative to the most mature replica of the zone: where all are fresh, as after
// a start of the entry, none is spared.
func (r *replica) ramp(now time.Time) float64 {
	return min(r.age(now)/r.area.oldest, 1)
}

func (r *replica) age(now time.Time) float64 {
	return min(max(float64(now.Sub(r.since))/float64(slowStart), startShare), 1)
}

// slots returns the attempts that this entry may have in flight on the replica.
func (r *replica) slots(now time.Time) int {
	return max(int(float64(r.window.Limit())*r.ramp(now)), 1)
}

func (r *replica) full(now time.Time) bool {
	return int(r.own.attempts) >= r.slots(now)
}

// overfull reports whether the replica can't even take an attempt that was
// admitted before its window shrank.
func (r *replica) overfull(now time.Time) bool {
	slots := r.slots(now)
	return int(r.own.attempts) >= slots+max(int(overflow*float64(slots)), 1)
}

// latency returns the factor by which the replica is slower than its pool.
func (r *replica) latency() float64 {
	pool := r.area.pool.firstByte
	if r.firstByte == 0 || pool == 0 {
		return 1
	}
	return min(max(r.firstByte/pool/usualLatency, 1), maxLatency)
}

func (r *replica) ejected(now time.Time) bool {
	return now.Before(r.ejectedUntil)
}

// charge adds an attempt; with a factor of -1 it takes it back.
func (r *replica) charge(tokens int, factor float64) {
	attempt := amount{1, float64(tokens)}
	r.own = r.own.plus(attempt, factor)
	r.area.own = r.area.own.plus(attempt, factor)
}

// learn takes in the result of an attempt.
func (r *replica) learn(result track.Result, now time.Time) {
	if result.Outcome == track.NotRun && !result.Failed && !result.Overloaded {
		return
	}
	load := r.server.Load
	r.window.Observe(admit.Sample{
		InFlight: int(r.own.attempts), FirstByte: result.FirstByte, Overloaded: result.Overloaded,
		Roomy: load.Capacity > 0 && load.Queued <= roomyShare*load.Capacity,
	}, now)
	if result.FirstByte > 0 {
		seconds := result.FirstByte.Seconds()
		r.firstByte = average(r.firstByte, seconds)
		r.area.pool.firstByte = average(r.area.pool.firstByte, seconds)
	}
	r.attempts++
	if !result.Failed {
		r.failures = 0
		r.failureShare -= failureWeight * r.failureShare
		return
	}
	r.failures++
	r.failureShare += failureWeight * (1 - r.failureShare)
	if result.Down || r.failures >= maxFailures || r.attempts >= minAttempts && r.failureShare > maxFailureShare {
		r.eject(now)
	}
}

func average(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + latencyWeight*(value-mean)
}

// eject keeps the replica out for a while, unless too many of its pool are out:
// then the failures say more about the pool than about the replica.
func (r *replica) eject(now time.Time) {
	if r.ejected(now) || !r.area.pool.mayEject(now) {
		return
	}
	r.ejectedUntil = now.Add(min(minEjection<<min(r.ejections, 8), maxEjection))
	r.since = r.ejectedUntil
	r.ejections++
	r.failures, r.failureShare, r.attempts = 0, 0, 0
}
