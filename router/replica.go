package router

import (
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/admit"
)

// replica is the router's state of one backend server.
type replica struct {
	server track.BackendServer
	zone   *zonePool
	group  *group
	window admit.Window
	// slowStartAt is when the slow start begins: when the replica joined, or when
	// its latest ejection ends.
	slowStartAt time.Time
	removed     bool

	// ownWork is the work in flight from this entry.
	ownWork workload
	// ownAtReport is the own work when the latest report arrived. The report that
	// arrives next was made at about that time, so it includes this work.
	ownAtReport workload
	// otherWork is the work from other entries: the reported work less the own work
	// that it includes.
	otherWork workload
	// reserved is set while an isolated attempt, whose request is suspected of
	// crashing backend servers, has the replica to itself.
	reserved bool

	// meanFirstByte is the moving average of the time to the first byte, in s; 0 if
	// none is known.
	meanFirstByte float64
	// failures counts the failures in a row, and failureShare is the moving share
	// of failed attempts, 0 to 1.
	failures     int
	failureShare float64
	// attempts counts the finished attempts since the latest ejection.
	attempts     int
	ejections    int
	ejectedUntil time.Time
}

// workload is an amount of work in flight. Attempts take up the slots of a
// replica; their tokens take up its memory and lengthen its steps.
type workload struct {
	attempts float64
	tokens   float64
}

func (w workload) addScaled(other workload, factor float64) workload {
	return workload{w.attempts + factor*other.attempts, w.tokens + factor*other.tokens}
}

func newReplica(server track.BackendServer) *replica {
	return &replica{server: server, window: admit.NewWindow(server.Load.Capacity), slowStartAt: server.Joined}
}

// applyReport stores the replica's latest state. It updates the load estimate only
// if the load report is new.
func (r *replica) applyReport(server track.BackendServer) {
	if server.Load.Capacity != r.server.Load.Capacity {
		r.window = admit.NewWindow(server.Load.Capacity)
	}
	if server.Reported.IsZero() || server.Reported.Equal(r.server.Reported) {
		r.server = server
		return
	}
	r.server = server
	total := reportedWork(server.Load)
	r.setOtherWork(workload{max(total.attempts-r.ownAtReport.attempts, 0), max(total.tokens-r.ownAtReport.tokens, 0)})
	r.ownAtReport = r.ownWork
}

func (r *replica) setOtherWork(otherWork workload) {
	r.zone.otherWork = r.zone.otherWork.addScaled(otherWork, 1).addScaled(r.otherWork, -1)
	r.otherWork = otherWork
}

func reportedWork(load track.Load) workload {
	return workload{float64(load.Running + load.Queued), float64(load.TokensInFlight)}
}

// load estimates the work in flight, in attempts of mean size. The work of this
// entry is known exactly; the work of other entries is taken from the report,
// and approaches the zone's mean as the report ages.
func (r *replica) load(now time.Time) float64 {
	mean := r.zone.meanOtherWork()
	total := r.ownWork.addScaled(mean, 1)
	if !r.server.Reported.IsZero() {
		age := max(now.Sub(r.server.Reported), 0)
		weight := maxReportWeight * float64(reportHalfLife) / float64(reportHalfLife+age)
		total = total.addScaled(r.otherWork, weight).addScaled(mean, -weight)
	}
	return r.zone.pool.inAttempts(total)
}

// slowStartFactor returns the share of the full load that the replica may take, up
// to 1. It is relative to the replica of the zone that is furthest in its slow
// start: where all replicas are new, as after a start of the entry, none is held
// back.
func (r *replica) slowStartFactor(now time.Time) float64 {
	return min(r.slowStartProgress(now)/r.zone.maxProgress, 1)
}

// slowStartProgress rises from minSlowStart when the slow start begins to 1 when it
// is over.
func (r *replica) slowStartProgress(now time.Time) float64 {
	return min(max(float64(now.Sub(r.slowStartAt))/float64(slowStart), minSlowStart), 1)
}

// slots returns the number of attempts that this entry may have in flight on the
// replica, at least 1.
func (r *replica) slots(now time.Time) int {
	return max(int(float64(r.window.Limit())*r.slowStartFactor(now)), 1)
}

func (r *replica) full(now time.Time) bool {
	return int(r.ownWork.attempts) >= r.slots(now)
}

// fullWithOverflow reports whether the replica has no slot left even for an
// attempt that was admitted before its window shrank.
func (r *replica) fullWithOverflow(now time.Time) bool {
	slots := r.slots(now)
	return int(r.ownWork.attempts) >= slots+max(int(overflowShare*float64(slots)), 1)
}

// latencyPenalty returns the factor by which the replica's time to the first byte
// exceeds latencyTolerance times the mean of its pool, 1 to maxLatencyPenalty.
func (r *replica) latencyPenalty() float64 {
	pool := r.zone.pool.meanFirstByte
	if r.meanFirstByte == 0 || pool == 0 {
		return 1
	}
	return min(max(r.meanFirstByte/pool/latencyTolerance, 1), maxLatencyPenalty)
}

func (r *replica) ejected(now time.Time) bool {
	return now.Before(r.ejectedUntil)
}

// charge adds an attempt to the work in flight with a sign of 1, and removes it
// with a sign of -1.
func (r *replica) charge(tokens int, sign float64) {
	attempt := workload{1, float64(tokens)}
	r.ownWork = r.ownWork.addScaled(attempt, sign)
	r.zone.ownWork = r.zone.ownWork.addScaled(attempt, sign)
}

// recordResult updates the window, the latency and the failures with the result of
// an attempt, and ejects the replica if it fails too often.
func (r *replica) recordResult(result track.AttemptResult, now time.Time) {
	if result.Outcome == track.NotRun && !result.ReplicaAtFault && !result.Overloaded {
		return
	}
	load := r.server.Load
	r.window.Observe(admit.Sample{
		InFlight: int(r.ownWork.attempts), FirstByte: result.FirstByte, Overloaded: result.Overloaded,
		ShortQueue: load.Capacity > 0 && load.Queued <= shortQueueShare*load.Capacity,
	}, now)
	if result.FirstByte > 0 {
		seconds := result.FirstByte.Seconds()
		r.meanFirstByte = movingAverage(r.meanFirstByte, seconds)
		r.zone.pool.meanFirstByte = movingAverage(r.zone.pool.meanFirstByte, seconds)
	}
	r.attempts++
	if !result.ReplicaAtFault {
		r.failures = 0
		r.failureShare -= failureWeight * r.failureShare
		return
	}
	r.failures++
	r.failureShare += failureWeight * (1 - r.failureShare)
	if result.BackendServerDown || r.failures >= maxFailures ||
		r.attempts >= minAttempts && r.failureShare > maxFailureShare {
		r.eject(now)
	}
}

func movingAverage(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + averageWeight*(value-mean)
}

// eject takes the replica out of rotation for a while, unless too many replicas of
// its pool are ejected: the cause of the failures is then more likely common to
// the pool than this replica's own.
func (r *replica) eject(now time.Time) {
	if r.ejected(now) || !r.zone.pool.mayEject(now) {
		return
	}
	r.ejectedUntil = now.Add(min(minEjection<<min(r.ejections, 8), maxEjection))
	r.slowStartAt = r.ejectedUntil
	r.ejections++
	r.failures, r.failureShare, r.attempts = 0, 0, 0
}
