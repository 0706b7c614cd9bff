package member

import "time"

// Timing holds the intervals, time limits and counts that membership works with.
type Timing struct {
	// HeartbeatInterval is the shortest interval between heartbeats to one peer.
	HeartbeatInterval time.Duration
	// HeartbeatBytes is the size of a heartbeat, including transport overhead, and
	// ReceiveBytesPerSecond the rate at which an entry can afford to receive
	// heartbeats from its agents. Together they lengthen the interval in zones with
	// many agents. There is no limit if ReceiveBytesPerSecond is not positive.
	HeartbeatBytes        int
	ReceiveBytesPerSecond int
	// SuspectIntervals is the number of heartbeat intervals without a heartbeat after
	// which a peer becomes suspect, but never before MinSuspectAfter has passed.
	SuspectIntervals int
	MinSuspectAfter  time.Duration
	// RemoveIntervals is the number of heartbeat intervals without a heartbeat after
	// which a peer is removed, but never before MinRemoveAfter has passed.
	RemoveIntervals int
	MinRemoveAfter  time.Duration
	// RetryInterval is the interval between attempts to reach peers that do not
	// answer.
	RetryInterval time.Duration
	// TombstoneTTL is how long the incarnation of a removed peer is remembered, and how
	// long an entry named by a peer is tried if it never answers.
	TombstoneTTL time.Duration
	// SameRegionDigestInterval and OtherRegionDigestInterval are the intervals
	// between digests of zones in the same region and in other regions.
	SameRegionDigestInterval  time.Duration
	OtherRegionDigestInterval time.Duration
	// SameRegionCandidates and OtherRegionCandidates are the maximum numbers of
	// candidates per target that are requested from such a zone.
	SameRegionCandidates  int
	OtherRegionCandidates int
	// FallbackEntries is the number of entries in other zones of the region that take
	// over an agent whose own zone has no entry.
	FallbackEntries int
	// UnreachableIntervals is the number of digest intervals without a digest after
	// which a zone counts as unreachable.
	UnreachableIntervals int
	// ListInterval is the interval between reads of the instance list by the entries
	// of a zone taken together.
	ListInterval time.Duration
	// AgentListInterval is the interval between reads of the instance list by an
	// agent that receives messages from entries.
	AgentListInterval time.Duration
	// LeavingMarkTTL is how long an instance counts as leaving after the list was last
	// seen to say so.
	LeavingMarkTTL time.Duration
	// ShrunkListDelay is how long a list that lost more than half of its instances
	// must stay that short before it replaces the previous one.
	ShrunkListDelay time.Duration
	// PauseThreshold is the time between two ticks above which this process is taken
	// to have been paused.
	PauseThreshold time.Duration
}

// DefaultTiming returns the timing for the deployment size that the system is
// designed for.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:         time.Second,
		HeartbeatBytes:            300,
		ReceiveBytesPerSecond:     6000,
		SuspectIntervals:          3,
		MinSuspectAfter:           3 * time.Second,
		RemoveIntervals:           10,
		MinRemoveAfter:            15 * time.Second,
		RetryInterval:             5 * time.Second,
		TombstoneTTL:              10 * time.Minute,
		SameRegionDigestInterval:  1500 * time.Millisecond,
		OtherRegionDigestInterval: 10 * time.Second,
		SameRegionCandidates:      4,
		OtherRegionCandidates:     1,
		FallbackEntries:           3,
		UnreachableIntervals:      3,
		ListInterval:              4 * time.Second,
		AgentListInterval:         10 * time.Minute,
		LeavingMarkTTL:            time.Minute,
		ShrunkListDelay:           10 * time.Minute,
		PauseThreshold:            2 * time.Second,
	}
}

// affordableInterval returns the interval at which an entry can afford to receive
// heartbeats from the given number of agents.
func (t Timing) affordableInterval(agents int) time.Duration {
	if t.ReceiveBytesPerSecond <= 0 {
		return t.HeartbeatInterval
	}
	bytes := agents * t.HeartbeatBytes
	affordable := time.Duration(bytes) * time.Second / time.Duration(t.ReceiveBytesPerSecond)
	return max(t.HeartbeatInterval, affordable)
}

// suspectAfter returns the time without a heartbeat after which a peer becomes suspect.
func (t Timing) suspectAfter(interval time.Duration) time.Duration {
	return max(t.MinSuspectAfter, time.Duration(t.SuspectIntervals)*interval)
}

// removeAfter returns the time without a heartbeat after which a peer is removed.
func (t Timing) removeAfter(interval time.Duration) time.Duration {
	return max(t.MinRemoveAfter, time.Duration(t.RemoveIntervals)*interval)
}
