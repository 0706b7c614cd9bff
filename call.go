package track

import (
	"net/http"
	"time"
)

// RequestID names one request of a caller.
type RequestID string

// AttemptID names one attempt at running a request.
type AttemptID struct {
	Request RequestID
	// Number is 1 for the first attempt.
	Number uint32
}

// CallKind tells generations from calls to plain services.
type CallKind int

// The kinds of call.
const (
	Generation CallKind = iota
	Plain
)

// Call is a checked request of a caller on its way through an entry.
type Call struct {
	ID      RequestID
	Kind    CallKind
	Account ClientAccount
	Profile Profile
	// Target is the name of the model or service.
	Target string
	Method string
	// Path is the path below the service, or the engine's path for a generation.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Stream is set if the caller asked for server-sent events.
	Stream bool
	// IncludeUsage is set if the caller asked for token counts in the stream.
	IncludeUsage bool
	// NonIdempotent is set if the call must not be repeated.
	NonIdempotent bool
	// IdempotencyKey is the caller's name for the work; set if NonIdempotent.
	IdempotencyKey string
	// PromptTokens estimates the length of the prompt.
	PromptTokens int
	// MaxTokens bounds the tokens to generate; 0 if the caller set no bound.
	MaxTokens int
	// Prefixes are chained hashes of the prompt's blocks, shortest prefix first.
	Prefixes []uint64
	// Fingerprint identifies the content of the request apart from its ID.
	Fingerprint uint64
	Arrived     time.Time
	Deadline    time.Time
}
