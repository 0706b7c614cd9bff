package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"filberttrack.example/track/platform/mimic"
)

// Fault is a kind of disturbance.
type Fault string

// The kinds of disturbances.
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
)

// faults lists all kinds, in the order in which seeds draw them.
var faults = []Fault{
	Freeze, Kill, Stop, Reload, LogAway, LogSlow, ReplicaFaults, ReplicaLeaves, ReplicaDies,
	LinkDelay, LinkReset, LinkSilent, LinkSlow, RevokeKey, NewRoute,
	AgentFreezes, AgentKilled, OrdersLost, DemandShifts, DemandShifts, GroupBreaks,
}

// Event is a disturbance at a time from the start of the load.
type Event struct {
	At     time.Duration
	For    time.Duration
	Fault  Fault
	Target int
	// How is what replicas do wrong, Each the share of it: each nth request.
	How  mimic.Fault
	Each int
}

// String returns the line of the event in a report.
func (e Event) String() string {
	return fmt.Sprintf("%5.1f s for %4.1f s %s %d %s", e.At.Seconds(), e.For.Seconds(), e.Fault, e.Target, e.How)
}

const (
	// minPause and maxPause bound the time between two disturbances; they overlap, as
	// each lasts up to maxLast.
	minPause = 300 * time.Millisecond
	maxPause = 1800 * time.Millisecond
	minLast  = 500 * time.Millisecond
	maxLast  = 4 * time.Second
)

// Plan returns the disturbances of a seed for a time. The same seed gives the same.
func Plan(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 13))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	wrongs := []mimic.Fault{mimic.LosesAnswers, mimic.Errs, mimic.Hangs, mimic.CutsOff, mimic.Declines}
	var events []Event
	for at := between(minPause, maxPause); at < length; at += between(minPause, maxPause) {
		events = append(events, Event{
			At: at, For: between(minLast, maxLast), Fault: faults[rng.IntN(len(faults))],
			Target: rng.IntN(1 << 16), How: wrongs[rng.IntN(len(wrongs))], Each: 2 + rng.IntN(12),
		})
	}
	return events
}

// countFaults returns how often each kind is planned, in the order of their names.
func countFaults(events []Event) []string {
	counts := make(map[Fault]int)
	for _, e := range events {
		counts[e.Fault]++
	}
	var lines []string
	for fault, n := range counts {
		lines = append(lines, fmt.Sprintf("%s %d", fault, n))
	}
	slices.Sort(lines)
	return lines
}
