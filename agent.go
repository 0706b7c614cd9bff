package track

import (
	"context"
	"net/http"
	"time"
)

// Dispatch is an entry's request to an agent to run one attempt.
type Dispatch struct {
	ID AttemptID
	// Agent and Incarnation identify the process that must run the attempt. Any
	// other process refuses it.
	Agent       InstanceID
	Incarnation Incarnation
	// Stamp is the latest time of the agent that the entry knew when it created
	// the attempt.
	Stamp  Stamp
	Kind   CallKind
	Target string
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Timeout is the time left until the caller's deadline when the dispatch was
	// sent. It is relative, so that the clocks of entry and agent need not agree.
	Timeout  time.Duration
	Priority Priority
	// Claim is set for a non-idempotent call only.
	Claim *Claim
	// Fingerprint is a hash of the request's content without its ID, so that equal
	// requests have equal fingerprints.
	Fingerprint uint64
	// Isolated is set for a request that is suspected of crashing backend servers.
	// An agent runs one isolated attempt at a time and refuses others as
	// RefusedFull.
	Isolated bool
}

// Claim is the record in the log that reserves an idempotency key and thereby
// allows an attempt at a non-idempotent call.
type Claim struct {
	Account        string
	Service        string
	IdempotencyKey string
	// BodySHA256 is the hexadecimal SHA-256 of method, path and body together.
	BodySHA256 string
	// Offset is the offset of the record in the log.
	Offset uint64
}

// FrameKind is the kind of content of a frame.
type FrameKind int

// The kinds of frames, in the order in which a response carries them.
const (
	// FrameHeader carries the HTTP status and the headers.
	FrameHeader FrameKind = iota
	// FrameData carries a part of the body. For a generation it is the raw JSON of
	// one or more chunks, separated by newlines.
	FrameData
	// FrameFinal ends the response and carries its outcome.
	FrameFinal
)

// Frame is one part of the response to an attempt.
type Frame struct {
	ID AttemptID
	// Seq numbers the frames of an attempt from 0.
	Seq    uint64
	Kind   FrameKind
	Status int
	Header http.Header
	Data   []byte
	// Outcome is set on a final frame only.
	Outcome Outcome
	// Refusal is set on a final frame if the agent refused the attempt.
	Refusal Refusal
	// Crashed is set on a final frame if the backend server died during the attempt.
	Crashed bool
	// Fault describes the failure for logs; empty if there was none.
	Fault string
}

// Refusal is the reason why an agent refused an attempt. A refused attempt was never
// started.
type Refusal string

// The reasons for a refusal.
const (
	RefusedLeaving           Refusal = "Leaving"
	RefusedStale             Refusal = "Stale"
	RefusedBarred            Refusal = "Barred"
	RefusedDuplicate         Refusal = "Duplicate"
	RefusedFull              Refusal = "Full"
	RefusedExpired           Refusal = "Expired"
	RefusedWrongTarget       Refusal = "WrongTarget"
	RefusedBackendServerDown Refusal = "BackendServerDown"
)

// AttemptState is the state of an attempt as its agent knows it.
type AttemptState string

// The states of an attempt. A barred attempt was cancelled before it started and never
// starts.
const (
	AttemptBarred  AttemptState = "Barred"
	AttemptStarted AttemptState = "Started"
	AttemptDone    AttemptState = "Done"
	// AttemptForgotten means that the agent no longer knows whether the attempt was
	// started.
	AttemptForgotten AttemptState = "Forgotten"
)

// FrameFunc receives the frames of an attempt in order.
type FrameFunc func(Frame) error

// Agent is the interface through which an entry calls the agent of a backend
// server.
type Agent interface {
	// Run runs one attempt and passes its frames to send. It returns nil once the
	// final frame was passed on. An error of kind Unavailable means that the
	// dispatch was never sent; after any other error the outcome is unknown.
	Run(ctx context.Context, d Dispatch, send FrameFunc) error
	// PreventStart prevents an attempt that has not started from ever starting. It returns
	// the state in which it found the attempt.
	PreventStart(ctx context.Context, ref AttemptRef) (AttemptState, error)
	// Replay waits for the attempt to end and passes the frames of its stored response
	// to send.
	Replay(ctx context.Context, ref AttemptRef, send FrameFunc) error
	// Report returns the agent's state for membership and routing.
	Report(ctx context.Context) (Report, error)
}

// Report is the state that an agent reports to the entries of its availability zone.
type Report struct {
	Instance    Instance
	Incarnation Incarnation
	// Seq increases with each report of an incarnation.
	Seq uint64
	// Leaving is set once the agent refuses new attempts.
	Leaving bool
	// Up is set while the backend server responds.
	Up   bool
	Load Load
}

// Load is the load of a backend server as its agent measures it.
type Load struct {
	// Stamp is the time of the agent at which the load was measured.
	Stamp Stamp
	// Running is the number of attempts in progress.
	Running int
	// Queued is the number of attempts waiting inside the backend server.
	Queued int
	// Capacity is the number of attempts that the backend server runs at once.
	Capacity int
	// TokensInFlight is the number of prompt and generated tokens that the attempts in
	// progress hold.
	TokensInFlight int
	// StepTime is the duration of the latest engine step on the slowest rank.
	StepTime time.Duration
	// CachedPrefixes holds the hashes of some prompt prefixes in the cache.
	CachedPrefixes []uint64
}

// AgentDialer creates clients of agents.
type AgentDialer interface {
	// Dial returns a client of the agent at the instance's address. It does not
	// wait for a connection.
	Dial(instance Instance) (Agent, error)
}
