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

	// own is the tokens in flight from this entry, inFlight the attempts.
	own      float64
	inFlight int
	// foreign is the reported load less the own part of it.
	foreign float64
	// suspect is set while an isolated attempt holds the replica.
	suspect bool

	firstByte    float64
	failures     int
	failureShare float64
	attempts     int
	ejections    int
	ejectedUntil time.Time
}

func newReplica(server track.BackendServer) *replica {
	return &replica{server: server, window: admit.NewWindow(server.Load.Capacity), since: server.Joined}
}

// report takes in the replica's latest state; its load only if that is new.
func (r *replica) report(server track.BackendServer, now time.Time) {
	if server.Load.Capacity != r.server.Load.Capacity {
		r.window = admit.NewWindow(server.Load.Capacity)
	}
	if server.Reported.IsZero() || server.Reported.Equal(r.server.Reported) {
		r.server = server
		return
	}
	r.server = server
	r.setForeign(max(work(server.Load)-r.own, 0))
	if float64(server.Load.Queued) > queuedShare*float64(server.Load.Running) {
		r.window.Shrink(now)
	}
}

func (r *replica) setForeign(foreign float64) {
	r.area.foreign += foreign - r.foreign
	r.foreign = foreign
}

// work returns a reported load in tokens; in attempts for a plain service.
func work(load track.Load) float64 {
	if load.TokensInFlight > 0 {
		return float64(load.TokensInFlight)
	}
	return float64(load.Running + load.Queued)
}

// load estimates the tokens in flight: the own ones exactly, the others as
// reported, drawn towards the zone's mean as the report ages.
func (r *replica) load(now time.Time) float64 {
	mean := r.area.meanForeign()
	if r.server.Reported.IsZero() {
		return r.own + mean
	}
	age := max(now.Sub(r.server.Reported), 0)
	trust := float64(reportHalfLife) / float64(reportHalfLife+age)
	return r.own + mean + trust*(r.foreign-mean)
}

// ramp returns the share of the full load that the replica may take.
func (r *replica) ramp(now time.Time) float64 {
	return min(max(float64(now.Sub(r.since))/float64(slowStart), startShare), 1)
}

// slots returns the attempts that this entry may have in flight on the replica.
func (r *replica) slots(now time.Time) int {
	return max(int(float64(r.window.Limit())*r.ramp(now)), 1)
}

func (r *replica) full(now time.Time) bool {
	return r.inFlight >= r.slots(now)
}

// latency returns the factor by which the replica is slower than its pool.
func (r *replica) latency() float64 {
	pool := r.area.pool.firstByte
	if r.firstByte == 0 || pool == 0 {
		return 1
	}
	return min(max(r.firstByte/pool, minLatency), maxLatency)
}

func (r *replica) ejected(now time.Time) bool {
	return now.Before(r.ejectedUntil)
}

func (r *replica) charge(tokens int) {
	r.own += float64(tokens)
	r.inFlight++
	r.area.own += float64(tokens)
	r.area.inFlight++
}

func (r *replica) release(tokens int) {
	r.own -= float64(tokens)
	r.inFlight--
	r.area.own -= float64(tokens)
	r.area.inFlight--
}

// learn takes in the result of an attempt.
func (r *replica) learn(result track.Result, now time.Time) {
	r.window.Observe(admit.Sample{
		InFlight: r.inFlight, FirstByte: result.FirstByte, Overloaded: result.Overloaded,
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
	if r.failures >= maxFailures || r.attempts >= minAttempts && r.failureShare > maxFailureShare {
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
