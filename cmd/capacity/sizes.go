package main

// The size to design for, and that of today's larger deployment.
const (
	plannedEntries = 350
	plannedAgents  = 1_500
	plannedZones   = 26
	// plannedRequests is in requests a second, at the peak.
	plannedRequests = 17_000
	plannedAccounts = 21_000

	todayEntries  = 9
	todayAgents   = 15
	todayZones    = 3
	todayAccounts = 10
	// todayRequests is assumed.
	todayRequests = 50
)

// The shape of a request: 5.9 million tokens a second over 17,000 requests, at
// the slowest pace allowed.
const (
	requestTokens  = 5_900_000.0 / plannedRequests
	tokenSeconds   = 0.077
	requestSeconds = requestTokens * tokenSeconds
	plannedStreams = plannedRequests * requestSeconds / plannedEntries
	todayStreams   = todayRequests * requestSeconds / todayEntries
)

// The agents and entries of a zone, rounded up.
const (
	plannedZoneAgents  = (plannedAgents + plannedZones - 1) / plannedZones
	plannedZoneEntries = (plannedEntries + plannedZones - 1) / plannedZones
	todayZoneAgents    = (todayAgents + todayZones - 1) / todayZones
	todayZoneEntries   = (todayEntries + todayZones - 1) / todayZones
)

// The connections of an entry to own processes: the agents and entries of its
// zone and an entry of each other zone.
const (
	plannedConns = plannedZoneAgents + plannedZoneEntries + plannedZones - 2
	todayConns   = todayZoneAgents + todayZoneEntries + todayZones - 2
)

// The heartbeats and digests of an entry in a second: what its agents send at
// the interval it can afford, one to and from each entry of the zone, and the
// digests asked of other zones and by them.
const (
	plannedCalls = 27 + 2*(plannedZoneEntries-1) + 8
	todayCalls   = todayZoneAgents + 2*(todayZoneEntries-1) + 2
)

// Calls that must not repeat. Their share of all requests is assumed, and so is
// the number of agents beside plain services at the planned size.
const (
	assumedClaimShare    = 0.01
	plannedServiceAgents = 300
	todayServiceAgents   = 3

	plannedClaims = assumedClaimShare * plannedRequests
	todayClaims   = assumedClaimShare * todayRequests
	plannedKeyed  = plannedClaims / plannedServiceAgents
	todayKeyed    = todayClaims / todayServiceAgents
)

// Attempts that an agent runs in a second.
const (
	plannedAttempts = float64(plannedRequests) / plannedAgents
	todayAttempts   = float64(todayRequests) / todayAgents
)
