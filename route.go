package track

import "time"

// BackendServer is a replica of a model or service, as the router sees it.
type BackendServer struct {
	// Agent is the agent beside the backend server.
	Agent       InstanceID
	Incarnation Incarnation
	Zone        AvailabilityZone
	Target      string
	Address     string
	// Group names the rank group that the replica belongs to, if any. The
	// replicas of a group advance in lock-step.
	Group string
	// Joined is the time at which the replica was first seen live.
	Joined time.Time
	Load   Load
	// Suspect is set while the agent has not been heard for some intervals.
	Suspect bool
	// Reported is the time at which Load arrived here; zero if none did.
	Reported time.Time
}

// Query is what the router is told about an attempt.
type Query struct {
	Request RequestID
	Target  string
	// Tokens estimates the tokens that the attempt will hold.
	Tokens   int
	Prefixes []uint64
	// Excluded lists the agents that already failed this request.
	Excluded []InstanceID
	// Isolated is set if the attempt must not share a replica with another
	// isolated one, and should share it with none at all.
	Isolated bool
}

// Choice is a routing decision.
type Choice struct {
	Server BackendServer
	// Reason names the rule that decided.
	Reason string
	// Candidates is the number of replicas weighed.
	Candidates int
	// Isolated is set if no other isolated attempt shares the replica.
	Isolated bool
	// Tokens is the estimate charged to the replica until Done.
	Tokens int
}

// Result tells the router how an attempt went.
type Result struct {
	Outcome Outcome
	// Failed is set if the replica, not the request, was at fault.
	Failed bool
	// Down is set if the backend server is known to be dead.
	Down bool
	// Overloaded is set if the replica declined or missed the deadline for load.
	Overloaded bool
	// FirstByte is the time to the first byte; 0 if there was none.
	FirstByte time.Duration
	Duration  time.Duration
}

// Router chooses a backend server for each attempt.
type Router interface {
	// Pick chooses a replica and charges the attempt to it.
	Pick(q Query) (Choice, error)
	// Done releases what Pick charged and learns from the result.
	Done(c Choice, r Result)
	// Update replaces the set of replicas.
	Update(servers []BackendServer)
}

// Reachability tells which availability zones are cut off from this one.
type Reachability interface {
	// CutOff reports whether the zone is known to be out of reach.
	CutOff(zone AvailabilityZone) bool
}
