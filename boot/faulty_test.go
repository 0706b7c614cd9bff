package boot

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/agent"
	"filberttrack.example/track/ledger"
	"filberttrack.example/track/stand/canned"
)

// agentBefore returns an agent of the plain service desk, whose backend server handles each connection with the
// given function and then closes it.
func agentBefore(t *testing.T, handle func(net.Conn)) *agent.Agent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go canned.Serve(listener, handle)
	return newAgentBefore(listener.Addr().String())
}

// newAgentBefore returns an agent of the plain service desk, whose backend server has the given host and port.
func newAgentBefore(backend string) *agent.Agent {
	return agent.New(agent.Options{
		Instance: track.Instance{ID: "agent-1", Serves: "desk"}, Incarnation: 1,
		Backend: &url.URL{Scheme: "http", Host: backend}, Client: newBackendClient(),
		Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Metrics: metrics.NewSet(), Ledger: ledger.Defaults(),
	})
}

// runPlain runs an attempt of a plain call with the body and returns the status and the last frame.
func runPlain(t *testing.T, a *agent.Agent, id track.RequestID, body []byte) (status int, final track.Frame) {
	t.Helper()
	report, err := a.Report(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, a.Run(t.Context(), track.Dispatch{
		ID: track.AttemptID{Request: id, Number: 1}, Agent: "agent-1", Incarnation: 1, Stamp: report.Load.Stamp, Target: "desk",
		Kind: track.PlainCall, Method: http.MethodPost, Path: "/" + string(id), Body: body, Timeout: time.Minute,
	}, func(f track.Frame) error {
		switch f.Kind {
		case track.FrameHeader:
			status = f.Status
		case track.FrameFinal:
			final = f
		case track.FrameData:
		}
		return nil
	}))
	return status, final
}

// Guards against an earlier refusal that a backend server writes once more on a kept connection, and that tells the
// client of a request which runs that it has not run.
func TestRefusalWrittenOnceMore(t *testing.T) {
	a := agentBefore(t, func(conn net.Conn) {
		reader, refusals := bufio.NewReader(conn), ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked"
			if request.URL.Path[:2] == "/r" {
				answer = "HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n"
			}
			if _, err := io.WriteString(conn, refusals+answer); err != nil {
				return
			}
			if request.URL.Path[:2] == "/r" {
				refusals = answer
			}
		}
	})
	for i := range 4 {
		status, _ := runPlain(t, a, track.RequestID(fmt.Sprintf("refused-%d", i)), nil)
		assert.Equal(t, status, http.StatusTooManyRequests)
		status, final := runPlain(t, a, track.RequestID(fmt.Sprintf("booked-%d", i)), nil)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, final.Outcome, track.Completed)
	}
}

// Guards against a response whose head breaks off and that reaches the client as a whole one.
func TestHeadThatBreaksOff(t *testing.T) {
	for _, head := range []string{
		"", "HT", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r",
	} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			a := agentBefore(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head)
				}
			})
			status, final := runPlain(t, a, "r-1", nil)
			assert.Equal(t, status, 0)
			assert.Equal(t, final.Outcome, track.Unknown)
		})
	}
}
