package track

import "time"

// Priority orders requests in queues; higher priorities go first.
type Priority int

// The priorities that a profile can have.
const (
	PriorityBatch       Priority = 0
	PriorityNormal      Priority = 1
	PriorityInteractive Priority = 2
)

// Config is the whole configuration at one version. Its slices are sorted by
// name, so that equal configurations are encoded to equal bytes.
type Config struct {
	// Version is the number of accepted changes that led to this configuration.
	Version  uint64
	Profiles []Profile
	Models   []Model
	Services []Service
	Accounts []ClientAccount
}

// Profile holds the settings for the requests to models and plain services that name
// it.
type Profile struct {
	Name string
	// Timeout bounds the time of a request that brings no timeout of its own.
	Timeout  time.Duration
	Priority Priority
	// NonIdempotent lists the calls that must not be retried.
	NonIdempotent []CallPattern
	Retry         RetryPolicy
	Hedge         HedgePolicy
	Experts       ExpertPolicy
}

// CallPattern matches calls to a plain service by method and path. Path is a
// pattern as path.Match takes it.
type CallPattern struct {
	Method string
	Path   string
}

// RetryPolicy bounds the retries of idempotent requests.
type RetryPolicy struct {
	// Share is the allowed ratio of retries to first attempts, 0 to 1.
	Share float64
	// FloorPerSecond is the rate of retries that is allowed whatever the share.
	FloorPerSecond float64
	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts int
	// Backoff is the mean delay before the second attempt. It doubles with each
	// further attempt.
	Backoff time.Duration
}

// HedgePolicy says when a second attempt is started in parallel with a slow first one.
type HedgePolicy struct {
	// After is the time without a first byte after which the second attempt starts;
	// 0 turns hedging off.
	After time.Duration
}

// ExpertPolicy holds the costs that expert placement minimizes.
type ExpertPolicy struct {
	// SkewWeight is the cost of one unit of step-time skew.
	SkewWeight float64
	// MoveWeight is the cost of moving the weights of one expert.
	MoveWeight float64
}

// Model is a model that is served by rank groups.
type Model struct {
	Name     string
	Profile  string
	Replicas ReplicaSettings
}

// Service is a plain service, that is, one that is no model engine.
type Service struct {
	Name     string
	Profile  string
	Replicas ReplicaSettings
}

// ReplicaSettings holds the limits of each replica of a model or plain service.
type ReplicaSettings struct {
	// MaxRunning bounds the attempts that a replica runs at once; 0 leaves the
	// bound to the backend server.
	MaxRunning int
	// MaxQueued bounds the attempts that wait inside a replica; 0 sets no bound.
	MaxQueued int
}

// ClientAccount is a customer whose requests share rate limits.
type ClientAccount struct {
	Name string
	// TokenSHA256 is the hexadecimal SHA-256 of the bearer token.
	TokenSHA256 string
	// Weight is the account's share of the capacity relative to other accounts.
	Weight float64
	// RequestsPerSecond limits the requests of the account over all entries; 0 sets no
	// limit.
	RequestsPerSecond float64
	// TokensPerSecond limits the generated tokens of the account over all
	// entries; 0 sets no limit.
	TokensPerSecond float64
}
