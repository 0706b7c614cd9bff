// Package relay turns the frames of attempts into the caller's answer.
package relay

import (
	"encoding/json"
	"net/http"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// Answer is the caller's answer as it grows.
type Answer interface {
	// Header takes the status and header of an attempt.
	Header(status int, header http.Header) error
	// Data takes a piece of the body.
	Data(data []byte) error
	// Finish ends the answer with the outcome of the request.
	Finish(outcome track.Outcome) error
	// Committed reports whether the caller has already received something that
	// a further attempt can't take back.
	Committed() bool
	// Abort ends a committed answer so that the caller can't take it for whole.
	Abort(r *flow.RefusalError)
	// RelaysErrors reports whether error answers of a backend server reach the
	// caller as they are.
	RelaysErrors() bool
	// Reset drops what an attempt left behind in an answer not yet committed.
	Reset()
}

// For returns the answer that fits the call.
func For(x *flow.Exchange, limits Limits) Answer {
	switch {
	case x.Call.Kind == track.Plain:
		return &plain{writer: x.Writer, limits: limits}
	case x.Call.Stream:
		return newStream(x)
	}
	return newWhole(x, limits)
}

// Limits bounds what an entry keeps of an answer.
type Limits struct {
	// MaxAnswerBytes bounds an answer that is kept until it is whole.
	MaxAnswerBytes int
}

// maxMessageBytes bounds a backend server's text inside an error message.
const maxMessageBytes = 512

// ErrorMessage returns the message inside an engine's error body.
func ErrorMessage(body []byte) string {
	var decoded struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	err := json.Unmarshal(body, &decoded)
	if err == nil && decoded.Error.Message != "" {
		return decoded.Error.Message
	}
	return string(body[:min(len(body), maxMessageBytes)])
}
