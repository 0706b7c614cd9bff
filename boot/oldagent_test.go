package boot_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// scriptedBackend responds to requests other than probes with its responses in turn, and further on with the last.
type scriptedBackend struct {
	requests  *int
	responses []http.HandlerFunc
}

func (b scriptedBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		_, _ = io.WriteString(w, "{}")
		return
	}
	*b.requests++
	b.responses[min(*b.requests, len(b.responses))-1](w, r)
}

// invalidHead responds with a status, a header field and a body.
func invalidHead(status int, field, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header()[field] = []string{"a"}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Guards against a response with an invalid head that reaches the caller by way of an agent that doesn't check it, as
// those of earlier versions. The simulated network has no heads that could be checked.
func TestInvalidHeadsFromAgents(t *testing.T) {
	const (
		event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n"
		done  = "data: [DONE]\n\n"
	)
	sound := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") }
	cutOff := func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, event, "one ")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	for _, head := range []struct {
		name   string
		status int
		field  string
	}{
		{"no status", 0, "X-Note"},
		{"low status", 99, "X-Note"},
		{"high status", 600, "X-Note"},
		{"blank in a name", http.StatusOK, "X Note"},
		{"control byte in a name", http.StatusOK, "X\x01Note"},
	} {
		broken := invalidHead(head.status, head.field, "broken")
		for _, c := range []struct {
			name, method, path string
			backend            []http.HandlerFunc
			status             int
			body               string
			requests           int
		}{
			{
				"booking", http.MethodPost, "/services/pickup-desk/bookings",
				[]http.HandlerFunc{broken, sound},
				http.StatusBadGateway, "backend_server_failed", 1,
			},
			{
				"repeated", http.MethodGet, "/services/pickup-desk/hours",
				[]http.HandlerFunc{broken, sound},
				http.StatusOK, "sound", 2,
			},
			{
				"resumed", http.MethodPost, "/v1/chat/completions",
				[]http.HandlerFunc{cutOff, invalidHead(head.status, head.field, fmt.Sprintf(event, "broken ")+done)},
				http.StatusOK, "one", 2,
			},
		} {
			t.Run(c.name+"/"+head.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					sim := newSimulation(ctx, t, 0)
					requests := 0
					backend := scriptedBackend{requests: &requests, responses: c.backend}
					sim.addAgent(ctx, "agent-4", "pickup-desk", backend)
					for _, id := range []string{"agent-1", "agent-2", "agent-3"} {
						sim.transport.Serve(id, backend)
					}
					sim.addEntry(ctx, "entry-1")
					sim.advance(startupTime)
					request := httptest.NewRequest(c.method, c.path,
						strings.NewReader(strings.Replace(generation, "{", `{"stream":true,`, 1)))
					request.Header.Set("Authorization", "Bearer "+token)
					request.Header.Set("Idempotency-Key", "mill-nine-friday")
					recorder := httptest.NewRecorder()
					sim.entries[0].ClientHandler().ServeHTTP(recorder, request)
					answer := recorder.Result()
					body, err := io.ReadAll(answer.Body)
					assert.NilError(t, err)
					assert.Equal(t, answer.StatusCode, c.status, "%s", body)
					assert.Assert(t, strings.Contains(string(body), c.body), "%s", body)
					assert.Assert(t, !strings.Contains(string(body), "broken "), "%s", body)
					assert.Assert(t, !strings.Contains(string(body), "[DONE]"), "%s", body)
					assert.Equal(t, requests, c.requests)
					if c.name == "booking" {
						assert.Equal(t, answer.Header.Get("Filberttrack-Outcome"), "Unknown")
					}
				})
			})
		}
	}
}
