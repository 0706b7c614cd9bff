package batch

import (
	"math"
	"time"

	"filberttrack.example/track"
)

const (
	// paceWindow is the time constant of the mean pace of a group. It is about as long as
	// a stream, since short slow periods are bridged with delayed events.
	paceWindow = 1500 * time.Millisecond
	// gapShare is the share of the longest allowed pause between two events that a pass of
	// a group may take.
	gapShare = 0.95
	// lateValue is the value of a stream with longer pauses, relative to one without.
	lateValue = 0.5
	// minBatchShare is the least share of its slots that a replica fills.
	minBatchShare = 0.6
)

// groupPace is the pace of a rank group: the duration of its passes relative to what its
// engines need for their batches when the load of the experts is even.
type groupPace struct {
	mean      float64
	updatedAt time.Time
}

// observe adds a measurement to the mean.
func (g *groupPace) observe(pace float64, now time.Time) {
	if g.updatedAt.IsZero() {
		g.mean, g.updatedAt = pace, now
		return
	}
	weight := 1 - math.Exp(-float64(now.Sub(g.updatedAt))/float64(paceWindow))
	g.mean += weight * (pace - g.mean)
	g.updatedAt = now
}

// observePass updates the pace of a group from the duration of its passes.
func (p *Pool) observePass(group string, t groupTotals, now time.Time) {
	pass := p.passTimes[group]
	if p.engine == nil || pass <= 0 || t.listed == 0 || t.running == 0 {
		return
	}
	expected := passTime(p.engine, float64(t.running)/float64(t.listed))
	if expected <= 0 {
		return
	}
	pace := p.paces[group]
	if pace == nil {
		pace = &groupPace{}
		p.paces[group] = pace
	}
	pace.observe(float64(pass)/expected, now)
}

// passTime returns the duration of a pass of an engine that generates for a number of requests, in
// nanoseconds, while the load of the experts is even.
func passTime(engine *track.EngineSpec, running float64) float64 {
	return float64(max(engine.TokensPerPass, 1)) * (float64(engine.StepTime) + running*float64(engine.StepPerRequest))
}

// batchLimit returns the number of requests that may be on a replica with the given slots.
// It is lower than the slots while a full batch would make the pauses between the events of
// all its streams too long: fewer streams on time are worth more than many late ones.
func (p *Pool) batchLimit(r *replica, slots int) int {
	pace := p.paces[r.rank.Group]
	if pace == nil || p.maxGap <= 0 || p.engine.StepPerRequest <= 0 {
		return slots
	}
	longestPass := gapShare * float64(p.maxGap)
	fullPass := pace.mean * passTime(p.engine, float64(slots))
	if fullPass <= longestPass {
		return slots
	}
	perRequest := pace.mean * (passTime(p.engine, 1) - passTime(p.engine, 0))
	onTime := (longestPass - pace.mean*passTime(p.engine, 0)) / perRequest
	if onTime/longestPass < lateValue*float64(slots)/fullPass {
		return slots
	}
	return min(max(int(onTime), int(math.Ceil(minBatchShare*float64(slots)))), slots)
}
