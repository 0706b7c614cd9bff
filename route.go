package track

import "time"

// BackendServer is a replica of a model or plain service, as the router sees it.
type BackendServer struct {
	// Agent is the ID of the backend server's agent.
	Agent       InstanceID
	Incarnation Incarnation
	Zone        AvailabilityZone
	Target      string
	Address     string
	// Group is the name of the rank group to which the replica belongs; empty if it
	// belongs to none. The replicas of a group run their steps together.
	Group string
	// Joined is the time at which the replica was first seen alive.
	Joined time.Time
	Load   Load
	// Suspect is set while no heartbeat of the agent has arrived for some intervals.
	Suspect bool
	// Reported is the time at which Load arrived; zero if no load has arrived.
	Reported time.Time
}

// RoutingQuery describes an attempt for which the router is to choose a replica.
type RoutingQuery struct {
	Request RequestID
	Target  string
	// Tokens is the estimated number of tokens that the attempt will hold.
	Tokens   int
	Prefixes []uint64
	// Excluded lists the agents on which this request has already failed.
	Excluded []InstanceID
	// Isolated is set if the attempt must not share a replica with another isolated
	// attempt, and preferably not with any attempt.
	Isolated bool
}

// RoutingDecision is a decision of the router.
type RoutingDecision struct {
	Server BackendServer
	// Reason is the name of the rule that led to the decision.
	Reason string
	// Candidates is the number of replicas that were considered.
	Candidates int
	// Isolated is set if no other isolated attempt shares the replica.
	Isolated bool
	// Tokens is the estimated number of tokens that count as load of the replica until
	// Done.
	Tokens int
}

// AttemptResult is the result of an attempt, from which the router learns.
type AttemptResult struct {
	Outcome Outcome
	// ReplicaAtFault is set if the attempt failed through the replica and not through the request.
	ReplicaAtFault bool
	// BackendServerDown is set if the backend server is known to have died.
	BackendServerDown bool
	// Overloaded is set if the replica refused the attempt or missed the deadline
	// because of its load.
	Overloaded bool
	// FirstByte is the time to the first byte; 0 if there was none.
	FirstByte time.Duration
	Duration  time.Duration
}

// Router chooses a backend server for each attempt.
type Router interface {
	// Pick chooses a replica and adds the attempt to its load.
	Pick(q RoutingQuery) (RoutingDecision, error)
	// Done removes from the replica the load that Pick added, and learns from the result.
	Done(c RoutingDecision, r AttemptResult)
	// Update replaces the set of replicas to choose from.
	Update(servers []BackendServer)
}

// Reachability tells which availability zones can't be reached from this one.
type Reachability interface {
	// Unreachable reports whether the zone is known to be unreachable.
	Unreachable(zone AvailabilityZone) bool
}
