package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"filberttrack.example/track/platform/mimic"
)

// Fault is a kind of fault that a run can inject.
type Fault string

// The kinds of faults.
const (
	Freeze        Fault = "Freeze"
	Kill          Fault = "Kill"
	Stop          Fault = "Stop"
	Reload        Fault = "Reload"
	LogAway       Fault = "LogAway"
	LogSlow       Fault = "LogSlow"
	ReplicaFaults Fault = "ReplicaFaults"
	ReplicaLeaves Fault = "ReplicaLeaves"
	ReplicaDies   Fault = "ReplicaDies"
	LinkDelay     Fault = "LinkDelay"
	LinkReset     Fault = "LinkReset"
	LinkSilent    Fault = "LinkSilent"
	LinkSlow      Fault = "LinkSlow"
	RevokeKey     Fault = "RevokeKey"
	NewRoute      Fault = "NewRoute"
	AgentFreezes  Fault = "AgentFreezes"
	AgentKilled   Fault = "AgentKilled"
	OrdersLost    Fault = "OrdersLost"
	DemandShifts  Fault = "DemandShifts"
	GroupBreaks   Fault = "GroupBreaks"
	// LogRestored takes the log away and brings it back from an older copy.
	LogRestored Fault = "LogRestored"
	// ReplicaSaysLeaving makes a replica leave that says so in its answers only.
	ReplicaSaysLeaving Fault = "ReplicaSaysLeaving"
	// ReplicasRest makes all replicas of a service turn requests away and ask for rest.
	ReplicasRest Fault = "ReplicasRest"
	// ReplicaRests does so for one replica.
	ReplicaRests Fault = "ReplicaRests"
	// ReplicasLimited makes all replicas of a service name a limit, and ReplicaLimited one.
	ReplicasLimited Fault = "ReplicasLimited"
	ReplicaLimited  Fault = "ReplicaLimited"
	// CrashingRequest sends a request that crashes replicas again and again, and CrashingPart
	// different requests with one part in their prompts that does.
	CrashingRequest Fault = "CrashingRequest"
	CrashingPart    Fault = "CrashingPart"
	// LogPartDark leaves requests for one topic of the log without an answer, on sound connections.
	LogPartDark Fault = "LogPartDark"
	// ZoneEvacuated evacuates a zone and takes it back.
	ZoneEvacuated Fault = "ZoneEvacuated"
	// ReplicasCold restarts all replicas of a service in a zone. Replicas are cold after starts in such a run.
	ReplicasCold Fault = "ReplicasCold"
	// InvalidHeads makes a replica answer some requests with heads that are not valid HTTP.
	InvalidHeads Fault = "InvalidHeads"
	// EarlyAnswers makes a replica answer uploads before it has read them, and break off two of three answers.
	EarlyAnswers Fault = "EarlyAnswers"
)

// faults lists all kinds of faults in the order from which PlanFaults draws them. DemandShifts is
// listed twice and so is twice as frequent.
var faults = []Fault{
	Freeze, Kill, Stop, Reload, LogAway, LogSlow, ReplicaFaults, ReplicaLeaves, ReplicaDies,
	LinkDelay, LinkReset, LinkSilent, LinkSlow, RevokeKey, NewRoute,
	AgentFreezes, AgentKilled, OrdersLost, DemandShifts, DemandShifts, GroupBreaks,
	LogRestored, ReplicaSaysLeaving, ReplicasRest, ReplicaRests, CrashingRequest, CrashingPart,
	ReplicasLimited, ReplicaLimited,
}

// PlannedFault is a fault to inject.
type PlannedFault struct {
	// At is the time from the start of the load.
	At       time.Duration
	Duration time.Duration
	Fault    Fault
	// Target selects the entry, agent, endpoint or key, modulo their number.
	Target int
	// ReplicaFault is what a replica does wrong, for the fault ReplicaFaults. It affects each
	// Interval-th request.
	ReplicaFault mimic.Fault
	Interval     int
}

// String returns the line of the fault in the printed plan.
func (p PlannedFault) String() string {
	return fmt.Sprintf("%5.1f s for %4.1f s %s %d %s", p.At.Seconds(), p.Duration.Seconds(), p.Fault, p.Target, p.ReplicaFault)
}

const (
	// minPause and maxPause bound the time between the starts of two faults. Faults overlap,
	// as each lasts between minDuration and maxDuration.
	minPause    = 300 * time.Millisecond
	maxPause    = 1800 * time.Millisecond
	minDuration = 500 * time.Millisecond
	maxDuration = 4 * time.Second
)

// PlanFaults returns the faults to inject in a run of the given length. The same seed and length
// give the same faults.
func PlanFaults(seed uint64, length time.Duration) []PlannedFault {
	rng := rand.New(rand.NewPCG(seed, 13))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	replicaFaults := []mimic.Fault{
		mimic.ResetAfterRun, mimic.ServerError, mimic.Hang, mimic.TruncateResponse,
		mimic.Reject, mimic.EndlessBody, mimic.DripBytes, mimic.SecondCopy,
		mimic.Unframed, mimic.UnframedReset, mimic.UnframedCut,
	}
	var planned []PlannedFault
	for at := between(minPause, maxPause); at < length; at += between(minPause, maxPause) {
		planned = append(planned, PlannedFault{
			At: at, Duration: between(minDuration, maxDuration), Fault: faults[rng.IntN(len(faults))],
			Target: rng.IntN(1 << 16), ReplicaFault: replicaFaults[rng.IntN(len(replicaFaults))], Interval: 2 + rng.IntN(12),
		})
	}
	planned = append(planned, planFrequent(seed, 33, LogPartDark, length, shortestDark)...)
	planned = append(planned, planEvacuations(seed, length)...)
	planned = append(planned, planFrequent(seed, 59, InvalidHeads, length, minDuration)...)
	planned = append(planned, planFrequent(seed, 71, EarlyAnswers, length, minDuration)...)
	return append(planned, planCold(seed, length)...)
}

const (
	// minLightTime and maxLightTime bound the time between the starts of two faults of a kind that planFrequent plans.
	// After a fault LogPartDark they leave time in which changes must be in force again.
	minLightTime = 3 * time.Second
	maxLightTime = 9 * time.Second
	// shortestDark is the least duration of a fault LogPartDark.
	shortestDark = 10 * time.Millisecond
)

// invalidHeadInterval is the number of requests from one that is answered with an invalid head to the next.
const invalidHeadInterval = 2

// planFrequent returns the faults of a kind that comes every few seconds; each lasts for the shortest duration or longer.
// They have random numbers of their own, of the given stream, so that the other faults of a seed are those that it had
// before this kind was added.
func planFrequent(seed, stream uint64, fault Fault, length, shortest time.Duration) []PlannedFault {
	return planOwn(rand.New(rand.NewPCG(seed, stream)), fault, length, minLightTime,
		[2]time.Duration{minLightTime, maxLightTime}, [2]time.Duration{shortest, maxDuration})
}

// planOwn returns faults of a kind that have random numbers of their own, like those of planFrequent. The first begins by
// firstBy; pause and duration hold the least and the greatest value.
func planOwn(rng *rand.Rand, fault Fault, length, firstBy time.Duration, pause, duration [2]time.Duration) []PlannedFault {
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	var planned []PlannedFault
	for at := between(minPause, firstBy); at < length; at += between(pause[0], pause[1]) {
		planned = append(planned, PlannedFault{At: at, Duration: between(duration[0], duration[1]), Fault: fault, Target: rng.IntN(1 << 16)})
	}
	return planned
}

// countFaults returns the number of planned faults of each kind, as lines sorted by kind.
func countFaults(planned []PlannedFault) []string {
	counts := make(map[Fault]int)
	for _, e := range planned {
		counts[e.Fault]++
	}
	var lines []string
	for fault, n := range counts {
		lines = append(lines, fmt.Sprintf("%s %d", fault, n))
	}
	slices.Sort(lines)
	return lines
}
