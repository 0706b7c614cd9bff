package track

import "time"

// RetryRule says whether a request of a client may be sent to a replica again.
type RetryRule string

// The repeat rules of routes.
const (
	// RetryAlways allows retries; it is for idempotent requests.
	RetryAlways RetryRule = "Idempotent"
	// RetryOnlyIfNotRun allows no retry of a request that may have run; such requests run at
	// most once.
	RetryOnlyIfNotRun RetryRule = "AtMostOnce"
	// RetryFromLastEvent allows another replica to continue an event stream after the
	// last event that the client has received.
	RetryFromLastEvent RetryRule = "Resumable"
)

// Route maps the requests to a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	RetryRule  RetryRule
	// Stream is set if responses are event streams.
	Stream bool
	// Timeout bounds the time for which a client waits.
	Timeout time.Duration
	// Objective is the target for the time to the whole response or, for a stream, to
	// its first event. A response within it has its full value to the client.
	Objective time.Duration
	// MaxGap is the longest pause between two events with which a stream counts as on
	// time; 0 if the route sets no such target.
	MaxGap time.Duration
	// Patience is the time without an event after which clients abandon a stream; 0
	// for routes without streams.
	Patience time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	Targets  []RouteTarget
	// MaxAttempts bounds the replicas to which one request may be sent.
	MaxAttempts int
	// Anonymous is set if clients need no key.
	Anonymous bool
	// HomeRegions lists the regions in which the route's requests may run; empty for all regions.
	HomeRegions []string
}

// RouteTarget is a service that receives a share of a route's requests.
type RouteTarget struct {
	Service string
	// Weight is the target's share relative to the other targets of the route.
	Weight int
}

// RouteConfig is the whole configuration for routing at one version.
type RouteConfig struct {
	Version  uint64
	Routes   []Route
	Services []RouteService
	Limits   RequestLimits
	// Accounts is empty if no request needs a key.
	Accounts []RouteAccount
}

// RouteService is a service that routes can have as a target.
type RouteService struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections that a replica accepts from all callers
	// together.
	MaxConnections int
	// Engine is set for a service whose replicas are model engines.
	Engine *EngineSpec
	// Cold describes how replicas run after their start.
	Cold ColdSpec
}

// ColdSpec describes the replicas of a service while they are cold.
type ColdSpec struct {
	// StartTime is the time for which a replica is cold after a start during traffic.
	StartTime time.Duration
	// PerSecond is the number of requests a second that a cold replica can handle; 0 if replicas are never cold.
	PerSecond float64
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that a replica runs in one batch.
	Slots int
	// MemoryTokens is the number of tokens that fit into the memory of a replica.
	MemoryTokens int
	// TokensPerPass is the number of token steps in a pass of the engine, and so the number of
	// tokens in an event of a stream.
	TokensPerPass int
	// StepTime is the duration of a token step with one request. Each request that
	// generates tokens adds StepPerRequest, and each 1,000 tokens of its context add
	// StepPerContext.
	StepTime       time.Duration
	StepPerRequest time.Duration
	StepPerContext time.Duration
	// PromptTokensPerSecond is the rate at which the engine processes prompts.
	PromptTokensPerSecond float64
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and answers in tokens.
	MeanPromptTokens int
	MeanAnswerTokens int
	Experts          ExpertSpec
	// GroupRecoveryTime is the time that a rank group needs until it accepts requests after a
	// rank has come back.
	GroupRecoveryTime time.Duration
}

// ExpertSpec describes how the experts of a model are distributed over a rank group.
type ExpertSpec struct {
	// Layers is the number of sets of layers whose experts are placed separately.
	Layers int
	// Experts is the number of experts in each set of layers; 0 if the model has none.
	Experts int
	// SlotsPerRank is the number of experts that a rank holds in each set of layers.
	SlotsPerRank int
	// StagedPerLayer is the number of experts that a rank can stage in each set of
	// layers.
	StagedPerLayer int
	// ExpertBytes is the size of the weights of one expert.
	ExpertBytes int64
	// LinkBytesPerSecond is the rate at which a rank copies experts.
	LinkBytesPerSecond float64
	// ExpertTimeShare is the share of the time of a pass that is spent in experts, 0 to 1.
	ExpertTimeShare float64
	// ReportLag is the age of the states that a rank reports to other machines than its own; 0 if
	// unknown.
	ReportLag time.Duration
}

// RequestLimits holds the bounds on requests and connections of clients.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is the time after which an idle connection may be closed.
	IdleTimeout time.Duration
}

// RouteAccount is a client account with its API keys.
type RouteAccount struct {
	Name string
	Keys []string
	// Priority, if set, replaces the priority of the route.
	Priority *int
	// HomeRegions lists the regions in which the account's requests may run; empty for all regions.
	HomeRegions []string
}

// ReplicaID identifies one start of a replica of a service. Replica.StartID tells apart
// restarts that the platform lists under the same ID.
type ReplicaID string

// Replica is a replica of a service as the platform's list of servers describes it.
type Replica struct {
	ID      ReplicaID
	Service string
	// Address is the host and port at which the replica accepts requests.
	Address string
	Zone    AvailabilityZone
	// Slots is the number of requests that the replica runs at once.
	Slots    int
	Draining bool
	// WarmupTime is the time for which the replica stays slow after its start.
	WarmupTime time.Duration
	// StartID differs between restarts of a replica under the same ID.
	StartID int64
	// StartedAt is when the replica started, by its own clock; zero if it doesn't say.
	StartedAt time.Time
	// Heartbeat is the number of the replica's report in the list of replicas. It increases
	// with each report until the replica restarts.
	Heartbeat uint64
}
