package agent

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

// unframedBackend answers with neither a length nor chunks. Its body ends with the connection.
type unframedBackend struct{ body io.Reader }

func (b unframedBackend) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Close: true, Body: io.NopCloser(b.body)}, nil
}

func TestUnframedAnswerOfAPlainService(t *testing.T) {
	for name, c := range map[string]struct {
		body    io.Reader
		outcome track.Outcome
	}{
		"whole": {strings.NewReader("booked"), track.Completed},
		"reset": {io.MultiReader(strings.NewReader("boo"), brokenReader{}), track.Unknown},
	} {
		a := newTestAgent(t, unframedBackend{c.body})
		report, err := a.Report(t.Context())
		assert.NilError(t, err)
		var final track.Frame
		dispatch := track.Dispatch{
			ID: track.AttemptID{Request: "r-1", Number: 1}, Kind: track.PlainCall, Target: "dispatch-llm", Agent: "agent-1",
			Incarnation: 1, Stamp: report.Load.Stamp, Method: http.MethodGet, Path: "/status", Timeout: time.Minute,
		}
		assert.NilError(t, a.Run(t.Context(), dispatch, func(f track.Frame) error {
			final = f
			return nil
		}), name)
		assert.Equal(t, final.Kind, track.FrameFinal, name)
		assert.Equal(t, final.Outcome, c.outcome, name)
	}
}
