package track

import (
	"net/http"
	"time"
)

// RequestID identifies one request of a client.
type RequestID string

// AttemptID identifies one attempt to run a request.
type AttemptID struct {
	Request RequestID
	// Number counts the attempts of the request, from 1.
	Number uint32
}

// CallKind distinguishes text generation by a model from calls to plain services.
type CallKind int

// The kinds of calls.
const (
	GenerationCall CallKind = iota
	PlainCall
)

// Call is a validated request of a client while an entry processes it.
type Call struct {
	ID      RequestID
	Kind    CallKind
	Account ClientAccount
	Profile Profile
	// Target is the name of the model or plain service.
	Target string
	Method string
	// Path is the path below that of the service or, for a generation, the path at the
	// engine.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Stream is set if the client asked for server-sent events.
	Stream bool
	// IncludeUsage is set if the client asked for token counts in the stream.
	IncludeUsage bool
	// NonIdempotent is set if the call must not be repeated.
	NonIdempotent bool
	// IdempotencyKey is the client's idempotency key; set if NonIdempotent.
	IdempotencyKey string
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int
	// MaxTokens bounds the tokens to generate; 0 if the client set no bound.
	MaxTokens int
	// Prefixes holds the hash of each prefix of the prompt that is a whole number of
	// blocks, the shortest first. Each hash includes the one before.
	Prefixes []uint64
	// Parts holds a hash of each part of the prompt but the last one, in order. Other prompts
	// may share these parts.
	Parts []uint64
	// Fingerprint is a hash of the request's content without its ID, so that equal
	// requests have equal fingerprints.
	Fingerprint uint64
	Arrived     time.Time
	Deadline    time.Time
}
