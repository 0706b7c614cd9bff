package boot_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
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

// runSimulation runs a test on a simulated deployment in a synctest bubble, beginning
// when the instances have started.
func runSimulation(t *testing.T, entries int, script func(ctx context.Context, sim *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(ctx, t, entries)
		sim.advance(startupTime)
		script(ctx, sim)
		cancel()
	})
}

// call sends a request of a client to an entry and returns the response.
func (sim *simulation) call(entry int, method, path, body string, header ...string) *http.Response {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	sim.entries[entry].ClientHandler().ServeHTTP(recorder, request)
	return recorder.Result()
}

// Makes each replica of a service fail. Retries must not multiply the load on backend
// servers, and clients must get the error at once.
func TestAllReplicasFail(t *testing.T) {
	const (
		requests         = 400
		maxAmplification = 1.1
		maxWait          = 500 * time.Millisecond
	)
	runSimulation(t, 1, func(ctx context.Context, sim *simulation) {
		var attempts atomic.Int64
		failing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/bookings" {
				http.NotFound(w, r)
				return
			}
			attempts.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		sim.transport.Serve("agent-3", failing)
		for i := range 3 {
			sim.addAgent(ctx, fmt.Sprintf("agent-%d", i+4), "pickup-desk", failing)
		}
		sim.advance(5 * time.Second)
		for range requests {
			started := time.Now()
			answer := sim.call(0, "GET", bookingsPath, "")
			assert.Assert(t, answer.StatusCode >= 500)
			assert.Assert(t, time.Since(started) <= maxWait, "the error came too late")
			sim.advance(20 * time.Millisecond)
		}
		amplification := float64(attempts.Load()) / requests
		t.Logf("load on backend servers: %.3f times the requests of clients", amplification)
		assert.Assert(t, attempts.Load() > 0)
		assert.Assert(t, amplification <= maxAmplification)
	})
}

// Sends a request that crashes each engine that runs it, through two entries, together
// with harmless requests that share its engines. The crashing request must be
// quarantined after two crashes, and the harmless ones must succeed.
func TestCrashingRequest(t *testing.T) {
	const (
		harmlessRequests = 40
		maxCrashes       = 2
		crashMarker      = "POISON"
	)
	runSimulation(t, 2, func(ctx context.Context, sim *simulation) {
		engines := sim.addCrashingEngines(ctx, crashMarker)
		prompt := func(text string) string {
			return fmt.Sprintf(`{"model":"dispatch-llm","messages":[{"role":"user","content":%q}]}`, text)
		}
		var group sync.WaitGroup
		for i := range harmlessRequests {
			group.Go(func() {
				answer := sim.call(i%2, "POST", "/v1/chat/completions", prompt(fmt.Sprintf("why was mill %d missed", i)))
				assert.Check(t, answer.StatusCode == http.StatusOK, "harmless request %d: status %d", i, answer.StatusCode)
			})
		}
		time.Sleep(15 * time.Millisecond)
		defer group.Wait()
		first := sim.call(0, "POST", "/v1/chat/completions", prompt(crashMarker))
		assert.Equal(t, first.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, first.Header.Get("Filberttrack-Outcome"), "Unknown")
		group.Wait()
		for i := range 4 {
			again := sim.call(i%2, "POST", "/v1/chat/completions", prompt(crashMarker))
			assert.Equal(t, again.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, again.Header.Get("Filberttrack-Outcome"), "NotRun")
			assert.Assert(t, again.Header.Get("Retry-After") != "")
		}
		crashes := totalCrashes(engines)
		t.Logf("%d crashes, %d harmless requests served", crashes, harmlessRequests)
		assert.Equal(t, crashes, int64(maxCrashes))
		sim.advance(time.Second)
		listed := sim.quarantined(1)
		assert.Equal(t, len(listed), 1, "only the crashing request is quarantined: %v", listed)
		assert.Equal(t, listed[0].Standing, "Quarantined")
		assert.Equal(t, sim.release(1, listed[0].Fingerprint, ""), http.StatusUnauthorized)
		assert.Equal(t, sim.release(1, listed[0].Fingerprint, "operators"), http.StatusOK)
		assert.Equal(t, sim.release(1, listed[0].Fingerprint, "operators"), http.StatusNotFound)
		sim.advance(3 * time.Second)
		assert.Equal(t, len(sim.quarantined(0)), 0, "the release must reach the other entry")
	})
}

// Guards against different requests that crash one engine after the other, since all have one message in their
// conversations. Requests that share the other messages must be served.
func TestConversationsWithOneCrashingMessage(t *testing.T) {
	const (
		maxCrashes  = 5
		crashMarker = "POISON"
	)
	runSimulation(t, 2, func(ctx context.Context, sim *simulation) {
		engines := sim.addCrashingEngines(ctx, crashMarker)
		conversation := func(message string, n int) string {
			return fmt.Sprintf(`{"model":"dispatch-llm","messages":[{"role":"system","content":"You help drivers."},`+
				`{"role":"user","content":%q},{"role":"user","content":"question %d"}]}`, message, n)
		}
		for n := range 6 {
			answer := sim.call(n%2, "POST", "/v1/chat/completions", conversation("The yard is open.", n))
			assert.Equal(t, answer.StatusCode, http.StatusOK)
		}
		for n := range 20 {
			answer := sim.call(n%2, "POST", "/v1/chat/completions", conversation(crashMarker, 100+n))
			assert.Assert(t, answer.StatusCode >= http.StatusInternalServerError)
			sim.advance(4 * time.Second)
		}
		crashes := totalCrashes(engines)
		assert.Assert(t, crashes <= maxCrashes, "%d crashes", crashes)
		last := sim.call(0, "POST", "/v1/chat/completions", conversation(crashMarker, 200))
		assert.Equal(t, last.Header.Get("Filberttrack-Outcome"), "NotRun")
		assert.Assert(t, last.Header.Get("Retry-After") != "")
		for n := range 6 {
			answer := sim.call(n%2, "POST", "/v1/chat/completions", conversation("The yard is closed.", 300+n))
			assert.Equal(t, answer.StatusCode, http.StatusOK, "conversations share the other messages")
		}
		sim.advance(time.Second)
		for entry := range 2 {
			listed := slices.DeleteFunc(sim.quarantined(entry), func(l crash.ListedFingerprint) bool { return l.Standing != "PartConvicted" })
			assert.Equal(t, len(listed), 1, "operators see the message at both entries")
			if entry == 1 {
				assert.Equal(t, sim.release(1, listed[0].Fingerprint, "operators"), http.StatusOK)
				assert.Equal(t, sim.release(1, listed[0].Fingerprint, "operators"), http.StatusNotFound)
			}
		}
	})
}

// addCrashingEngines replaces the engines by six that crash when they start a prompt with the marker.
func (sim *simulation) addCrashingEngines(ctx context.Context, marker string) []*engine.Engine {
	engines := make([]*engine.Engine, 6)
	for i := range engines {
		engines[i] = engine.New(sim.clock, engine.Settings{
			Model: "dispatch-llm", StepTime: 10 * time.Millisecond, PoisonMarker: marker,
			RestartAfter: 300 * time.Millisecond,
		})
		if i < len(sim.engines) {
			sim.transport.Serve(fmt.Sprintf("agent-%d", i+1), engines[i])
			continue
		}
		sim.addAgent(ctx, fmt.Sprintf("agent-%d", i+10), "dispatch-llm", engines[i])
	}
	sim.advance(5 * time.Second)
	return engines
}

// totalCrashes returns the number of crashes of all engines.
func totalCrashes(engines []*engine.Engine) int64 {
	crashes := int64(0)
	for _, e := range engines {
		crashes += e.Counts().Crashes
	}
	return crashes
}

// quarantined returns the fingerprints of crashing requests that an entry lists to
// operators.
func (sim *simulation) quarantined(entry int) []crash.ListedFingerprint {
	recorder := httptest.NewRecorder()
	sim.entries[entry].AdminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, crash.ListPath, nil))
	var listed []crash.ListedFingerprint
	assert.NilError(sim.t, json.Unmarshal(recorder.Body.Bytes(), &listed))
	return listed
}

// release has an operator end a quarantine and returns the status code.
func (sim *simulation) release(entry int, fingerprint, token string) int {
	body := fmt.Sprintf(`{"Fingerprint":%q}`, fingerprint)
	request := httptest.NewRequest(http.MethodPost, crash.ReleasePath, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	sim.entries[entry].AdminHandler().ServeHTTP(recorder, request)
	return recorder.Code
}

// Offers twice the capacity of a service for a while. Goodput must stay near the
// capacity, and excess requests must be refused quickly, but no bookings.
func TestOverload(t *testing.T) {
	const (
		replicas    = 2
		parallelism = 8
		serviceTime = 100 * time.Millisecond
		capacity    = replicas * parallelism * 10
		duration    = 8 * time.Second
		minGoodput  = 0.9
		timeout     = time.Second
	)
	runSimulation(t, 1, func(ctx context.Context, sim *simulation) {
		for i := range replicas {
			slots := make(chan struct{}, parallelism)
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/bookings" {
					http.NotFound(w, r)
					return
				}
				slots <- struct{}{}
				defer func() { <-slots }()
				time.Sleep(serviceTime)
				w.WriteHeader(http.StatusOK)
			})
			if i == 0 {
				sim.transport.Serve("agent-3", handler)
			} else {
				sim.addAgent(ctx, fmt.Sprintf("agent-%d", i+3), "pickup-desk", handler)
			}
		}
		sim.advance(5 * time.Second)
		var good, refused, late, bookingsRefused, refusedLate atomic.Int64
		var group sync.WaitGroup
		began := time.Now()
		for i := range int(2 * capacity * duration / time.Second) {
			time.Sleep(time.Second / (2 * capacity))
			group.Go(func() {
				method, header := "GET", []string{"Filberttrack-Timeout", timeout.String()}
				if i%10 == 0 {
					method = "POST"
					header = append(header, "Idempotency-Key", fmt.Sprint("key-", i), "Filberttrack-First-Send", "true")
				}
				started := time.Now()
				answer := sim.call(0, method, bookingsPath, "{}", header...)
				took := time.Since(started)
				switch {
				case answer.StatusCode == http.StatusOK && took <= timeout:
					good.Add(1)
				case answer.StatusCode == http.StatusServiceUnavailable:
					refused.Add(1)
					assert.Check(t, answer.Header.Get("Retry-After") != "")
					if took > timeout/2 {
						refusedLate.Add(1)
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
		goodput := float64(good.Load()) / (capacity * time.Since(began).Seconds())
		t.Logf("goodput %.3f of capacity; refused %d, of these bookings %d, refused after half the timeout %d; late %d",
			goodput, refused.Load(), bookingsRefused.Load(), refusedLate.Load(), late.Load())
		assert.Assert(t, goodput >= minGoodput)
		assert.Equal(t, bookingsRefused.Load(), int64(0))
		assert.Equal(t, refusedLate.Load(), int64(0))
	})
}

// Makes one of two engines hang. A hedged attempt at the other must give each client
// the complete answer exactly once.
func TestHedge(t *testing.T) {
	const (
		hedgeDelay = 100 * time.Millisecond
		maxWait    = 400 * time.Millisecond
		requests   = 6
	)
	runSimulation(t, 0, func(ctx context.Context, sim *simulation) {
		for i := range sim.settings.Profile {
			sim.settings.Profile[i].Hedge.After = hedgeDelay
		}
		sim.addEntry(ctx, "entry-1")
		sim.advance(time.Second)
		want := sim.generate()
		sim.engines[0].Pause()
		for range requests {
			started := time.Now()
			assert.Equal(t, sim.generate(), want)
			assert.Assert(t, time.Since(started) <= maxWait)
			sim.advance(time.Second)
		}
		hedges := strings.Count(sim.transcript.String(), `"Reason":"Hedge"`)
		t.Logf("%d hedges for %d requests", hedges, requests)
		assert.Assert(t, hedges > 0)
		sim.engines[0].Resume()
	})
}

// generate sends a request for a generation and returns the generated text.
func (sim *simulation) generate() string {
	response := sim.call(0, "POST", "/v1/chat/completions", generation)
	assert.Equal(sim.t, response.StatusCode, http.StatusOK)
	var body struct {
		Choices []struct{ Message struct{ Content string } }
	}
	assert.NilError(sim.t, json.NewDecoder(response.Body).Decode(&body))
	return body.Choices[0].Message.Content
}
