// Package trace compares routers on the same trace of requests, which is generated
// from a seed. It simulates the replicas by discrete events: rank groups in
// lock-step, continuous batching, prefix caches and delayed load reports.
package trace

import "time"

// Spec describes a trace and the replicas that serve it.
type Spec struct {
	Seed   uint64
	Length time.Duration
	// Entries is the number of entries. Each request goes to a random one.
	Entries int
	// Zones is the number of availability zones. Each has GroupsPerZone rank groups
	// of ReplicasPerGroup replicas.
	Zones            int
	GroupsPerZone    int
	ReplicasPerGroup int
	// Rate is the mean number of requests per second, and Surge the factor on it in
	// the middle third of the trace.
	Rate  float64
	Surge float64
	// ContinueProbability is the probability that a request continues a
	// conversation.
	ContinueProbability float64
	// MaxConversations bounds the number of conversations that requests can continue.
	MaxConversations int
	// SystemPrompts is the number of system prompts. Those with lower numbers are
	// more frequent.
	SystemPrompts int
	// StragglerFactor is the factor on the step time of the first rank group in the
	// second quarter of the trace.
	StragglerFactor float64
	// ReportInterval is the time between two load reports, and ReportLag the time
	// until a report reaches the entries.
	ReportInterval time.Duration
	ReportLag      time.Duration
}

// Default returns the spec that the measurements use.
func Default() Spec {
	return Spec{
		Seed: 1, Length: 2 * time.Minute, Entries: 9, Zones: 3, GroupsPerZone: 3, ReplicasPerGroup: 4,
		Rate: 110, Surge: 1.4, ContinueProbability: 0.6, MaxConversations: 400, SystemPrompts: 40, StragglerFactor: 1.5,
		ReportInterval: 500 * time.Millisecond, ReportLag: 500 * time.Millisecond,
	}
}

const (
	// blockTokens is the length of one hashed block of a prompt.
	blockTokens = 64
	// maxRunning is the number of requests that a replica runs at once.
	maxRunning = 24
	// maxPrefillTokens bounds the prompt tokens that a replica processes in one step.
	maxPrefillTokens = 1024
	// cacheBlocks is the size of a replica's prefix cache in blocks.
	cacheBlocks = 4000
	// reportedPrefixes is the number of prefixes in a load report.
	reportedPrefixes = 8

	// The duration of a step is stepBase plus the parts for each prompt token, each
	// sequence that generates a token, and each held token, on the slowest replica of
	// the group.
	stepBase        = 12 * time.Millisecond
	stepPromptToken = 40 * time.Microsecond
	stepSequence    = 300 * time.Microsecond
	stepHeldToken   = 400 * time.Nanosecond

	// The targets for the time to the first token and for the time between tokens.
	firstTokenTarget = 790 * time.Millisecond
	tokenGapTarget   = 77 * time.Millisecond
)
