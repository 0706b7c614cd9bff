package router

import "time"

// The reasons for a choice, under the names that logs have.
const (
	// ReasonCachedPrefix is a replica that has the longest known prompt prefix cached.
	ReasonCachedPrefix = "CachedPrefix"
	// ReasonPrefixHome is a replica to which the hash ring maps the prompt prefix.
	ReasonPrefixHome = "PrefixHome"
	// ReasonTwoChoices is the best replica of a few groups drawn at random.
	ReasonTwoChoices = "TwoChoices"
	// ReasonLeastLoaded is the least loaded of all replicas of a zone.
	ReasonLeastLoaded = "LeastLoaded"
	// ReasonBeyondWindow is a replica that exceeds its window because all replicas
	// are full.
	ReasonBeyondWindow = "BeyondWindow"
	// ReasonSpillToZone is a replica of another zone than the entry's.
	ReasonSpillToZone = "SpillToZone"
	// ReasonIsolated is a replica reserved for an isolated attempt.
	ReasonIsolated = "Isolated"
	// ReasonIsolatedCrowded is a replica that an isolated attempt shares with
	// another one, as every replica is reserved already.
	ReasonIsolatedCrowded = "IsolatedCrowded"
)

const (
	// reportHalfLife is the age at which the weight of a load report, against the
	// mean of the zone, has fallen by half.
	reportHalfLife = 2 * time.Second
	// maxReportWeight is the weight of a load report on arrival, against the mean of
	// the zone. It is below 1 because the report is already late by then, by a time
	// that the entry doesn't know.
	maxReportWeight = 0.5
	// affinitySlack is the share by which the load of a replica that is chosen for
	// its cached prefix may exceed the mean load in an idle zone.
	affinitySlack = 0.5
	// homeBlocks is the number of prompt blocks whose hash determines the prompt's
	// home replica.
	homeBlocks = 4
	// maxLookups and maxRecorded bound the prefixes of one request that are looked
	// up and recorded, the longest first.
	maxLookups  = 32
	maxRecorded = 16
	// maxPrefixes is the size of the prefix table.
	maxPrefixes = 65536
	// ringPoints is the number of points of each replica on the hash ring.
	ringPoints = 8

	// spillUtilization is the utilization of the local zone from which on other
	// zones are considered.
	spillUtilization = 0.7

	// slowStart is the time over which the load of a new replica rises to the full
	// share, and minSlowStart is the share that it starts with.
	slowStart    = 30 * time.Second
	minSlowStart = 0.1

	// maxFailures is the number of failures in a row after which a replica is
	// ejected.
	maxFailures = 5
	// failureWeight is the weight of one attempt in the moving share of failures. A
	// replica is ejected when the share exceeds maxFailureShare after at least
	// minAttempts attempts.
	failureWeight   = 0.1
	maxFailureShare = 0.5
	minAttempts     = 10
	// minEjection is the duration of a replica's first ejection. It doubles with
	// each further ejection, up to maxEjection.
	minEjection = 5 * time.Second
	maxEjection = time.Minute
	// maxEjectedShare bounds the share of a pool's replicas that may be ejected.
	maxEjectedShare = 0.5

	// averageWeight is the weight of one attempt in the moving averages of the time
	// to the first byte and of the tokens.
	averageWeight = 0.1
	// latencyTolerance is the ratio of a replica's time to the first byte to its
	// pool's above which the replica is penalized. maxLatencyPenalty bounds the
	// penalty.
	latencyTolerance  = 1.5
	maxLatencyPenalty = 4.0

	// groupLoadWeight is the weight of the greatest load in a rank group, added to
	// the replica's own.
	groupLoadWeight = 0.5
	// overflowShare is the share of its window by which a replica may exceed it when
	// all replicas are full.
	overflowShare = 0.25
	// shortQueueShare is the ratio of queued attempts to capacity up to which high
	// latency doesn't shrink a window.
	shortQueueShare = 1

	// maxSlotsAge is how long the sum of the windows of a zone is reused before it
	// is computed again.
	maxSlotsAge = 100 * time.Millisecond
)
