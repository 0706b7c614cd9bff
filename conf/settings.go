// Package conf loads the settings file of a process: TOML whose keys are the field
// names of Settings. Unknown keys are errors, and all errors are reported together.
package conf

import (
	"time"

	"filberttrack.example/track"
)

// Settings is the content of a settings file. Each process uses only the sections that
// it needs.
type Settings struct {
	Region   track.Region
	Platform Platform
	Entry    Entry
	Agent    Agent
	TLS      TLS
	Logging  Logging
	// Operators says who may make changes through the admin listener.
	Operators Operators
	// Zone lists the availability zones in which stand-in replicas run, for development.
	Zone    []Zone
	Standin Standin
	Profile []track.Profile
	Model   []track.Model
	Service []track.Service
	Account []track.ClientAccount
}

// Platform configures access to the services of the hosting platform.
type Platform struct {
	// LogURL is the base URL of the append-only log service.
	LogURL string
	// ListURL is the base URL of the instance list service.
	ListURL string
	// Retention is how long the log service keeps records.
	Retention time.Duration
}

// Entry configures an entry, the load balancer process that accepts client requests.
type Entry struct {
	ID   track.InstanceID
	Zone track.AvailabilityZone
	// Listen is the listen address for client requests, HOST:PORT.
	Listen string
	// Admin is the listen address for operators, HOST:PORT.
	Admin string
	// Peer is the listen address for other entries and agents, HOST:PORT.
	Peer string
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// MaxHeaderBytes limits the size of a request header.
	MaxHeaderBytes int
	// MaxAnswerBytes limits the size of a response that is buffered until it is complete.
	MaxAnswerBytes int
	// MaxTimeout is the longest timeout that a client may request.
	MaxTimeout time.Duration
	// BalancerDelay is how long a stopping entry still accepts connections, so that
	// the platform's load balancer can detect that it is stopping.
	BalancerDelay time.Duration
	// StopTimeout limits the duration of a graceful shutdown.
	StopTimeout time.Duration
	// Claims configures how idempotency keys prevent repeated execution of calls.
	Claims IdempotencyKeys
}

// IdempotencyKeys configures the idempotency keys of calls that must not be repeated.
type IdempotencyKeys struct {
	// KeyRetention is how long a key is remembered. The log service must keep the
	// stream of claims for longer.
	KeyRetention time.Duration
	// TimedKeysOnly rejects keys that are not a UUIDv7.
	TimedKeysOnly bool
}

// Agent configures an agent, the process that runs beside a backend server.
type Agent struct {
	ID   track.InstanceID
	Zone track.AvailabilityZone
	// Listen is the listen address for entries and other agents, HOST:PORT.
	Listen string
	// Admin is the listen address for operators, HOST:PORT.
	Admin string
	// BackendURL is the base URL of the backend server.
	BackendURL string
	// Serves is the name of the model or service that the backend server serves.
	Serves string
	// Group is the name of the rank group that the backend server belongs to.
	Group string
	// Ranks is the number of ranks behind the agent. GroupRanks is the number of ranks
	// of the whole group, or 0 if all of them are behind the agent.
	Ranks      int
	GroupRanks int
	// Experts describes the experts that the ranks hold.
	Experts Experts
	// StopTimeout limits the duration of a graceful shutdown.
	StopTimeout time.Duration
}

// TLS names the PEM files for mutual TLS between entries and agents. Either all are set
// or none.
type TLS struct {
	// Certificate is the file with the certificate of this process.
	Certificate string
	// Key is the file with its private key.
	Key string
	// Authority is the file with the CA certificates that sign those of other processes.
	Authority string
}

// Experts describes the experts of a rank group and how their weights are fetched.
type Experts struct {
	// Layers is the number of layers that have experts.
	Layers int
	// PerLayer is the number of experts in each layer.
	PerLayer int
	// Slots is the number of expert copies that a rank holds in each layer.
	Slots int
	// Bytes is the size of the weights of one expert in one layer, in bytes.
	Bytes int64
	// FetchBytesPerSecond is the rate at which each rank fetches from the weight store.
	FetchBytesPerSecond int64
	// StagedCopies is the number of expert copies that a rank has memory to stage.
	StagedCopies int
}

// Operators holds the file or the hash of the admin token, never the token itself. If
// neither is set, nothing can be changed through the admin listener.
type Operators struct {
	// TokenFile is the name of a file with the admin token.
	TokenFile string
	// TokenSHA256 is the hexadecimal SHA-256 of the admin token.
	TokenSHA256 string
}

// Logging configures the logger of a process.
type Logging struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is json or console.
	Format string
	// Decisions enables a log line for each routing or placement decision.
	Decisions bool
	// Profiling enables /debug/pprof on the admin listener.
	Profiling bool
}

// Zone is an availability zone in which stand-in replicas run.
type Zone struct {
	Name     track.AvailabilityZone
	Replicas []Replicas
}

// Replicas describes a set of identical stand-in replicas.
type Replicas struct {
	// Target is the name of the model or service that the replicas serve.
	Target string
	// Count is the number of replicas.
	Count int
	// Ranks is the number of ranks in the rank group of each replica, or 0 for a service.
	Ranks int
	// Capacity is the number of requests that a replica processes concurrently.
	Capacity int
	// StepTime is the duration of a step, which generates one token for each running
	// request.
	StepTime time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int
}

// Standin configures the process that runs stand-ins for the platform services and for
// backend servers.
type Standin struct {
	// Listen is the listen address of the platform services, HOST:PORT.
	Listen string
	// Retention is how long the log service keeps records.
	Retention time.Duration
	// Servers lists the stand-in backend servers with a fixed address.
	Servers []StandinServer
}

// StandinServer is a stand-in backend server with a fixed address.
type StandinServer struct {
	// Listen is the listen address, HOST:PORT.
	Listen string
	// Target is the name of the model or service that the server serves.
	Target string
	// Capacity is the number of requests that the server processes concurrently.
	Capacity int
	// StepTime is the duration of a step, which generates one token for each running
	// request.
	StepTime time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int
	// Agent and AgentAddress are the ID and the address of the agent beside the server,
	// for the instance list.
	Agent        track.InstanceID
	AgentAddress string
	Zone         track.AvailabilityZone
}
