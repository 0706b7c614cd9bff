// Package conf reads the settings file of a process: TOML with the field names
// below as keys, decoded strictly and checked as a whole.
package conf

import (
	"time"

	"filberttrack.example/track"
)

// Settings is a whole settings file. A process uses the sections that it needs.
type Settings struct {
	Region   track.Region
	Platform Platform
	Entry    Entry
	Agent    Agent
	TLS      TLS
	Logging  Logging
	// Operators says who may change something through the operators' listener.
	Operators Operators
	// Zone lists the availability zones of stand-ins, with their replicas.
	Zone    []Zone
	Standin Standin
	Profile []track.Profile
	Model   []track.Model
	Service []track.Service
	Account []track.ClientAccount
}

// Platform names the platform's services.
type Platform struct {
	// LogURL is the base URL of the append-only log service.
	LogURL string
	// ListURL is the base URL of the instance list.
	ListURL string
	// Retention is the time for which the log keeps records.
	Retention time.Duration
}

// Entry is the section of an entry.
type Entry struct {
	ID   track.InstanceID
	Zone track.AvailabilityZone
	// Listen is the address for callers.
	Listen string
	// Admin is the address for operators.
	Admin string
	// Peer is the address for own processes.
	Peer string
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxAnswerBytes bounds an answer that is kept until it is whole.
	MaxAnswerBytes int
	// MaxTimeout bounds the deadline that a caller may ask for.
	MaxTimeout time.Duration
	// BalancerDelay is the time for which a stopping entry goes on taking
	// connections, so that the platform's balancer can notice.
	BalancerDelay time.Duration
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// Claims says how calls that must not be repeated are treated.
	Claims Claims
}

// Claims is the part of an entry's section about idempotency keys.
type Claims struct {
	// KeyRetention is how long a key is remembered. The log has to keep the
	// stream of claims for longer.
	KeyRetention time.Duration
	// TimedKeysOnly refuses keys that are no UUIDv7.
	TimedKeysOnly bool
}

// Agent is the section of an agent.
type Agent struct {
	ID   track.InstanceID
	Zone track.AvailabilityZone
	// Listen is the address for own processes.
	Listen string
	// Admin is the address for operators.
	Admin string
	// BackendURL is the base URL of the backend server.
	BackendURL string
	// Serves names the model or service of the backend server.
	Serves string
	// Group names the rank group that the backend server belongs to.
	Group string
	// Ranks is the number of ranks behind the agent, GroupRanks that of the whole
	// group; 0 if all its ranks are behind the agent.
	Ranks      int
	GroupRanks int
	// Experts describes the experts of the ranks.
	Experts Experts
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
}

// TLS names the files for mutual TLS between own processes. All are set, or none.
type TLS struct {
	// Certificate holds the certificate of this process in PEM form.
	Certificate string
	// Key holds its private key.
	Key string
	// Authority holds the certificates that sign those of other processes.
	Authority string
}

// Experts describes the experts of a rank group and the fetching of their
// weights.
type Experts struct {
	Layers int
	// PerLayer is the number of experts of a layer.
	PerLayer int
	// Slots is the number of expert copies that a rank holds in each layer.
	Slots int
	// Bytes is the size of the weights of one expert in one layer.
	Bytes int64
	// FetchBytesPerSecond is the weight store's rate for each rank.
	FetchBytesPerSecond int64
	// StagedCopies is the number of copies that a rank has room to stage.
	StagedCopies int
}

// Operators holds the admin token's file or its hash, never the token. With
// neither, nothing can be changed through the operators' listener.
type Operators struct {
	// TokenFile names a file with the admin token.
	TokenFile string
	// TokenSHA256 is the hexadecimal SHA-256 of the admin token.
	TokenSHA256 string
}

// Logging says how a process logs.
type Logging struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is json or console.
	Format string
	// Decisions turns on a line for each routing or placement decision.
	Decisions bool
	// Profiling turns on /debug/pprof on the operators' listener.
	Profiling bool
}

// Zone is an availability zone of stand-ins.
type Zone struct {
	Name     track.AvailabilityZone
	Replicas []Replicas
}

// Replicas is a number of equal stand-in replicas.
type Replicas struct {
	Target string
	Count  int
	// Ranks is the number of ranks of each replica's group; 0 for a service.
	Ranks int
	// Capacity is the number of requests that a replica runs at once.
	Capacity int
	// StepTime is the time for one token of each running request.
	StepTime time.Duration
	// CacheBlocks is the size of the prefix cache, in blocks.
	CacheBlocks int
}

// Standin is the section of the stand-in process.
type Standin struct {
	// Listen is the address of the platform's stand-ins.
	Listen string
	// Retention is the time for which the log keeps records.
	Retention time.Duration
	// Servers lists stand-in backend servers with fixed addresses.
	Servers []StandinServer
}

// StandinServer is a stand-in backend server with a fixed address.
type StandinServer struct {
	Listen   string
	Target   string
	Capacity int
	StepTime time.Duration
	// CacheBlocks is the size of the prefix cache, in blocks.
	CacheBlocks int
	// Agent is the agent beside the server, for the instance list; its address
	// is AgentAddress.
	Agent        track.InstanceID
	AgentAddress string
	Zone         track.AvailabilityZone
}
