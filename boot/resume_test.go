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

// breakingEngine answers the first generation with a few chunks and breaks off; all others with an error.
type breakingEngine struct {
	requests *int
	status   int
}

const engineError = "HTTP/1.1 409 no such sequence in the cache"

func (e breakingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_, _ = io.WriteString(w, "{}")
		return
	}
	if *e.requests++; *e.requests > 1 {
		w.WriteHeader(e.status)
		fmt.Fprintf(w, `{"error":{"message":%q}}`, engineError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 3 {
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word%d \"},\"finish_reason\":null}]}\n\n", i)
		w.(http.Flusher).Flush()
	}
	panic(http.ErrAbortHandler)
}

// Guards against the error of the replica that is to continue a stream, within that stream, and against such a
// stream that counts as complete.
func TestStreamThatNoReplicaContinues(t *testing.T) {
	for _, status := range []int{http.StatusConflict, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				sim := newSimulation(ctx, t, 1)
				sim.advance(startupTime)
				requests := 0
				for _, id := range []string{"agent-1", "agent-2"} {
					sim.transport.Serve(id, breakingEngine{requests: &requests, status: status})
				}
				request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions",
					strings.NewReader(strings.Replace(generation, "{", `{"stream":true,`, 1)))
				request.Header.Set("Authorization", "Bearer "+token)
				recorder := httptest.NewRecorder()
				sim.entries[0].ClientHandler().ServeHTTP(recorder, request)
				answer := recorder.Result()
				body, err := io.ReadAll(answer.Body)
				assert.NilError(t, err)
				assert.Assert(t, strings.Contains(string(body), "word2"), "%s", body)
				assert.Assert(t, !strings.Contains(string(body), engineError), "%s", body)
				assert.Assert(t, !strings.Contains(string(body), "[DONE]"), "%s", body)
				assert.Equal(t, answer.Trailer.Get("Filberttrack-Outcome"), "Unknown")
				assert.Assert(t, requests > 1)
			})
		})
	}
}
