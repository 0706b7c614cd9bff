package agent

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/ledger"
)

// crashingBackend is a backend server that closes the connection of each request.
type crashingBackend struct{ requests int }

func (b *crashingBackend) RoundTrip(*http.Request) (*http.Response, error) {
	b.requests++
	return nil, io.ErrUnexpectedEOF
}

// newTestAgent returns an agent of the model dispatch-llm whose backend server is simulated.
func newTestAgent(t *testing.T, backend http.RoundTripper) *Agent {
	t.Helper()
	address, err := url.Parse("http://agent-1")
	assert.NilError(t, err)
	return New(Options{
		Instance: track.Instance{ID: "agent-1", Serves: "dispatch-llm"}, Incarnation: 1, Backend: address,
		Client: &http.Client{Transport: backend}, Clock: clockwork.NewFakeClock(), Logger: zap.NewNop(),
		Metrics: metrics.NewSet(), Ledger: ledger.Defaults(),
	})
}

// TestAttemptsAreRefusedAfterCrash sends a second attempt to an agent whose backend
// server has just crashed. The attempt must neither reach the backend server nor be
// counted as in flight there.
func TestAttemptsAreRefusedAfterCrash(t *testing.T) {
	backend := &crashingBackend{}
	a := newTestAgent(t, backend)
	run := func(number uint32) track.Frame {
		report, err := a.Report(context.Background())
		assert.NilError(t, err)
		var final track.Frame
		err = a.Run(context.Background(), track.Dispatch{
			ID: track.AttemptID{Request: "request-1", Number: number}, Agent: "agent-1", Incarnation: 1,
			Stamp: report.Load.Stamp, Target: "dispatch-llm", Method: http.MethodPost, Timeout: time.Second,
		}, func(f track.Frame) error { final = f; return nil })
		assert.NilError(t, err)
		return final
	}
	assert.Assert(t, run(1).Crashed)
	second := run(2)
	assert.Assert(t, !second.Crashed)
	assert.Equal(t, second.Outcome, track.NotRun)
	assert.Equal(t, second.Refusal, track.RefusedBackendServerDown)
	assert.Equal(t, backend.requests, 1)
}
