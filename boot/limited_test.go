package boot_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entries that together send an engine more than the limit that it names. What the engine doesn't take
// goes to the other one.
func TestEntriesKeepToTheLimitOfAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sim := newSimulation(ctx, t, 3)
		sim.advance(startupTime)
		const limit = 1.0
		sim.engines[0].SetLimit(limit)
		served, window := 0, int64(0)
		var started []int64
		for i := range 160 {
			request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(generation))
			request.Header.Set("Authorization", "Bearer "+token)
			recorder := httptest.NewRecorder()
			sim.entries[i%3].ClientHandler().ServeHTTP(recorder, request)
			if recorder.Code == http.StatusOK {
				served++
			}
			sim.advance(50 * time.Millisecond)
			started = append(started, sim.engines[0].Counts().Started)
			// A request takes 130 ms and the pause: 22 of them are 4 s.
			if i >= 40 {
				window = max(window, started[i]-started[i-22])
			}
		}
		assert.Assert(t, window <= 1.5*4*limit+5, "%d requests in 4 s", window)
		assert.Assert(t, started[159] >= 10, "%d requests in all", started[159])
		assert.Equal(t, served, 160)
	})
}
