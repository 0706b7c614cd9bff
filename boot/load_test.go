package boot_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/crash"
	"filberttrack.example/track/stand/engine"
)

// inZone runs a test on a deployment in a bubble.
func inZone(t *testing.T, entries int, script func(ctx context.Context, x *session)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		x := newSession(ctx, t, entries)
		x.pass(settling)
		script(ctx, x)
		cancel()
	})
}

// call sends a request to an entry and returns the answer.
func (x *session) call(entry int, method, path, body string, header ...string) *http.Response {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	x.entries[entry].Callers().ServeHTTP(recorder, request)
	return recorder.Result()
}

// TestAllReplicasFail has each replica of a service fail: the load on backend
// servers stays near that of the callers, and callers hear so at once.
func TestAllReplicasFail(t *testing.T) {
	const (
		callers          = 400
		maxAmplification = 1.1
		maxWait          = 500 * time.Millisecond
	)
	inZone(t, 1, func(ctx context.Context, x *session) {
		var load atomic.Int64
		failing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/bookings" {
				http.NotFound(w, r)
				return
			}
			load.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		x.transport.Serve("agent-3", failing)
		for i := range 3 {
			x.addAgent(ctx, fmt.Sprintf("agent-%d", i+4), "pickup-desk", failing)
		}
		x.pass(5 * time.Second)
		for range callers {
			started := time.Now()
			answer := x.call(0, "GET", bookings, "")
			assert.Assert(t, answer.StatusCode >= 500)
			assert.Assert(t, time.Since(started) <= maxWait, "given up, but held back")
			x.pass(20 * time.Millisecond)
		}
		amplification := float64(load.Load()) / callers
		t.Logf("load on backend servers: %.3f times the callers'", amplification)
		assert.Assert(t, load.Load() > 0)
		assert.Assert(t, amplification <= maxAmplification)
	})
}

// TestCrashingRequest sends a request that crashes each engine that runs it,
// among innocents that share its engine, through two entries.
func TestCrashingRequest(t *testing.T) {
	const (
		innocents  = 40
		maxCrashes = 2
		poison     = "POISON"
	)
	inZone(t, 2, func(ctx context.Context, x *session) {
		engines := make([]*engine.Engine, 6)
		for i := range engines {
			engines[i] = engine.New(x.clock, engine.Settings{
				Model: "dispatch-llm", StepTime: 10 * time.Millisecond, PoisonMarker: poison,
				RestartAfter: 300 * time.Millisecond,
			})
			id := fmt.Sprintf("agent-%d", i+1)
			if i < len(x.engines) {
				x.transport.Serve(id, engines[i])
				continue
			}
			x.addAgent(ctx, fmt.Sprintf("agent-%d", i+10), "dispatch-llm", engines[i])
		}
		x.pass(5 * time.Second)
		prompt := func(text string) string {
			return fmt.Sprintf(`{"model":"dispatch-llm","messages":[{"role":"user","content":%q}]}`, text)
		}
		var group sync.WaitGroup
		for i := range innocents {
			group.Go(func() {
				answer := x.call(i%2, "POST", "/v1/chat/completions", prompt(fmt.Sprintf("why was mill %d missed", i)))
				assert.Check(t, answer.StatusCode == http.StatusOK, "innocent %d: %d", i, answer.StatusCode)
			})
		}
		time.Sleep(15 * time.Millisecond)
		defer group.Wait()
		first := x.call(0, "POST", "/v1/chat/completions", prompt(poison))
		assert.Equal(t, first.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, first.Header.Get("Filberttrack-Outcome"), "Unknown")
		group.Wait()
		for i := range 4 {
			again := x.call(i%2, "POST", "/v1/chat/completions", prompt(poison))
			assert.Equal(t, again.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, again.Header.Get("Filberttrack-Outcome"), "NotRun")
			assert.Assert(t, again.Header.Get("Retry-After") != "")
		}
		crashes := int64(0)
		for _, e := range engines {
			crashes += e.Counts().Crashes
		}
		t.Logf("%d crashes, %d innocents served", crashes, innocents)
		assert.Equal(t, crashes, int64(maxCrashes))
		x.pass(time.Second)
		listed := x.quarantined(1)
		assert.Equal(t, len(listed), 1, "none but the culprit: %v", listed)
		assert.Equal(t, listed[0].Standing, "Quarantined")
		assert.Equal(t, x.release(1, listed[0].Fingerprint, ""), http.StatusUnauthorized)
		assert.Equal(t, x.release(1, listed[0].Fingerprint, "operators"), http.StatusOK)
		assert.Equal(t, x.release(1, listed[0].Fingerprint, "operators"), http.StatusNotFound)
		x.pass(3 * time.Second)
		assert.Equal(t, len(x.quarantined(0)), 0, "released in the other entry too")
	})
}

// quarantined returns what an entry's operators see.
func (x *session) quarantined(entry int) []crash.ListedFingerprint {
	recorder := httptest.NewRecorder()
	x.entries[entry].Operators().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, crash.ListPath, nil))
	var listed []crash.ListedFingerprint
	assert.NilError(x.t, json.Unmarshal(recorder.Body.Bytes(), &listed))
	return listed
}

// release has an operator end a quarantine.
func (x *session) release(entry int, fingerprint, token string) int {
	body := fmt.Sprintf(`{"Fingerprint":%q}`, fingerprint)
	request := httptest.NewRequest(http.MethodPost, crash.ReleasePath, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	x.entries[entry].Operators().ServeHTTP(recorder, request)
	return recorder.Code
}

// TestOverload offers twice the capacity of a service for a while.
func TestOverload(t *testing.T) {
	const (
		replicas   = 2
		parallel   = 8
		service    = 100 * time.Millisecond
		capacity   = replicas * parallel * 10
		length     = 8 * time.Second
		minGoodput = 0.9
		timeout    = time.Second
	)
	inZone(t, 1, func(ctx context.Context, x *session) {
		for i := range replicas {
			slots := make(chan struct{}, parallel)
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/bookings" {
					http.NotFound(w, r)
					return
				}
				slots <- struct{}{}
				defer func() { <-slots }()
				time.Sleep(service)
				w.WriteHeader(http.StatusOK)
			})
			if i == 0 {
				x.transport.Serve("agent-3", handler)
			} else {
				x.addAgent(ctx, fmt.Sprintf("agent-%d", i+3), "pickup-desk", handler)
			}
		}
		x.pass(5 * time.Second)
		var good, refused, late, bookingsRefused, held atomic.Int64
		var group sync.WaitGroup
		begun := time.Now()
		for i := range int(2 * capacity * length / time.Second) {
			time.Sleep(time.Second / (2 * capacity))
			group.Go(func() {
				method, header := "GET", []string{"Filberttrack-Timeout", timeout.String()}
				if i%10 == 0 {
					method = "POST"
					header = append(header, "Idempotency-Key", fmt.Sprint("key-", i), "Filberttrack-First-Send", "true")
				}
				started := time.Now()
				answer := x.call(0, method, bookings, "{}", header...)
				took := time.Since(started)
				switch {
				case answer.StatusCode == http.StatusOK && took <= timeout:
					good.Add(1)
				case answer.StatusCode == http.StatusServiceUnavailable:
					refused.Add(1)
					assert.Check(t, answer.Header.Get("Retry-After") != "")
					if took > timeout/2 {
						held.Add(1)
					}
					if method == "POST" {
						bookingsRefused.Add(1)
					}
				default:
					late.Add(1)
				}
			})
		}
		group.Wait()
		goodput := float64(good.Load()) / (capacity * time.Since(begun).Seconds())
		t.Logf("goodput %.3f of capacity; refused %d, of these bookings %d, held for half the timeout %d; late %d",
			goodput, refused.Load(), bookingsRefused.Load(), held.Load(), late.Load())
		assert.Assert(t, goodput >= minGoodput)
		assert.Equal(t, bookingsRefused.Load(), int64(0))
		assert.Equal(t, held.Load(), int64(0))
	})
}

// TestHedge has one of two engines hang: a second attempt beside the first gives
// callers their whole answer, once.
func TestHedge(t *testing.T) {
	const (
		after   = 100 * time.Millisecond
		maxWait = 400 * time.Millisecond
		callers = 6
	)
	inZone(t, 0, func(ctx context.Context, x *session) {
		for i := range x.settings.Profile {
			x.settings.Profile[i].Hedge.After = after
		}
		x.addEntry(ctx, "entry-1")
		x.pass(time.Second)
		whole := x.answer()
		x.engines[0].Pause()
		for range callers {
			started := time.Now()
			assert.Equal(t, x.answer(), whole)
			assert.Assert(t, time.Since(started) <= maxWait)
			x.pass(time.Second)
		}
		hedges := strings.Count(x.transcript.String(), `"Reason":"Hedge"`)
		t.Logf("%d hedges for %d callers", hedges, callers)
		assert.Assert(t, hedges > 0)
		x.engines[0].Resume()
	})
}

// answer returns the text of a generation.
func (x *session) answer() string {
	response := x.call(0, "POST", "/v1/chat/completions", generation)
	assert.Equal(x.t, response.StatusCode, http.StatusOK)
	var body struct {
		Choices []struct{ Message struct{ Content string } }
	}
	assert.NilError(x.t, json.NewDecoder(response.Body).Decode(&body))
	return body.Choices[0].Message.Content
}
