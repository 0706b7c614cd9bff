package batch

import (
	"time"

	"filberttrack.example/track"
)

const (
	// minRetryAfter is the least delay after which a client is asked to return.
	minRetryAfter = 100 * time.Millisecond
	// minEngineRetryAfter is that delay for model engines, whose batches turn over
	// in a second or two.
	minEngineRetryAfter = time.Second
	// brokenRetryAfter is the delay while a rank group is broken: a rank that crashed or
	// was cut off is back after four to six seconds, and clients wait no longer than a
	// third of the time that they have left.
	brokenRetryAfter = 2400 * time.Millisecond
	// formingRetryAfter is the delay for youngTime after this entry has started, when
	// groups are about to form: all have started then.
	formingRetryAfter = 1500 * time.Millisecond
	youngTime         = 3 * time.Second
	// noReplicaRetryAfter is the delay while no replica serves: replicas report
	// about once a second.
	noReplicaRetryAfter = time.Second
	// retryJitter is the spread of the delay, as a part of it.
	retryJitter = 0.3
	// minShare is the least share of the free places that an entry counts on.
	minShare = 0.05
	// holdSmoothing is the weight of the newest sample in the mean holding time.
	holdSmoothing = 0.05
	// queueFactor is the number of requests on a replica of a plain service for
	// each of its slots, so that the next request is there when one ends.
	queueFactor = 2
	// maxStarting bounds the requests of a model engine that have no event yet: the
	// prompts that are read make the passes of the whole group longer.
	maxStarting = 5
	// slowPace is the pace from which on a rank gets no requests while others are
	// open. A rank in good health is at 1.
	slowPace = 1.5
	// drawn is the number of replicas of all zones of which the least loaded gets a
	// request, and drawnNear that of the own zone. Two keep the batches nearly even and
	// any one from being overrun.
	drawn     = 2
	drawnNear = 2
	// maxWeighed is the number of replicas up to which all are weighed.
	maxWeighed = 4
	// evacuatePace is the pace from which on requests that can go on elsewhere leave a
	// rank: its own part of a pass is then longer than that of all others together.
	evacuatePace = 3.0
	// defaultSlots is assumed of a replica that names no slots.
	defaultSlots = 4

	// firstClosed is the time for which a replica is left alone after a failure.
	// It doubles with each further one, up to maxClosed.
	firstClosed = 250 * time.Millisecond
	maxClosed   = 4 * time.Second
	// fullClosed is the time for which a replica without room is left alone.
	fullClosed = 60 * time.Millisecond
	// misplacedClosed is longer than the list of replicas takes to tell that the
	// replica has left.
	misplacedClosed = 5 * time.Second
	// brokenClosed is the time between two looks at a broken group.
	brokenClosed = time.Second
	// errorSmoothing is the weight of the newest answer in the share of errors.
	errorSmoothing = 0.1
	// maxErrorShare is the share of errors beyond which a replica is left alone.
	maxErrorShare = 0.5
	// latencySmoothing is the weight of the newest sample in the mean latency.
	latencySmoothing = 0.2
	// minPass is the duration below which passes count as equal.
	minPass = 50 * time.Millisecond
	// minLatency keeps idle replicas comparable.
	minLatency = time.Millisecond
)

// replica is what this entry knows of a replica.
type replica struct {
	track.Replica
	// listed is unset once the replica is draining or gone.
	listed bool
	// own and others count the requests of this entry and of all others.
	own    track.InFlight
	others track.InFlight
	// grants holds the own requests that can go on elsewhere.
	grants map[*Grant]struct{}
	// tokens estimates the tokens that own requests hold.
	tokens int
	// rank is what the agent beside the replica tells.
	rank RankState
	// broken is set while the replica's group is broken.
	broken      bool
	closedUntil time.Time
	failures    int
	errorShare  float64
	latency     time.Duration
}

func (r *replica) load() int {
	return r.own.Running + r.others.Running
}

func (r *replica) starting() int {
	return r.own.Starting + r.others.Starting
}

// hasRoom reports whether the replica may get another request.
func (p *Pool) hasRoom(r *replica) bool {
	if p.engine != nil && r.starting() >= maxStarting {
		return false
	}
	return r.load() < p.limit(r)
}

// slow reports whether the replica's rank is so slow that its own requests would make
// the passes of all ranks of its group longer.
func (r *replica) slow() bool {
	return Slow(r.rank.Pace)
}

// Slow reports whether a rank at a pace gets no requests while others are open.
func Slow(pace float64) bool {
	return pace >= slowPace
}

// closedFor returns the time for which the replica is to be left alone.
func (r *replica) closedFor(now time.Time) time.Duration {
	return r.closedUntil.Sub(now)
}

// limit returns the number of requests that may be on a replica at once.
func (p *Pool) limit(r *replica) int {
	slots := r.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	if p.engine != nil {
		return slots
	}
	return slots * queueFactor
}

// score orders replicas for the next request, least first. The ranks of a group run in
// lock-step, so for engines the size of the batch counts, and how long the group's passes
// take: a group with a slow rank gets fewer requests than others.
func (p *Pool) score(r *replica) float64 {
	score := float64(r.load() + 1)
	if p.engine == nil {
		score *= float64(max(r.latency, minLatency))
	} else {
		score += float64(r.tokens) / float64(max(p.engine.MemoryTokens, 1))
		if r.Zone != p.options.Zone {
			score += farLoad
		}
		score *= float64(max(p.passes[r.rank.Group], minPass))
	}
	if r.Zone != p.options.Zone {
		score *= farFactor
	}
	return score
}

const (
	// farFactor makes a replica of the own zone win among equals.
	farFactor = 1.01
	// farLoad is the number of further requests for which an engine of the own zone is
	// preferred: what crosses zones is dear, and batches differ by more than that.
	farLoad = 0.7
)

// observe learns from the end of an attempt and returns what changed, for logs.
func (r *replica) observe(result Result, now time.Time, engine *track.EngineSpec) string {
	switch result.Verdict {
	case Served:
		r.failures, r.broken = 0, false
		r.errorShare -= errorSmoothing * r.errorShare
		if r.latency == 0 {
			r.latency = result.FirstByte
		}
		r.latency += time.Duration(latencySmoothing * float64(result.FirstByte-r.latency))
	case Erred:
		r.errorShare += errorSmoothing * (1 - r.errorShare)
		if r.errorShare > maxErrorShare {
			return r.close(now, "Errors")
		}
	case Full:
		if result.AtFault != "" && engine != nil {
			r.breakGroup(now, max(brokenClosed, engine.FormTime))
			return "GroupBroken"
		}
		r.closedUntil = now.Add(fullClosed)
	case Unreachable:
		return r.close(now, "Unreachable")
	case Misplaced:
		r.closedUntil = now.Add(misplacedClosed)
		return "Misplaced"
	case Broke:
		return r.close(now, "Broke")
	}
	return ""
}

// breakGroup notes that the replica's group is broken.
func (r *replica) breakGroup(now time.Time, look time.Duration) {
	r.broken = true
	r.closedUntil = now.Add(look)
}

// close leaves the replica alone, longer after each failure in a row.
func (r *replica) close(now time.Time, change string) string {
	closed := min(firstClosed<<min(r.failures, 8), maxClosed)
	r.failures++
	r.closedUntil = now.Add(closed)
	return change
}
