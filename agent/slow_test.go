package agent

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

// slowBackend is a backend server that sends one line after each interval: lines first, then
// filler without end.
type slowBackend struct {
	interval time.Duration
	lines    []string
	filler   string
}

func (b *slowBackend) RoundTrip(request *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: &slowBody{ctx: request.Context(), backend: b}}, nil
}

// slowBody is a response body of a slowBackend.
type slowBody struct {
	ctx     context.Context
	backend *slowBackend
	next    int
}

func (b *slowBody) Read(p []byte) (int, error) {
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-time.After(b.backend.interval):
	}
	line := b.backend.filler
	if b.next < len(b.backend.lines) {
		line = b.backend.lines[b.next]
	}
	b.next++
	if line == "" {
		return 0, io.EOF
	}
	return copy(p, line), nil
}

func (*slowBody) Close() error { return nil }

// runSlowly returns the final frame of a generation, and how long it took.
func runSlowly(t *testing.T, backend *slowBackend, timeout time.Duration) (track.Frame, time.Duration) {
	t.Helper()
	a := newTestAgent(t, backend)
	report, err := a.Report(t.Context())
	assert.NilError(t, err)
	start := time.Now()
	var final track.Frame
	err = a.Run(t.Context(), track.Dispatch{
		ID: track.AttemptID{Request: "request-1", Number: 1}, Agent: "agent-1", Incarnation: 1, Kind: track.GenerationCall,
		Stamp: report.Load.Stamp, Target: "dispatch-llm", Method: http.MethodPost, Timeout: timeout,
	}, func(f track.Frame) error { final = f; return nil })
	assert.NilError(t, err)
	return final, time.Since(start)
}

func TestStreamThatDripsEndsAtItsDeadline(t *testing.T) {
	for name, filler := range map[string]string{"comments": ": \n", "empty lines": "\n", "part of a line": "d"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &slowBackend{interval: time.Second, lines: []string{"data: {}\n"}, filler: filler}
				final, took := runSlowly(t, backend, 30*time.Second)
				assert.Equal(t, took, 30*time.Second)
				assert.Equal(t, final.Outcome, track.Unknown)
				assert.Assert(t, !final.Crashed, "a slow stream is no crash of the backend server")
			})
		})
	}
}

func TestSlowStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &slowBackend{interval: 7 * time.Second, lines: []string{
			"data: {\"a\":1}\n", "data: {\"a\":2}\n", "data: {\"a\":3}\n", "data: [DONE]\n",
		}}
		final, took := runSlowly(t, backend, 30*time.Second)
		assert.Equal(t, took, 28*time.Second)
		assert.Equal(t, final.Outcome, track.Completed)
	})
}
