// Package relay turns the frames of attempts into the response to the caller.
package relay

import (
	"encoding/json"
	"net/http"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// Response is the response to one request of a caller. It is assembled from the
// frames of one or more attempts.
type Response interface {
	// WriteHeader adds the status and the header of an attempt.
	WriteHeader(status int, header http.Header) error
	// WriteData adds a part of the body. It fails if the data can't be decoded or
	// sent, or if a buffered response becomes larger than Limits.MaxAnswerBytes.
	WriteData(data []byte) error
	// Finish completes the response with the outcome of the request. It sends a
	// buffered response to the caller.
	Finish(outcome track.Outcome) error
	// Committed reports whether a part of the response has been sent to the
	// caller, so that a further attempt can only continue it.
	Committed() bool
	// Abort ends a committed response with an error, so that the caller doesn't
	// take it for complete.
	Abort(r *flow.RefusalError)
	// RelaysErrors reports whether error responses of a backend server are sent to
	// the caller unchanged.
	RelaysErrors() bool
	// Reset discards what a failed attempt has added to a response that isn't
	// committed.
	Reset()
}

// NewResponse returns an empty response for the kind of call.
func NewResponse(x *flow.Exchange, limits Limits) Response {
	switch {
	case x.Call.Kind == track.PlainCall:
		return &serviceResponse{writer: x.Writer, limits: limits}
	case x.Call.Stream:
		return newStreamResponse(x)
	}
	return newBufferedResponse(x, limits)
}

// Limits holds the limits on responses.
type Limits struct {
	// MaxAnswerBytes is the largest response that is buffered until it is
	// complete, in bytes. It doesn't apply to streamed responses.
	MaxAnswerBytes int
}

// maxErrorMessageBytes is the most bytes of an error body that are copied into
// an error message.
const maxErrorMessageBytes = 512

// EngineErrorMessage returns the message in an engine's error body, or the
// start of the body if it contains none.
func EngineErrorMessage(body []byte) string {
	var decoded struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	err := json.Unmarshal(body, &decoded)
	if err == nil && decoded.Error.Message != "" {
		return decoded.Error.Message
	}
	return string(body[:min(len(body), maxErrorMessageBytes)])
}
