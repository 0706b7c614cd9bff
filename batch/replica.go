package batch

import (
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/cold"
	"filberttrack.example/track/permit"
	"filberttrack.example/track/signs"
)

const (
	// minRetryAfter is the least delay after which a refused client is asked to retry.
	minRetryAfter = 100 * time.Millisecond
	// minEngineRetryAfter is that delay for model engines, whose batches turn over in one
	// or two seconds.
	minEngineRetryAfter = time.Second
	// brokenGroupRetryAfter is the delay while a rank group is broken: a rank that crashed
	// or was cut off is back after four to six seconds, and clients wait no longer than a
	// third of the time that they have left.
	brokenGroupRetryAfter = 2400 * time.Millisecond
	// formingRetryAfter is the delay during startupPeriod after the start of this entry.
	// Everything has just started then, and groups are about to form.
	formingRetryAfter = 1500 * time.Millisecond
	startupPeriod     = 3 * time.Second
	// noReplicaRetryAfter is the delay while no replica is available: replicas report
	// about once a second.
	noReplicaRetryAfter = time.Second
	// retryJitter is the greatest random extension of a retry delay, as a fraction of it.
	retryJitter = 0.3
	// minCapacityShare is the least fraction of the capacity that becomes free on which an
	// entry counts.
	minCapacityShare = 0.05
	// grantTimeSmoothing is the weight of the newest sample in the mean grant time.
	grantTimeSmoothing = 0.05
	// requestsPerSlot is the number of requests on a replica of a plain service for each
	// of its slots, so that the next request is already there when one ends.
	requestsPerSlot = 2
	// maxStarting limits the requests on a model engine that have no event yet: reading
	// their prompts makes the passes of the whole group longer.
	maxStarting = 5
	// slowThreshold is the slowdown from which on a rank gets no requests while others are
	// available. A healthy rank has a slowdown of 1.
	slowThreshold = 1.5
	// sampleSize is the number of replicas of all zones, and localSampleSize the number of
	// the local zone, of which the least loaded one gets a request. Two keep the batches
	// nearly even and any single replica from being overloaded.
	sampleSize      = 2
	localSampleSize = 2
	// maxUnsampled is the number of replicas up to which all are compared.
	maxUnsampled = 4
	// leaveSlowRankThreshold is the slowdown from which on requests that can continue elsewhere are
	// moved off a rank: its own part of a pass then takes longer than that of all others together.
	leaveSlowRankThreshold = 3.0
	// defaultSlots is assumed for a replica that reports no slots.
	defaultSlots = 4

	// initialBackoff is the time for which a replica gets no requests after a failure. It
	// doubles with each further failure in a row, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// atCapacityBackoff is the backoff of a replica that refused a request for lack of capacity.
	atCapacityBackoff = 60 * time.Millisecond
	// wrongReplicaBackoff is longer than the list of replicas takes to show that the replica
	// has left.
	wrongReplicaBackoff = 5 * time.Second
	// brokenGroupBackoff is the time between two attempts to use a broken group.
	brokenGroupBackoff = time.Second
	// errorSmoothing is the weight of the newest answer in the error rate.
	errorSmoothing = 0.1
	// maxErrorRate is the error rate above which a replica gets no requests for a while.
	maxErrorRate = 0.5
	// latencySmoothing is the weight of the newest sample in the mean latency.
	latencySmoothing = 0.2
	// minPassTime is the duration below which all passes count as equally long.
	minPassTime = 50 * time.Millisecond
	// minLatency is the least latency used in scores, so that idle replicas are still
	// compared by their load.
	minLatency = time.Millisecond
)

// replica is the state of a replica as this entry knows it.
type replica struct {
	track.Replica
	// idHash orders the slots of a zone; 0 until it is needed.
	idHash uint64
	// listed is unset once the replica is draining or gone.
	listed bool
	// evacuated is set while the replica's zone is evacuated.
	evacuated bool
	// ownInFlight counts the requests of this entry, otherInFlight those of all others.
	ownInFlight   track.InFlight
	otherInFlight track.InFlight
	// movable holds this entry's requests that can continue on another replica.
	movable map[*Grant]struct{}
	// tokens estimates the tokens that this entry's requests hold.
	tokens int
	// rank is the state of the rank as the replica's agent reports it.
	rank RankState
	// rankReportedAt is when the agent last reported it.
	rankReportedAt time.Time
	// broken is set while the replica's group is broken.
	broken bool
	// backoffUntil is the time until which the replica gets no requests.
	backoffUntil time.Time
	// signs is what the replica has said of itself, and permits are this entry's permits under the limit among them.
	signs   signs.Signs
	permits *permit.Schedule
	// firstSeen is when the replica was listed first, and recordSeen when its latest record arrived.
	firstSeen, recordSeen time.Time
	// cold knows when the replica is possibly cold; nil if the service's replicas never are. permitsCold is set while the
	// permits have the rate of cold replicas, and loggedCold after the log line that says that the replica is cold.
	cold                    *cold.Guard
	permitsCold, loggedCold bool
	failures                int
	errorRate               float64
	latency                 time.Duration
}

func (r *replica) load() int {
	return r.ownInFlight.Running + r.otherInFlight.Running
}

func (r *replica) starting() int {
	return r.ownInFlight.Starting + r.otherInFlight.Starting
}

// slow reports whether the replica's rank is so slow that its own requests would make
// the passes of all ranks of its group longer.
func (r *replica) slow() bool {
	return IsSlow(r.rank.Slowdown)
}

// IsSlow reports whether a rank with the given slowdown (see RankState) gets no requests
// while others are available.
func IsSlow(slowdown float64) bool {
	return slowdown >= slowThreshold
}

// available reports whether the replica gets requests now.
func (r *replica) available(now time.Time) bool {
	return r.usable() && r.remainingBackoff(now) <= 0
}

// usable reports whether the replica may get requests, now or after its backoff.
func (r *replica) usable() bool {
	return r.listed && !r.signs.Leaving && !r.evacuated
}

// remainingBackoff returns the time for which the replica gets no requests yet; 0 or less
// if that time is over.
func (r *replica) remainingBackoff(now time.Time) time.Duration {
	return max(r.backoffUntil.Sub(now), r.signs.RestUntil.Sub(now))
}

// slotCount returns the number of slots that the replica reports, or that is assumed for it.
func (r *replica) slotCount() int {
	if r.Slots <= 0 {
		return defaultSlots
	}
	return r.Slots
}

// limit returns the number of requests that may be on a replica at once.
func (p *Pool) limit(r *replica) int {
	slots := r.slotCount()
	if p.engine != nil {
		return p.batchLimit(r, slots)
	}
	return slots * requestsPerSlot
}

// score rates a replica for the next request; the lowest score wins. The ranks of a group
// run in lock-step, so for model engines the score combines the size of the batch with
// the duration of the group's passes: a group with a slow rank gets fewer requests.
func (p *Pool) score(r *replica) float64 {
	score := float64(r.load() + 1)
	if p.engine == nil {
		score *= float64(max(r.latency, minLatency))
	} else {
		score += float64(r.tokens) / float64(max(p.engine.MemoryTokens, 1))
		if r.Zone != p.options.Zone {
			score += otherZoneLoad
		}
		score *= float64(max(p.passTimes[r.rank.Group], minPassTime))
	}
	if r.Zone != p.options.Zone {
		score *= otherZoneFactor
	}
	return score
}

const (
	// otherZoneFactor makes a replica of the local zone win over equals of other zones.
	otherZoneFactor = 1.01
	// otherZoneLoad is the number of additional requests up to which an engine of the local
	// zone is preferred: traffic between zones is expensive, and batches differ in size by
	// more than that.
	otherZoneLoad = 0.7
)

// recordResult updates the replica's health from the end of an attempt. It returns what
// changed, for logs; an empty string if nothing worth logging did.
func (r *replica) recordResult(result Result, now time.Time, engine *track.EngineSpec) string {
	switch result.Verdict {
	case Served:
		r.failures, r.broken = 0, false
		r.errorRate -= errorSmoothing * r.errorRate
		if r.latency == 0 {
			r.latency = result.FirstByte
		}
		r.latency += time.Duration(latencySmoothing * float64(result.FirstByte-r.latency))
	case Failed:
		r.errorRate += errorSmoothing * (1 - r.errorRate)
		if r.errorRate > maxErrorRate {
			return r.backOff(now, "Errors")
		}
	case AtCapacity:
		if result.AtFault != "" && engine != nil {
			r.markBroken(now, max(brokenGroupBackoff, engine.GroupRecoveryTime))
			return "GroupBroken"
		}
		r.backoffUntil = now.Add(atCapacityBackoff)
	case Unreachable:
		return r.backOff(now, "Unreachable")
	case WrongReplica:
		r.backoffUntil = now.Add(wrongReplicaBackoff)
		return "Misplaced"
	case Interrupted:
		return r.backOff(now, "Broke")
	}
	return ""
}

// markBroken records that the replica's group is broken and sends it no requests for the
// given time.
func (r *replica) markBroken(now time.Time, backoff time.Duration) {
	r.broken = true
	r.suspectCold(now)
	r.backoffUntil = now.Add(backoff)
}

// backOff sends the replica no requests for a time that doubles with each failure in a
// row. It returns the given change, for logs.
func (r *replica) backOff(now time.Time, change string) string {
	backoff := min(initialBackoff<<min(r.failures, 8), maxBackoff)
	r.failures++
	r.backoffUntil = now.Add(backoff)
	return change
}
