package router

import "time"

// Reasons for a choice, as logged.
const (
	ReasonCached   = "CachedPrefix"
	ReasonHome     = "PrefixHome"
	ReasonChoices  = "TwoChoices"
	ReasonScan     = "LeastLoaded"
	ReasonBeyond   = "BeyondWindow"
	ReasonSpill    = "SpillToZone"
	ReasonIsolated = "Isolated"
	ReasonCrowded  = "IsolatedCrowded"
)

const (
	// reportHalfLife is the age at which a reported load counts half, against the
	// mean of the zone.
	reportHalfLife = 2 * time.Second
	// maxTrust is what a reported load counts on arrival, against the mean: it is
	// late already, by a time that the entry doesn't know.
	maxTrust = 0.5
	// affinitySlack is the part of the mean load by which a replica that is taken
	// for its cached prefix may exceed it in an idle zone.
	affinitySlack = 0.5
	// homeDepth is the number of prompt blocks whose hash names a prompt's home.
	homeDepth = 4
	// maxLookups and maxRecorded bound the prefixes of one request.
	maxLookups  = 32
	maxRecorded = 16
	// maxPrefixes bounds the prefixes remembered.
	maxPrefixes = 65536
	// ringPoints is the number of points of a replica on the ring of homes.
	ringPoints = 8

	// spillAt is the use of the local zone's slots above which others are weighed.
	spillAt = 0.7

	// slowStart is the time over which a fresh replica takes up its full load, and
	// startShare the share that it begins with.
	slowStart  = 30 * time.Second
	startShare = 0.1

	// maxFailures is the number of failures in a row that eject a replica.
	maxFailures = 5
	// failureWeight is the weight of one attempt in the share of failures, and
	// maxFailureShare the share that ejects a replica after minAttempts.
	failureWeight   = 0.1
	maxFailureShare = 0.5
	minAttempts     = 10
	// minEjection doubles with each ejection up to maxEjection.
	minEjection = 5 * time.Second
	maxEjection = time.Minute
	// maxEjectedShare bounds the part of a pool that may be ejected.
	maxEjectedShare = 0.5

	// latencyWeight is the weight of one first byte in the average.
	latencyWeight = 0.1
	// usualLatency is the ratio of a replica's first byte to its pool's above which
	// it counts, and maxLatency bounds what it counts.
	usualLatency = 1.5
	maxLatency   = 4.0

	// groupShare is the weight of a group's greatest load beside the replica's own.
	groupShare = 0.5
	// overflow is the part of its window by which a replica may exceed it when all
	// are full.
	overflow = 0.25
	// roomyShare is the ratio of queued attempts to capacity up to which latency
	// cuts no window.
	roomyShare = 1

	// slotsAge is how long the sum of windows is used before it is taken anew.
	slotsAge = 100 * time.Millisecond
)
