package agent

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

// signingBackend is a backend server that gives signs in its answers.
type signingBackend struct {
	status int
	header http.Header
	// arrivals counts the requests, other than probes.
	arrivals int
}

func (b *signingBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasSuffix(r.URL.Path, "/load") {
		b.arrivals++
	}
	return &http.Response{StatusCode: b.status, Header: b.header.Clone(), Body: io.NopCloser(strings.NewReader("{}"))}, nil
}

// dispatch sends the agent an attempt of its own request and returns the last frame.
func dispatch(t *testing.T, a *Agent, request track.RequestID) track.Frame {
	t.Helper()
	report, err := a.Report(t.Context())
	assert.NilError(t, err)
	var final track.Frame
	assert.NilError(t, a.Run(context.Background(), track.Dispatch{
		ID: track.AttemptID{Request: request, Number: 1}, Agent: "agent-1", Incarnation: 1,
		Stamp: report.Load.Stamp, Target: "dispatch-llm", Method: http.MethodPost, Timeout: time.Second, Kind: track.PlainCall,
	}, func(f track.Frame) error { final = f; return nil }))
	return final
}

// Guards against a backend server that gets more requests than the limit that it names, from all entries together.
func TestAgentKeepsToTheLimitOfItsBackendServer(t *testing.T) {
	backend := &signingBackend{status: http.StatusOK, header: http.Header{"Server-Limit": {"2"}}}
	a := newTestAgent(t, backend)
	clock := a.options.Clock.(*clockwork.FakeClock)
	dispatch(t, a, "first")
	var arrivals []int
	refused := 0
	// Four seconds of 20 requests each.
	for i := range 80 {
		clock.Advance(50 * time.Millisecond)
		before := backend.arrivals
		if f := dispatch(t, a, track.RequestID(strings.Repeat("r", i+1))); f.Refusal != "" {
			assert.Equal(t, f.Refusal, track.RefusedFull)
			assert.Equal(t, f.Outcome, track.NotRun)
			refused++
		}
		arrivals = append(arrivals, backend.arrivals-before)
	}
	sum := 0
	for _, n := range arrivals {
		sum += n
	}
	assert.Assert(t, sum >= 7 && sum <= 10, "%d requests in 4 s at a limit of 2 a second", sum)
	assert.Equal(t, refused, 80-sum)
	// A probe without the header doesn't end the limit; an answer does.
	backend.header = http.Header{}
	a.probeOnce(t.Context())
	assert.Equal(t, dispatch(t, a, "probed").Refusal, track.RefusedFull)
	clock.Advance(time.Second)
	assert.Equal(t, dispatch(t, a, "last").Refusal, track.Refusal(""))
	for i := range 20 {
		assert.Equal(t, dispatch(t, a, track.RequestID(strings.Repeat("s", i+1))).Refusal, track.Refusal(""))
	}
}

// Guards against requests to a backend server that has said that it leaves, until it has started again.
func TestLeavingBackendServerGetsNoRequests(t *testing.T) {
	backend := &signingBackend{status: http.StatusOK, header: http.Header{"Server-Leaving": {"1"}}}
	a := newTestAgent(t, backend)
	dispatch(t, a, "first")
	assert.Equal(t, dispatch(t, a, "second").Refusal, track.RefusedBackendServerDown)
	report, err := a.Report(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, !report.Up, "entries are told")
	assert.Equal(t, backend.arrivals, 1)
	backend.status = http.StatusInternalServerError
	a.probeOnce(t.Context())
	backend.status, backend.header = http.StatusOK, http.Header{}
	a.probeOnce(t.Context())
	assert.Equal(t, dispatch(t, a, "third").Refusal, track.Refusal(""))
}

// Guards against requests to a backend server that has asked for rest.
func TestRestingBackendServerGetsNoRequests(t *testing.T) {
	backend := &signingBackend{status: http.StatusServiceUnavailable, header: http.Header{"Retry-After": {"2"}}}
	a := newTestAgent(t, backend)
	dispatch(t, a, "first")
	backend.status, backend.header = http.StatusOK, http.Header{}
	assert.Equal(t, dispatch(t, a, "second").Refusal, track.RefusedBackendServerDown)
	assert.Equal(t, backend.arrivals, 1)
	a.options.Clock.(*clockwork.FakeClock).Advance(2 * time.Second)
	assert.Equal(t, dispatch(t, a, "third").Refusal, track.Refusal(""))
}
