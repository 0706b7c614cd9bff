// Package flow holds the state of one caller's request on its way through the
// steps of an entry, and the refusal with which a step ends it.
package flow

import (
	"fmt"
	"net/http"
	"time"

	"filberttrack.example/track"
)

// Header names of the callers' interface.
const (
	HeaderOutcome     = "Filberttrack-Outcome"
	HeaderRequestID   = "Filberttrack-Request-Id"
	HeaderTimeout     = "Filberttrack-Timeout"
	HeaderProfile     = "Filberttrack-Profile"
	HeaderIdempotency = "Idempotency-Key"
	// HeaderFirstSend is set to "true" by a caller that sends its idempotency key
	// for the first time.
	HeaderFirstSend = "Filberttrack-First-Send"
	// HeaderReplayed marks the answer to an earlier request under the same key.
	HeaderReplayed = "Filberttrack-Replayed"
)

// StatusClientClosed is the customary status for a caller that went away.
const StatusClientClosed = 499

// Exchange is one request of a caller and its answer.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	Call    track.Call
	// Judged is set once the outcome speaks of the idempotency key too.
	Judged bool
	// Tokens counts the tokens that were generated for the caller.
	Tokens int
	// Answered is set once the caller has the whole answer.
	Answered bool

	releases []func()
}

// Step is one step in the plan of an entry.
type Step = track.Step[*Exchange]

// Release registers a function to be called when the exchange has ended, last
// registered first.
func (x *Exchange) Release(f func()) {
	x.releases = append(x.releases, f)
}

// End calls the registered functions.
func (x *Exchange) End() {
	for i := len(x.releases) - 1; i >= 0; i-- {
		x.releases[i]()
	}
	x.releases = nil
}

// FirstSend reports whether the caller states that it sends its idempotency key
// for the first time.
func (x *Exchange) FirstSend() bool {
	return x.Request.Header.Get(HeaderFirstSend) == "true"
}

// MayHaveRun reports whether an earlier request under the same idempotency key
// may have run, for all that the steps so far have found out.
func (x *Exchange) MayHaveRun() bool {
	return x.Request.Header.Get(HeaderIdempotency) != "" && !x.Judged && !x.FirstSend()
}

// RefusalError ends an exchange with an error answer.
type RefusalError struct {
	// Status is the HTTP status.
	Status int
	// Code names the fault for programs, for example "unknown_model".
	Code    string
	Message string
	// Param names the faulty field or header, if any.
	Param   string
	Outcome track.Outcome
	// RetryAfter tells the caller when to come back; 0 says nothing.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("%d %s: %s", r.Status, r.Code, r.Message)
}

// Invalid returns a refusal for input that the caller must correct.
func Invalid(status int, code, param, format string, args ...any) *RefusalError {
	return &RefusalError{
		Status:  status,
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		Param:   param,
		Outcome: track.NotRun,
	}
}
