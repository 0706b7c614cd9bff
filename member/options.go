package member

import "time"

// Timing holds the intervals and bounds of membership.
type Timing struct {
	// Heartbeat is the shortest interval between heartbeats to one peer.
	Heartbeat time.Duration
	// HeartbeatBytes is the size of a heartbeat with transport overhead, and
	// ZoneBytesPerSecond what an entry can afford to receive from its agents.
	// Together they stretch the interval in large zones.
	HeartbeatBytes     int
	ZoneBytesPerSecond int
	// SuspectIntervals of silence, and never less than MinSuspect, make a peer
	// suspect; RemoveIntervals, and never less than MinRemove, remove it.
	SuspectIntervals int
	MinSuspect       time.Duration
	RemoveIntervals  int
	MinRemove        time.Duration
	// Retry is the interval between attempts at peers that do not answer.
	Retry time.Duration
	// Tombstone is the time for which a removed peer's incarnation is
	// remembered, and a learned address that never answers is tried.
	Tombstone time.Duration
	// DigestNear and DigestFar are the intervals between digests of zones in the
	// same region and in others.
	DigestNear time.Duration
	DigestFar  time.Duration
	// SpillNear and SpillFar bound the candidates a target that are asked of
	// such a zone.
	SpillNear int
	SpillFar  int
	// Adopters is the number of entries of other zones in the region that take
	// over an agent whose own zone has no entry.
	Adopters int
	// CutIntervals without a digest cut a zone.
	CutIntervals int
	// ListTurn is the interval between readings of the instance list by the
	// entries of a zone taken together.
	ListTurn time.Duration
	// AgentList is the interval between readings by an agent that hears entries.
	AgentList time.Duration
	// MarkHold is the time for which a leaving mark of the list holds after it
	// was last read.
	MarkHold time.Duration
	// ShrinkHold is the time for which a list that lost more than half of its
	// instances must stay so before it is believed.
	ShrinkHold time.Duration
	// PauseGap is the time between two ticks beyond which the process itself is
	// taken to have been paused.
	PauseGap time.Duration
}

// DefaultTiming returns the timing for the size to design for.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:          time.Second,
		HeartbeatBytes:     300,
		ZoneBytesPerSecond: 6000,
		SuspectIntervals:   3,
		MinSuspect:         3 * time.Second,
		RemoveIntervals:    10,
		MinRemove:          15 * time.Second,
		Retry:              5 * time.Second,
		Tombstone:          10 * time.Minute,
		DigestNear:         1500 * time.Millisecond,
		DigestFar:          10 * time.Second,
		SpillNear:          4,
		SpillFar:           1,
		Adopters:           3,
		CutIntervals:       3,
		ListTurn:           4 * time.Second,
		AgentList:          10 * time.Minute,
		MarkHold:           time.Minute,
		ShrinkHold:         10 * time.Minute,
		PauseGap:           2 * time.Second,
	}
}

// interval returns the interval at which an entry can afford heartbeats from
// the given number of agents.
func (t Timing) interval(agents int) time.Duration {
	if t.ZoneBytesPerSecond <= 0 {
		return t.Heartbeat
	}
	bytes := agents * t.HeartbeatBytes
	affordable := time.Duration(bytes) * time.Second / time.Duration(t.ZoneBytesPerSecond)
	return max(t.Heartbeat, affordable)
}

// suspectAfter returns the silence that makes a peer suspect.
func (t Timing) suspectAfter(interval time.Duration) time.Duration {
	return max(t.MinSuspect, time.Duration(t.SuspectIntervals)*interval)
}

// removeAfter returns the silence that removes a peer.
func (t Timing) removeAfter(interval time.Duration) time.Duration {
	return max(t.MinRemove, time.Duration(t.RemoveIntervals)*interval)
}
