// Package flow defines the state that the steps of an entry share while they
// process one request, and the error with which a step refuses the request.
package flow

import (
	"fmt"
	"net/http"
	"time"

	"filberttrack.example/track"
)

// The HTTP headers of requests and responses.
const (
	HeaderOutcome        = "Filberttrack-Outcome"
	HeaderRequestID      = "Filberttrack-Request-Id"
	HeaderTimeout        = "Filberttrack-Timeout"
	HeaderProfile        = "Filberttrack-Profile"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstSend is set to "true" by a caller that sends its idempotency key
	// for the first time.
	HeaderFirstSend = "Filberttrack-First-Send"
	// HeaderReplayed is set to "true" on a response that was stored for an earlier
	// request with the same key.
	HeaderReplayed = "Filberttrack-Replayed"
)

// StatusClientClosed is the status of a request that the caller canceled. It is
// no registered HTTP status, but is commonly used for this purpose.
const StatusClientClosed = 499

// Exchange is one request of a caller and its response.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// Call is the request after parsing; the steps fill it in.
	Call track.Call
	// OutcomeCoversKey is set once the outcome also takes into account earlier
	// requests with the same idempotency key.
	OutcomeCoversKey bool
	// GeneratedTokens is the number of tokens generated in all attempts.
	GeneratedTokens int
	// ResponseSent is set by a step that has the whole response and sends it, so
	// that later steps don't run the call again.
	ResponseSent bool
	// PartTrial is set if the call was admitted to show whether a part of its prompt crashes
	// backend servers.
	PartTrial bool

	endHooks []func()
}

// Step is one step in the processing of a request.
type Step = track.Step[*Exchange]

// OnEnd registers a function for End to call. The function registered last is
// called first.
func (x *Exchange) OnEnd(f func()) {
	x.endHooks = append(x.endHooks, f)
}

// End calls the functions registered with OnEnd, once each.
func (x *Exchange) End() {
	for i := len(x.endHooks) - 1; i >= 0; i-- {
		x.endHooks[i]()
	}
	x.endHooks = nil
}

// FirstSend reports whether the caller states that it sends its idempotency key
// for the first time.
func (x *Exchange) FirstSend() bool {
	return x.Request.Header.Get(HeaderFirstSend) == "true"
}

// MayHaveRun reports whether an earlier request with the same idempotency key
// may have run, as far as the steps so far can tell.
func (x *Exchange) MayHaveRun() bool {
	return x.Request.Header.Get(HeaderIdempotencyKey) != "" && !x.OutcomeCoversKey && !x.FirstSend()
}

// RefusalError is returned by a step to end an exchange with an error response.
type RefusalError struct {
	// Status is the HTTP status.
	Status int
	// Code identifies the error to programs, for example "model_not_found".
	Code string
	// Message describes the error to people.
	Message string
	// Param is the name of the invalid field or header, if any.
	Param string
	// Outcome says whether the request may have run.
	Outcome track.Outcome
	// RetryAfter is the delay after which the caller may retry; 0 if unspecified.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusalError) Error() string {
	return fmt.Sprintf("%d %s: %s", r.Status, r.Code, r.Message)
}

// ClientError returns a refusal of a request that the caller must correct
// before sending it again. Its outcome is track.NotRun.
func ClientError(status int, code, param, format string, args ...any) *RefusalError {
	return &RefusalError{
		Status:  status,
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		Param:   param,
		Outcome: track.NotRun,
	}
}

// unconfirmedRetryAfter is the delay after which a caller should send a request again that names what
// a newer configuration may have.
const unconfirmedRetryAfter = time.Second

// UnknownError returns the refusal of a request that names something which the configuration doesn't
// have: a ClientError, or status 503 while there may be a newer configuration that has it.
func UnknownError(directory track.Directory, status int, code, param, format string, args ...any) *RefusalError {
	if directory.Confirmed() {
		return ClientError(status, code, param, format, args...)
	}
	return &RefusalError{
		Status:  http.StatusServiceUnavailable,
		Code:    "configuration_not_confirmed",
		Message: fmt.Sprintf(format, args...) + " in the configuration that this instance knows, and there may be a newer one",
		Param:   param,
		Outcome: track.NotRun, RetryAfter: unconfirmedRetryAfter,
	}
}
