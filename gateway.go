package track

import "time"

// RepeatRule says how often one request of a client may run.
type RepeatRule string

// The repeat rules of routes.
const (
	// RepeatFreely marks idempotent requests.
	RepeatFreely RepeatRule = "Idempotent"
	// RepeatNever marks requests that run at most once.
	RepeatNever RepeatRule = "AtMostOnce"
	// RepeatFromEvent marks event streams that another replica can continue after
	// the last event that the client has.
	RepeatFromEvent RepeatRule = "Resumable"
)

// Route maps the requests of a host below a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Repeat     RepeatRule
	// Stream is set if answers are event streams.
	Stream bool
	// Timeout bounds the time that a client is kept waiting.
	Timeout time.Duration
	// Objective is the time to the whole answer or, for a stream, to its first
	// event, within which an answer earns its full value.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream on time; 0 if the
	// route names none.
	MaxGap time.Duration
	// Patience is the time without an event after which clients leave a stream; 0 for
	// other routes.
	Patience time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Targets  []RouteTarget
	// MaxAttempts bounds the replicas to which one request may be sent.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
}

// RouteTarget is a service that takes a share of a route's requests.
type RouteTarget struct {
	Service string
	// Weight is the share relative to the other targets of the route.
	Weight int
}

// RouteConfig is the whole configuration of routes at one version.
type RouteConfig struct {
	Version  uint64
	Routes   []Route
	Services []RouteService
	Limits   RequestLimits
	// Accounts is empty if requests need no key.
	Accounts []RouteAccount
}

// RouteService is a service that routes lead to.
type RouteService struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections that a replica takes from all callers.
	MaxConnections int
	// Engine is set for a service whose replicas are model engines.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that a replica runs in one batch.
	Slots int
	// MemoryTokens is the number of tokens that fit into a replica's memory.
	MemoryTokens int
	// Stride is the number of token steps in a pass, and so of tokens in an event.
	Stride int
	// StepTime is the duration of a token step of one request; each request that
	// is writing adds StepPerRequest, each 1,000 tokens of its context
	// StepPerContext.
	StepTime       time.Duration
	StepPerRequest time.Duration
	StepPerContext time.Duration
	// PromptTokensPerSecond is the rate at which prompts are read.
	PromptTokensPerSecond float64
	// UsualPrompt and UsualAnswer are the mean numbers of tokens of a request.
	UsualPrompt int
	UsualAnswer int
	Experts     ExpertSpec
	// FormTime is the time that a group needs to open after a rank came back.
	FormTime time.Duration
}

// ExpertSpec describes how a rank group spreads its experts.
type ExpertSpec struct {
	// Layers is the number of sets of layers that are placed separately.
	Layers int
	// Experts is the number of experts in each of them; 0 without experts.
	Experts int
	// SlotsPerRank is the number of experts that a rank holds in each layer.
	SlotsPerRank int
	// StagedPerLayer is the number of experts that a rank can stage in each layer.
	StagedPerLayer int
	// ExpertBytes is the size of one expert.
	ExpertBytes int64
	// LinkBytesPerSecond is the rate at which a rank copies experts.
	LinkBytesPerSecond float64
	// WorkShare is the part of a pass that is expert work, 0 to 1.
	WorkShare float64
}

// RequestLimits bounds what a client may send.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is the time after which an idle connection may be closed.
	IdleTimeout time.Duration
}

// RouteAccount is a client account with the keys that name it.
type RouteAccount struct {
	Name string
	Keys []string
	// Priority replaces the priority of routes if it is set.
	Priority *int
}

// ReplicaID names one start of a replica of a service.
type ReplicaID string

// Replica is a replica as the platform's list of servers gives it.
type Replica struct {
	ID      ReplicaID
	Service string
	// Address is the host and port that takes requests.
	Address string
	Zone    AvailabilityZone
	// Slots is the number of requests that run at once.
	Slots    int
	Draining bool
	// ColdFor is the time for which the replica remains slow after its start.
	ColdFor time.Duration
	// Born tells restarts under the same ID apart.
	Born int64
}
