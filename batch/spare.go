package batch

import (
	"slices"
	"time"

	"filberttrack.example/track"
)

const (
	// maxSpareUse is the share of the capacity in use from which on TryAcquire grants nothing. The rest is for first
	// attempts, which other entries may have sent since their last message.
	maxSpareUse = 0.8
	// slowFirstByteShare is the share of attempts that are answered within SlowFirstByte.
	slowFirstByteShare = 0.95
	// minSlowFirstByte is the least SlowFirstByte. Below it, differences come from scheduling rather than from the replica.
	minSlowFirstByte = 10 * time.Millisecond
)

// The reasons why TryAcquire grants nothing.
const (
	// ReasonShortOfRoom means that requests are queued or that most of the capacity is in use.
	ReasonShortOfRoom Reason = "ShortOfRoom"
	// ReasonNoOtherReplica means that no other replica is available.
	ReasonNoOtherReplica Reason = "NoOtherReplica"
	// ReasonSameGroup means that all other available replicas are, or may be, in the same rank group.
	ReasonSameGroup Reason = "SameGroup"
)

// TryAcquire admits a second attempt beside the one on the given replica, without waiting. It grants a replica that
// isn't in the same rank group, and only while no request is queued and under maxSpareUse of the capacity is in use.
// Else it returns the reason. The attempt doesn't count as demand.
func (p *Pool) TryAcquire(request AdmissionRequest, beside track.ReplicaID) (*Grant, Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	if len(p.queue) > 0 || !p.hasSpareCapacity(now) {
		return nil, ReasonShortOfRoom
	}
	reason := ReasonNoOtherReplica
	excluded := append(slices.Clone(request.Excluded), beside)
	for _, r := range p.replicas {
		switch {
		case slices.Contains(excluded, r.ID) || !r.available(now) || p.inBrokenGroup(r, now) ||
			!allows(request.Zones, r.Zone):
		case p.maySharePasses(r, p.replicas[beside]):
			excluded = append(excluded, r.ID)
			if reason == ReasonNoOtherReplica {
				reason = ReasonSameGroup
			}
		default:
			reason = ReasonShortOfRoom
		}
	}
	if reason != ReasonShortOfRoom {
		return nil, reason
	}
	request.Excluded = excluded
	w := &waiter{request: request, arrived: now, granted: make(chan *Grant, 1), refused: make(chan *RefusalError, 1)}
	p.queue = append(p.queue, w)
	p.dispatch()
	select {
	case g := <-w.granted:
		return g, ""
	default:
		p.dequeue(w)
		return nil, ReasonShortOfRoom
	}
}

// hasSpareCapacity reports whether under maxSpareUse of the capacity is in use.
func (p *Pool) hasSpareCapacity(now time.Time) bool {
	capacity, used := 0, 0
	for _, r := range p.replicas {
		if r.available(now) && !p.inBrokenGroup(r, now) {
			capacity += p.limit(r)
			used += r.load()
		}
	}
	return float64(used) < maxSpareUse*float64(capacity)
}

// maySharePasses reports whether two replicas may be ranks of the same group. An engine whose group isn't known may be.
func (p *Pool) maySharePasses(a, b *replica) bool {
	if p.engine != nil && (b == nil || a.rank.Group == "" || b.rank.Group == "") {
		return true
	}
	return b != nil && a.rank.Group != "" && a.rank.Group == b.rank.Group
}

// recordFirstByte adds the time to first byte of a served attempt. An attempt that was canceled because its hedge won
// counts with the time for which it had waited: without the slow ones, the quantile would fall with each hedge. Answers
// with an error status are quick and say nothing about slow ones.
func (p *Pool) recordFirstByte(result Result) {
	if result.Verdict == Served && !result.ErrorAnswer || result.Verdict == Canceled && result.FirstByte > 0 {
		p.firstBytes.add(result.FirstByte)
	}
}

// SlowFirstByte returns the time to first byte from which on an attempt counts as slow; 0 while there are fewer than
// 64 recent ones.
func (p *Pool) SlowFirstByte() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstBytes.count < durationSamples {
		return 0
	}
	return max(p.firstBytes.quantile(slowFirstByteShare), minSlowFirstByte)
}
