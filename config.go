package track

import "time"

// Priority orders work in queues; higher goes first.
type Priority int

// The priorities that a profile may name.
const (
	PriorityBatch       Priority = 0
	PriorityNormal      Priority = 1
	PriorityInteractive Priority = 2
)

// Config is the whole configuration at one version. Slices are sorted by name,
// so that equal configurations encode to equal bytes.
type Config struct {
	// Version is the number of accepted changes that led to this configuration.
	Version  uint64
	Profiles []Profile
	Models   []Model
	Services []Service
	Accounts []ClientAccount
}

// Profile says how the requests of a service are treated.
type Profile struct {
	Name string
	// Timeout is the deadline of a request that names none.
	Timeout  time.Duration
	Priority Priority
	// NonIdempotent lists the calls that must not be repeated.
	NonIdempotent []CallPattern
	Retry         RetryPolicy
	Hedge         HedgePolicy
	Experts       ExpertPolicy
}

// CallPattern matches calls to a plain service by method and path. The path is
// a pattern of path.Match.
type CallPattern struct {
	Method string
	Path   string
}

// RetryPolicy bounds the retries of idempotent requests.
type RetryPolicy struct {
	// Share is the ratio of retries to first attempts that is allowed, 0 to 1.
	Share float64
	// FloorPerSecond is the rate of retries that is always allowed.
	FloorPerSecond float64
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// Backoff is the mean delay before the second attempt; it doubles after that.
	Backoff time.Duration
}

// HedgePolicy says when a second attempt is sent beside a slow first one.
type HedgePolicy struct {
	// After is the time without a first byte; 0 turns hedging off.
	After time.Duration
}

// ExpertPolicy weighs the aims of expert placement.
type ExpertPolicy struct {
	// SkewWeight is the cost of one unit of step-time skew.
	SkewWeight float64
	// MoveWeight is the cost of moving one expert's weights.
	MoveWeight float64
}

// Model is a model served by rank groups.
type Model struct {
	Name     string
	Profile  string
	Replicas ReplicaSettings
}

// Service is a plain service beside the model engines.
type Service struct {
	Name     string
	Profile  string
	Replicas ReplicaSettings
}

// ReplicaSettings applies to each replica of a model or service.
type ReplicaSettings struct {
	// MaxRunning bounds the attempts that a replica runs at once; 0 leaves it to
	// the backend server.
	MaxRunning int
	// MaxQueued bounds the attempts that wait inside a replica; 0 sets no bound.
	MaxQueued int
}

// ClientAccount is a customer whose requests share limits.
type ClientAccount struct {
	Name string
	// TokenSHA256 is the hexadecimal SHA-256 of the bearer token.
	TokenSHA256 string
	// Weight is the account's share relative to others.
	Weight float64
	// RequestsPerSecond limits the account over all entries; 0 sets no limit.
	RequestsPerSecond float64
	// TokensPerSecond limits the generated tokens of the account over all
	// entries; 0 sets no limit.
	TokensPerSecond float64
}
