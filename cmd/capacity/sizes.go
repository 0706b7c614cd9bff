package main

// The size of the planned deployment that the design must support, and that of the larger
// deployment of today.
const (
	plannedEntries = 350
	plannedAgents  = 1_500
	plannedZones   = 26
	// plannedRequests is the peak rate in requests per second.
	plannedRequests = 17_000
	plannedAccounts = 21_000

	todayEntries  = 9
	todayAgents   = 15
	todayZones    = 3
	todayAccounts = 10
	// todayRequests is an assumed rate in requests per second.
	todayRequests = 50
)

// The mean size and duration of a request: 5.9 million tokens per second for 17,000 requests
// per second, at the slowest token rate allowed. The stream counts are open streams per entry.
const (
	requestTokens  = 5_900_000.0 / plannedRequests
	tokenSeconds   = 0.077
	requestSeconds = requestTokens * tokenSeconds
	plannedStreams = plannedRequests * requestSeconds / plannedEntries
	todayStreams   = todayRequests * requestSeconds / todayEntries
)

// The number of agents and of entries in a zone, rounded up.
const (
	plannedZoneAgents  = (plannedAgents + plannedZones - 1) / plannedZones
	plannedZoneEntries = (plannedEntries + plannedZones - 1) / plannedZones
	todayZoneAgents    = (todayAgents + todayZones - 1) / todayZones
	todayZoneEntries   = (todayEntries + todayZones - 1) / todayZones
)

// The number of connections of an entry to other instances: the agents and the other entries of
// its zone, and one entry in each other zone.
const (
	plannedConns = plannedZoneAgents + plannedZoneEntries + plannedZones - 2
	todayConns   = todayZoneAgents + todayZoneEntries + todayZones - 2
)

// The heartbeats and digests of an entry per second: the heartbeats of its agents, at the
// interval that keeps their load affordable, one to and one from each other entry of the zone,
// and the digests that it and other zones request from each other.
const (
	plannedCalls = 27 + 2*(plannedZoneEntries-1) + 8
	todayCalls   = todayZoneAgents + 2*(todayZoneEntries-1) + 2
)

// Requests that must not be executed twice, and therefore need a claim. Their share of all
// requests is assumed, and so is the planned number of agents that serve plain services.
const (
	assumedClaimShare    = 0.01
	plannedServiceAgents = 300
	todayServiceAgents   = 3

	plannedClaims = assumedClaimShare * plannedRequests
	todayClaims   = assumedClaimShare * todayRequests
	plannedKeyed  = plannedClaims / plannedServiceAgents
	todayKeyed    = todayClaims / todayServiceAgents
)

// The attempts that an agent runs per second.
const (
	plannedAttempts = float64(plannedRequests) / plannedAgents
	todayAttempts   = float64(todayRequests) / todayAgents
)
