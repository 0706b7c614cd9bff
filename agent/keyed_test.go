package agent

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/ledger"
)

// fakeBackend responds with the body, or refuses the connection if the body is empty.
type fakeBackend struct{ body string }

// RoundTrip implements http.RoundTripper.
func (b fakeBackend) RoundTrip(*http.Request) (*http.Response, error) {
	if b.body == "" {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	}
	return &http.Response{StatusCode: http.StatusCreated, Body: io.NopCloser(strings.NewReader(b.body))}, nil
}

// newKeyedAgent returns an agent whose backend server responds with the body, and a keyed
// dispatch for it.
func newKeyedAgent(body string) (*Agent, track.Dispatch) {
	a := New(Options{
		Instance: track.Instance{ID: "agent-1", Serves: "pickup-desk"}, Incarnation: 1,
		Backend: &url.URL{Scheme: "http", Host: "backend"}, Client: &http.Client{Transport: fakeBackend{body}},
		Clock: clockwork.NewFakeClock(), Logger: zap.NewNop(), Metrics: metrics.NewSet(), Ledger: ledger.Defaults(),
	})
	return a, track.Dispatch{
		ID: track.AttemptID{Request: "r", Number: 1}, Agent: "agent-1", Incarnation: 1, Target: "pickup-desk",
		Kind: track.PlainCall, Method: http.MethodPost, Path: "/bookings", Timeout: time.Minute,
		Claim: &track.Claim{Service: "pickup-desk", IdempotencyKey: "k"},
	}
}

// collect returns the size of the data in an answer, and its last frame.
func collect(t *testing.T, run func(track.FrameFunc) error) (int, track.Frame) {
	t.Helper()
	size := 0
	var last track.Frame
	assert.NilError(t, run(func(f track.Frame) error {
		size += len(f.Data)
		last = f
		return nil
	}))
	return size, last
}

// TestKeyedAnswerTooLargeToStore checks that the first caller receives the complete
// answer, and that a retry gets the outcome Unknown because the answer was not stored.
func TestKeyedAnswerTooLargeToStore(t *testing.T) {
	want := ledger.Defaults().MaxAnswerBytes + 1
	a, d := newKeyedAgent(strings.Repeat("x", want))
	size, final := collect(t, func(send track.FrameFunc) error { return a.Run(t.Context(), d, send) })
	assert.Equal(t, size, want)
	assert.Equal(t, final.Outcome, track.Completed)
	size, final = collect(t, func(send track.FrameFunc) error { return a.Replay(t.Context(), d.Ref(), send) })
	assert.Equal(t, size, 0)
	assert.Equal(t, final.Outcome, track.Unknown)
}

// TestKeyedAttemptNeverReceived checks that an attempt that never reached the backend
// server is barred, and that another attempt may use its idempotency key.
func TestKeyedAttemptNeverReceived(t *testing.T) {
	a, d := newKeyedAgent("")
	_, final := collect(t, func(send track.FrameFunc) error { return a.Run(t.Context(), d, send) })
	assert.Equal(t, final.Outcome, track.NotRun)
	assert.Equal(t, final.Refusal, track.RefusedBackendServerDown)
	_, final = collect(t, func(send track.FrameFunc) error { return a.Replay(t.Context(), d.Ref(), send) })
	assert.Equal(t, final.Outcome, track.NotRun)
	a.options.Client.Transport = fakeBackend{"ok"}
	// The agent refuses attempts until a probe has found the backend server healthy.
	a.probeOnce(t.Context())
	_, final = collect(t, func(send track.FrameFunc) error { return a.Run(t.Context(), d, send) })
	assert.Equal(t, final.Refusal, track.RefusedBarred)
	d.ID.Number = 2
	_, final = collect(t, func(send track.FrameFunc) error { return a.Run(t.Context(), d, send) })
	assert.Equal(t, final.Outcome, track.Completed)
}
