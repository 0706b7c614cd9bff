package track

import (
	"context"
	"net/http"
	"time"
)

// Dispatch asks an agent to run one attempt.
type Dispatch struct {
	ID AttemptID
	// Agent and Incarnation name the process that is to run the attempt. Any
	// other process refuses it.
	Agent       InstanceID
	Incarnation Incarnation
	// Stamp is the agent's time as the entry knew it when it formed the attempt.
	Stamp  Stamp
	Kind   CallKind
	Target string
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Timeout is the time left until the caller's deadline when the dispatch was
	// sent. It is relative, so that clocks need not agree.
	Timeout  time.Duration
	Priority Priority
	// Claim is set for a non-idempotent call.
	Claim *Claim
	// Fingerprint identifies the content of the request apart from its ID.
	Fingerprint uint64
	// Isolated is set for a suspect of a crash. An agent runs one isolated
	// attempt at a time and refuses others as RefusedFull.
	Isolated bool
}

// Claim is the record by which an attempt at a non-idempotent call was allowed.
type Claim struct {
	Account        string
	Service        string
	IdempotencyKey string
	// BodySHA256 is the hexadecimal SHA-256 of method, path and body.
	BodySHA256 string
	// Offset is the claim's place in the log.
	Offset uint64
}

// FrameKind says what a frame carries.
type FrameKind int

// The kinds of frame, in the order in which an answer carries them.
const (
	// FrameHeader carries status and header.
	FrameHeader FrameKind = iota
	// FrameData carries a piece of the body; for a generation, the raw JSON of
	// one or more chunks, separated by newlines.
	FrameData
	// FrameFinal ends the answer and carries its outcome.
	FrameFinal
)

// Frame is one piece of the answer to an attempt.
type Frame struct {
	ID AttemptID
	// Seq numbers the frames of an attempt from 0.
	Seq    uint64
	Kind   FrameKind
	Status int
	Header http.Header
	Data   []byte
	// Outcome is set on a final frame.
	Outcome Outcome
	// Refusal is set on a final frame if the agent declined the attempt.
	Refusal Refusal
	// Crashed is set on a final frame if the backend server died meanwhile.
	Crashed bool
	// Fault describes what went wrong, for logs.
	Fault string
}

// Refusal says why an agent declined an attempt that it never started.
type Refusal string

// The reasons for a refusal.
const (
	RefusedLeaving     Refusal = "Leaving"
	RefusedStale       Refusal = "Stale"
	RefusedBarred      Refusal = "Barred"
	RefusedDuplicate   Refusal = "Duplicate"
	RefusedFull        Refusal = "Full"
	RefusedExpired     Refusal = "Expired"
	RefusedWrongTarget Refusal = "WrongTarget"
	RefusedDown        Refusal = "BackendServerDown"
)

// AttemptState is what an agent knows of an attempt.
type AttemptState string

// The states of an attempt. A barred attempt never starts.
const (
	AttemptBarred  AttemptState = "Barred"
	AttemptStarted AttemptState = "Started"
	AttemptDone    AttemptState = "Done"
	// AttemptForgotten means that the agent can't tell whether it was started.
	AttemptForgotten AttemptState = "Forgotten"
)

// FrameFunc receives the frames of an attempt in order.
type FrameFunc func(Frame) error

// Agent is the port through which an entry reaches the agent beside a backend
// server.
type Agent interface {
	// Run runs one attempt and hands its frames to send. It returns nil once the
	// final frame was handed over. An error of kind Unavailable means that the
	// dispatch never left; any other error leaves the outcome open.
	Run(ctx context.Context, d Dispatch, send FrameFunc) error
	// Bar makes sure that an attempt which has not started never will, and
	// returns the state it found.
	Bar(ctx context.Context, ref AttemptRef) (AttemptState, error)
	// Replay waits for the attempt and hands over its stored answer.
	Replay(ctx context.Context, ref AttemptRef, send FrameFunc) error
	// Report returns the agent's state, for membership and routing.
	Report(ctx context.Context) (Report, error)
}

// Report is what an agent tells the entries of its zone.
type Report struct {
	Instance    Instance
	Incarnation Incarnation
	// Seq rises with each report of an incarnation.
	Seq uint64
	// Leaving is set as soon as the agent refuses new work.
	Leaving bool
	// Up is set while the backend server answers.
	Up   bool
	Load Load
}

// Load is the load of a backend server as its agent measures it.
type Load struct {
	// Stamp is the agent's time at which the load was measured.
	Stamp Stamp
	// Running is the number of attempts in progress.
	Running int
	// Queued is the number of attempts waiting inside the backend server.
	Queued int
	// Capacity is the number of attempts that the backend server runs at once.
	Capacity int
	// TokensInFlight is the sum of prompt and generated tokens held.
	TokensInFlight int
	// StepTime is the duration of the latest step of the slowest rank.
	StepTime time.Duration
	// CachedPrefixes is a sample of prompt prefixes in the cache.
	CachedPrefixes []uint64
}

// AgentDialer opens the port to an agent.
type AgentDialer interface {
	// Dial returns the port to the agent at the instance's address. It does not
	// wait for a connection.
	Dial(instance Instance) (Agent, error)
}
