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

// The connections of an entry to own processes: the agents and entries of its
// zone and an entry of each other zone.
const (
	plannedConns = plannedAgents/plannedZones + plannedEntries/plannedZones + plannedZones - 1
	todayConns   = todayAgents/todayZones + todayEntries/todayZones + todayZones - 1
)
