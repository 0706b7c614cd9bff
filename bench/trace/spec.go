// Package trace compares routers on the same seeded trace of requests, over a
// small event-driven model of replicas: rank groups in lock-step, continuous
// batching, prefix caches and late load reports.
package trace

import "time"

// Spec describes a trace and the replicas that serve it.
type Spec struct {
	Seed   uint64
	Length time.Duration
	// Entries is the number of entries; requests come to them at random.
	Entries int
	// Zones is the number of availability zones. Each has Groups rank groups of
	// Members replicas.
	Zones   int
	Groups  int
	Members int
	// Rate is the number of requests a second, and Surge its factor in the middle
	// third of the trace.
	Rate  float64
	Surge float64
	// Turns is the probability that a request continues a conversation.
	Turns float64
	// Conversations bounds the conversations that may be continued.
	Conversations int
	// Prompts is the number of system prompts, of which low numbers are popular.
	Prompts int
	// Straggler is the factor on the step time of the first group in the second
	// quarter of the trace.
	Straggler float64
	// ReportEvery is the time between two load reports, ReportLag their delay.
	ReportEvery time.Duration
	ReportLag   time.Duration
}

// Default returns the trace of the measurements.
func Default() Spec {
	return Spec{
		Seed: 1, Length: 2 * time.Minute, Entries: 9, Zones: 3, Groups: 3, Members: 4,
		Rate: 110, Surge: 1.4, Turns: 0.6, Conversations: 400, Prompts: 40, Straggler: 1.5,
		ReportEvery: 500 * time.Millisecond, ReportLag: 500 * time.Millisecond,
	}
}

const (
	// blockTokens is the length of one hashed block of a prompt.
	blockTokens = 64
	// maxRunning is the number of attempts that a replica runs at once.
	maxRunning = 24
	// maxPrefill bounds the prompt tokens that a replica takes in one step.
	maxPrefill = 1024
	// cacheBlocks is the size of a replica's prefix cache.
	cacheBlocks = 4000
	// reportedPrefixes is the number of prefixes in a load report.
	reportedPrefixes = 8

	// The duration of a step: a part of its own, and parts for each prompt token,
	// each sequence and each token held by the busiest replica of the group.
	stepBase     = 12 * time.Millisecond
	stepPrompt   = 40 * time.Microsecond
	stepSequence = 300 * time.Microsecond
	stepHeld     = 400 * time.Nanosecond

	// The targets of an answer: the first token, and the time between tokens.
	firstToken   = 790 * time.Millisecond
	betweenToken = 77 * time.Millisecond
)
