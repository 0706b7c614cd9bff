package proxy_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/proxy"
)

func TestStatusAndNumberOfCalls(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		script []behaviour
		status int
		calls  int
	}{
		{"a request is served", "/status/1", nil, 200, 1},
		{"idempotent: retried after a connection reset", "/status/1", []behaviour{resetsBeforeHead}, 200, 2},
		{"idempotent: retried after an interrupted answer", "/status/1", []behaviour{resetsInBody}, 200, 2},
		{"idempotent: retried after a replica's internal error", "/status/1", []behaviour{answers500}, 200, 2},
		{"idempotent: sent at most MaxAttempts times", "/status/1", []behaviour{resetsBeforeHead, truncatesBody}, 502, 2},
		{"the internal error of the last attempt is relayed", "/status/1", []behaviour{answers500, answers500}, 500, 2},
		{"non-idempotent: not retried after a connection reset", "/book/1", []behaviour{resetsBeforeHead}, 502, 1},
		{"non-idempotent: not retried after an interrupted answer", "/book/1", []behaviour{truncatesBody}, 502, 1},
		{"non-idempotent: not retried after an internal error", "/book/1", []behaviour{answers500}, 500, 1},
		{"non-idempotent: retried if no replica was reached", "/book/1", []behaviour{unreachable, unreachable}, 200, 3},
		{"non-idempotent: retried if the replica did not run it", "/book/1", []behaviour{atCapacity}, 200, 2},
		{"503 if no replica has run the request", "/book/1", []behaviour{atCapacity, atCapacity}, 503, 2},
		{"502 if a replica may have run the request", "/book/1", []behaviour{atCapacity, resetsBeforeHead}, 502, 2},
		{"502 for a replica's 503 if it ran the request", "/book/1", []behaviour{answers503AfterRunning}, 502, 1},
		{"an unsealed answer is not relayed", "/book/1", []behaviour{answersUnsealed}, 502, 1},
		{"another replica at the address", "/status/1", []behaviour{otherReplicaAtAddress}, 200, 2},
		{"no retry within a broken rank group", "/notes/1", []behaviour{groupBroken}, 503, 1},
		{"no route", "/other/1", nil, 404, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(c.script...)
			got, err := h.post(c.path)
			assert.NilError(t, err)
			assert.Equal(t, got.Code, c.status, "%s", got.Header().Get("Reason"))
			assert.Equal(t, len(h.calls), c.calls)
			if c.status == http.StatusServiceUnavailable {
				assert.Assert(t, got.Header().Get("Retry-After") != "", "a 503 answer has a Retry-After header")
			}
		})
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	h := newHarness()
	_, err := h.post("/book/a%2Fb?c=d&e")
	assert.NilError(t, err)
	call := h.calls[0]
	assert.Equal(t, call.Target, "/book/a%2Fb?c=d&e")
	assert.Equal(t, string(call.Body), "bales")
	assert.Equal(t, call.Account, "mills")
	assert.Equal(t, call.Header.Get("Note"), "kept")
	assert.Equal(t, call.TimeLeft, time.Second)
}

func TestAPIKeys(t *testing.T) {
	h := newHarness()
	request := &proxy.Request{
		ID: "r", Host: host, Method: http.MethodPost, Target: "/book/1", Path: "/book/1", APIKey: "stolen",
	}
	got, err := h.send(request)
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusUnauthorized)
	request.Target, request.Path = "/free/1", "/free/1"
	got, err = h.send(request)
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusOK)
	assert.Equal(t, h.calls[0].Account, "")
}

// Guards against a 401 or 404 for a key or route that a newer configuration has, by an entry that can't read it.
func TestUnknownKeysAndRoutesWhileTheConfigurationIsNotConfirmed(t *testing.T) {
	h := newHarness()
	request := &proxy.Request{ID: "r", Host: host, Method: http.MethodPost, Target: "/book/1", Path: "/book/1"}
	for _, c := range []struct {
		path, key                 string
		status, confirmed         int
		reason, reasonIfConfirmed string
	}{
		{"/book/1", "new", http.StatusServiceUnavailable, http.StatusUnauthorized, "ConfigurationNotConfirmed", "UnknownKey"},
		{"/new/1", "key", http.StatusServiceUnavailable, http.StatusNotFound, "ConfigurationNotConfirmed", "NoRoute"},
		{"/book/1", "key", http.StatusOK, http.StatusOK, "", ""},
	} {
		request.Target, request.Path, request.APIKey = c.path, c.path, c.key
		h.unconfirmed = true
		got, err := h.send(request)
		assert.NilError(t, err)
		assert.Equal(t, got.Code, c.status)
		assert.Equal(t, got.Header().Get("Reason"), c.reason)
		assert.Equal(t, got.Header().Get("Retry-After") != "", c.status != http.StatusOK)
		h.unconfirmed = false
		got, err = h.send(request)
		assert.NilError(t, err)
		assert.Equal(t, got.Code, c.confirmed)
		assert.Equal(t, got.Header().Get("Reason"), c.reasonIfConfirmed)
	}
}

func TestRequestsGet503BeforeTheFirstConfiguration(t *testing.T) {
	h := newHarness()
	h.table = nil
	got, err := h.post("/book/1")
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusServiceUnavailable)
}

func TestStreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []behaviour
		calls  int
		cutOff bool
	}{
		{"whole", nil, 1, false},
		{"resumed after a connection reset", []behaviour{resetsInBody}, 2, false},
		{"resumed twice", []behaviour{resetsInBody, truncatesBody}, 2, false},
		{"resumed after an end inside an event", []behaviour{endsInEvent}, 2, false},
		{"resumed after a missing event", []behaviour{skipsEvent}, 2, false},
		{"resumed after a repeated event", []behaviour{repeatsEvent}, 2, false},
		{"started on another replica", []behaviour{resetsBeforeHead, atCapacity}, 3, false},
		{"interrupted if no replica can resume it", []behaviour{skipsEvent, resetsBeforeHead, resetsBeforeHead}, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(c.script...)
			got, err := h.post("/notes/1")
			assert.Equal(t, errors.Is(err, proxy.ErrIncompleteAnswer), c.cutOff)
			if !c.cutOff {
				assert.Equal(t, got.Body.String(), eventsAfter("", serves))
			}
			if c.name != "resumed twice" {
				assert.Equal(t, len(h.calls), c.calls)
			}
			assert.Equal(t, got.Header().Get("Seal"), "s")
		})
	}
}

// Guards against the error of the replica that is to continue a stream, within that stream, and against such a
// stream that counts as complete.
func TestStreamThatNoReplicaContinues(t *testing.T) {
	for _, second := range []behaviour{answers500, answers404, answersErrorAs200, answers503AfterRunning, atCapacity, otherReplicaAtAddress, answersUnsealed} {
		h := newHarness(resetsInBody, second, second, second)
		got, err := h.post("/notes/1")
		assert.ErrorIs(t, err, proxy.ErrIncompleteAnswer, "behaviour %d", second)
		whole := eventsAfter("", serves)
		assert.Assert(t, strings.HasPrefix(whole, got.Body.String()) && got.Body.Len() > 0, "behaviour %d: %q", second, got.Body)
	}
}

func TestClientResumesStream(t *testing.T) {
	h := newHarness()
	got, err := h.send(&proxy.Request{
		ID: "r", Host: host, Method: http.MethodPost, Target: "/notes/1", Path: "/notes/1", APIKey: "key", ResumeAfter: "3",
	})
	assert.NilError(t, err)
	assert.Equal(t, got.Body.String(), eventsAfter("3", serves))
}

// TestGuarantees checks what clients rely on against replicas that behave at random.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Filter(func(n int) bool {
				return behaviour(n) != hangsInBody && behaviour(n) != dripsBytes && behaviour(n) != dripsComments && behaviour(n) != endlessBody
			}).Draw(t, "behaviour"))
		}), 0, 6).Draw(t, "script")
		path := rapid.SampledFrom([]string{"/status/1", "/book/1", "/notes/1"}).Draw(t, "path")
		if path != "/notes/1" {
			// The text of an error with status 200 can be told from an answer in streams only.
			script = slices.DeleteFunc(script, func(b behaviour) bool { return b == answersErrorAs200 })
		}
		h := newHarness(script...)
		got, err := h.post(path)
		if path == "/book/1" {
			assert.Assert(t, h.runs <= 1, "ran %d times", h.runs)
		}
		if promisesNotRun(got.Code) {
			assert.Equal(t, h.runs, 0, "status %d tells the client that the request did not run", got.Code)
		}
		if got.Code != http.StatusOK {
			return
		}
		assert.Equal(t, got.Header().Get("Seal"), "s", "status 200 comes from a replica")
		complete := "booked"
		if path == "/notes/1" {
			complete = eventsAfter("", serves)
		}
		assert.Assert(t, strings.HasPrefix(complete, got.Body.String()),
			"the answer has missing, repeated or reordered parts: %q", got.Body)
		assert.Equal(t, err == nil, got.Body.String() == complete,
			"Serve must return an error if, and only if, the answer is incomplete")
	})
}

func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	var script []behaviour
	for range 400 {
		script = append(script, resetsBeforeHead)
	}
	h := newHarness(script...)
	for i := range 200 {
		_, err := h.send(&proxy.Request{
			ID: "r", Host: host, Method: http.MethodGet, Target: "/status/", Path: "/status/", APIKey: "key",
		})
		assert.NilError(t, err, "request %d", i)
		h.clock.Advance(10 * time.Millisecond)
	}
	retries := len(h.calls) - 200
	assert.Assert(t, retries <= 0.2*200+50, "%d retries", retries)
}

// A rank that has become twelve times slower delays its whole group, since each pass of the
// group waits for the requests that the slow rank runs itself. Its streams must move to
// another replica.
func TestStreamsMoveAwayFromSlowRank(t *testing.T) {
	h := newHarness(hangsInBody)
	type result struct {
		got *httptest.ResponseRecorder
		err error
	}
	results := make(chan result, 1)
	go func() {
		got, err := h.post("/notes/1")
		results <- result{got, err}
	}()
	<-h.hung
	slow := h.calls[0].Replica
	h.pools["llm"].SetRank(slow.Address, batch.RankState{Group: "g", Working: true, Slowdown: 12})
	r := <-results
	assert.NilError(t, r.err)
	assert.Equal(t, r.got.Body.String(), eventsAfter("", serves))
	assert.Equal(t, len(h.calls), 2)
	assert.Assert(t, h.calls[1].Replica.ID != slow.ID)
	assert.Equal(t, h.calls[1].ResumeAfter, "1")
}

func TestRequestThatCrashesReplicasIsBarred(t *testing.T) {
	h := newHarness(crashes, crashes, crashes, crashes, crashes)
	_, err := h.post("/notes/1")
	assert.NilError(t, err)
	assert.Equal(t, len(h.calls), 3)
	got, err := h.post("/notes/1")
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusServiceUnavailable)
	assert.Equal(t, got.Header().Get("Reason"), "CrashesReplicas")
	assert.Equal(t, got.Header().Get("Retry-After"), "10m0s")
	assert.Equal(t, len(h.calls), 3, "a barred request is not sent to a replica")
	h.script = nil
	h.clock.Advance(5 * time.Second)
	got, err = h.post("/notes/2")
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusOK, "other requests are served")
}

// Guards against a request that goes on to crash replicas for as long as the list shows the crashed ones.
func TestCrashingRequestIsBarredWhileCrashedReplicasAreListed(t *testing.T) {
	h := newHarness(slices.Repeat([]behaviour{crashesUnnoticed}, 20)...)
	for range 2 {
		_, err := h.post("/status/1")
		assert.NilError(t, err)
	}
	assert.Equal(t, h.runs, 3)
	var reasons []string
	for range 3 {
		got, err := h.post("/status/1")
		assert.NilError(t, err)
		reasons = append(reasons, got.Header().Get("Reason"))
		h.clock.Advance(time.Second)
		h.replaceCrashed()
	}
	assert.Equal(t, h.runs, 3, "replicas that took the place of crashed ones must not get the request")
	assert.DeepEqual(t, reasons, []string{"CrashesReplicas", "CrashesReplicas", "CrashesReplicas"})
}

// Guards against requests that crash one replica after the other since they all have one part in their prompts.
// None of them comes twice.
func TestPartOfAPromptThatCrashesReplicasIsBarred(t *testing.T) {
	h := newHarness()
	h.crashingPart = "bad"
	post := func(n int, parts ...string) *httptest.ResponseRecorder {
		path := fmt.Sprint("/notes/", n)
		got, err := h.send(&proxy.Request{
			ID: track.RequestID(path), Host: host, Method: http.MethodPost, Target: path, Path: path, Body: []byte(path),
			APIKey: "key", TimeLeft: 8 * time.Second, PromptParts: parts,
		})
		assert.NilError(t, err)
		return got
	}
	for n := range 20 {
		assert.Equal(t, post(n, "kind", fmt.Sprint("yard-", n%3)).Code, http.StatusOK)
	}
	h.calls, h.runs, h.crashes = nil, 0, 0
	for n := range 30 {
		post(100+n, "kind", "bad")
		h.clock.Advance(4 * time.Second)
		h.replaceCrashed()
	}
	assert.Assert(t, h.crashes <= 5, "%d crashes", h.crashes)
	got := post(200, "kind", "bad", "yard-1")
	assert.Equal(t, got.Code, http.StatusServiceUnavailable)
	assert.Equal(t, got.Header().Get("Reason"), "PartCrashesReplicas")
	for n := range 30 {
		assert.Equal(t, post(300+n, "kind", fmt.Sprint("yard-", n%4)).Code, http.StatusOK, "sound requests share the other parts")
	}
}

// When a group has lost a rank, all its replicas answer that they did not run the request.
func TestRequestToBrokenRankGroup(t *testing.T) {
	for _, c := range []struct {
		name   string
		groups []string
		code   int
		after  string
	}{
		{"another group is available", []string{"a", "a", "b"}, http.StatusOK, ""},
		{"no other group is available", []string{"a", "a", "a"}, http.StatusServiceUnavailable, "1.5s"},
		{"the groups are unknown", []string{"", "", ""}, http.StatusServiceUnavailable, "1.5s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(groupBroken)
			for i, group := range c.groups {
				// The least loaded replica is the first one of the broken group.
				h.pools["llm"].SetRank(replicaAddress("llm", i), batch.RankState{Group: group, Working: true, Slowdown: 1})
			}
			others := map[track.ReplicaID]track.InFlight{"llm-1": {Running: 3}, "llm-2": {Running: 3}}
			h.pools["llm"].SetOtherInFlight(others)
			got, err := h.post("/notes/1")
			assert.NilError(t, err)
			assert.Equal(t, got.Code, c.code)
			assert.Equal(t, got.Header().Get("Retry-After"), c.after)
		})
	}
}

// A client of a stopping entry gets a refusal at once rather than an answer that breaks off when
// the entry stops.
func TestStoppingEntryRefusesRequestsThatWouldBeCutOff(t *testing.T) {
	for _, c := range []struct {
		name string
		// served is how long earlier streams took; 0 if there were none.
		served time.Duration
		// timeout is how long the client waits, rerouted the time until refused clients reach another
		// entry, and left the time until the stop.
		timeout, rerouted time.Duration
		left              time.Duration
		code              int
	}{
		{"streams take longer than is left", 5 * time.Second, 8 * time.Second, time.Second, 4600 * time.Millisecond, http.StatusServiceUnavailable},
		{"streams end in time", 3 * time.Second, 8 * time.Second, time.Second, 4600 * time.Millisecond, http.StatusOK},
		{
			"streams end in time, but this one may not, and its client reaches another entry",
			100 * time.Millisecond, 8 * time.Second, 0, 7900 * time.Millisecond, http.StatusServiceUnavailable,
		},
		{"all end in time", 100 * time.Millisecond, 8 * time.Second, 0, 8 * time.Second, http.StatusOK},
		{"unknown durations, less left than the timeout", 0, time.Second, time.Second, 900 * time.Millisecond, http.StatusServiceUnavailable},
		{"unknown durations, more left than the timeout", 0, time.Second, time.Second, 1100 * time.Millisecond, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			if c.served > 0 {
				grant, err := h.pools["llm"].Acquire(t.Context(), batch.AdmissionRequest{
					WaitUntil: h.clock.Now().Add(time.Second), OnTimeUntil: h.clock.Now().Add(time.Second),
					Deadline: h.clock.Now().Add(time.Second),
				})
				assert.NilError(t, err)
				h.clock.Advance(c.served)
				grant.Done(batch.Result{Verdict: batch.Served})
			}
			h.proxy.Stop(proxy.Stop{ReroutedAt: h.clock.Now().Add(c.rerouted), EndAt: h.clock.Now().Add(c.left)})
			request := newRequest("/notes/1")
			request.TimeLeft = c.timeout
			got, err := h.send(request)
			assert.NilError(t, err)
			assert.Equal(t, got.Code, c.code)
			if c.code != http.StatusOK {
				assert.Equal(t, got.Header().Get("Reason"), "Stopping")
				assert.Equal(t, got.Header().Get("Retry-After"), "20ms")
				assert.Equal(t, len(h.calls), 0, "a refused request is not sent to a replica")
			}
		})
	}
}

// Guards against requests that come late in a planned stop, on kept connections as well, and are cut off without an
// answer, among them such as must not run twice.
func TestRequestsThatComeLateInAStopAreAnswered(t *testing.T) {
	for _, c := range []struct {
		path string
		// rerouted is the time until refused clients reach another entry.
		rerouted time.Duration
		left     time.Duration
		code     int
		sent     int
	}{
		{"/book/1", time.Second, 900 * time.Millisecond, http.StatusServiceUnavailable, 0},
		{"/book/1", time.Second, 1100 * time.Millisecond, http.StatusGatewayTimeout, 1},
		{"/status/1", time.Second, 900 * time.Millisecond, http.StatusGatewayTimeout, 1},
		{"/status/1", 0, 900 * time.Millisecond, http.StatusServiceUnavailable, 0},
		{"/status/1", 0, 1100 * time.Millisecond, http.StatusGatewayTimeout, 1},
		{"/notes/1", time.Second, 900 * time.Millisecond, http.StatusGatewayTimeout, 1},
		{"/notes/1", 0, 900 * time.Millisecond, http.StatusServiceUnavailable, 0},
		{"/notes/1", 0, 1100 * time.Millisecond, http.StatusGatewayTimeout, 1},
	} {
		t.Run(fmt.Sprintf("%s with %s left, rerouted after %s", c.path, c.left, c.rerouted), func(t *testing.T) {
			h := newHarness(hangsBeforeHead, hangsBeforeHead, hangsBeforeHead)
			for _, service := range []string{"desk", "llm"} {
				grant, err := h.pools[service].Acquire(t.Context(), batch.AdmissionRequest{
					WaitUntil: h.clock.Now().Add(time.Second), OnTimeUntil: h.clock.Now().Add(time.Second),
					Deadline: h.clock.Now().Add(time.Second),
				})
				assert.NilError(t, err)
				h.clock.Advance(30 * time.Millisecond)
				grant.Done(batch.Result{Verdict: batch.Served})
			}
			h.proxy.Stop(proxy.Stop{ReroutedAt: h.clock.Now().Add(c.rerouted), EndAt: h.clock.Now().Add(c.left)})
			type answer struct {
				got *httptest.ResponseRecorder
				err error
			}
			answers := make(chan answer, 1)
			go func() {
				got, err := h.post(c.path)
				answers <- answer{got, err}
			}()
			if c.sent > 0 {
				<-h.hung
				h.clock.Advance(c.left)
			}
			a := <-answers
			assert.NilError(t, a.err)
			assert.Equal(t, a.got.Code, c.code)
			assert.Equal(t, len(h.calls), c.sent)
		})
	}
}

// Guards against a request that is sent to a replica after the stop has begun, since it waited or was declined
// before, and is cut off.
func TestStopMeanwhileKeepsRequestsFromReplicas(t *testing.T) {
	for code, left := range map[int]time.Duration{
		http.StatusServiceUnavailable: 900 * time.Millisecond,
		http.StatusOK:                 1100 * time.Millisecond,
	} {
		h := newHarness(atCapacity)
		h.onCall = func() { h.proxy.Stop(proxy.Stop{EndAt: h.clock.Now().Add(left)}) }
		got, err := h.post("/notes/1")
		assert.NilError(t, err)
		assert.Equal(t, got.Code, code)
		if code != http.StatusOK {
			assert.Equal(t, got.Header().Get("Reason"), "Stopping")
			assert.Equal(t, len(h.calls), 1)
		}
	}
}

func TestLeavingAndRestingReplicasGetNoRequests(t *testing.T) {
	for _, b := range []behaviour{leaves, rests} {
		h := newHarness(b)
		for range 20 {
			got, err := h.post("/notes/1")
			assert.NilError(t, err)
			assert.Equal(t, got.Code, http.StatusOK)
		}
		first := h.calls[0].Replica.ID
		for _, call := range h.calls[1:] {
			assert.Assert(t, call.Replica.ID != first)
		}
	}
}

// When all replicas rest, callers are refused at once, without a further call to a replica.
func TestAllReplicasRest(t *testing.T) {
	h := newHarness(rests, rests, rests)
	got, err := h.post("/book/1")
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusServiceUnavailable)
	assert.Equal(t, len(h.calls), 2, "a request is sent at most MaxAttempts times")
	_, err = h.post("/book/2")
	assert.NilError(t, err)
	calls := len(h.calls)
	for range 10 {
		got, err = h.post("/book/3")
		assert.NilError(t, err)
		assert.Equal(t, got.Code, http.StatusServiceUnavailable)
		assert.Equal(t, got.Header().Get("Reason"), "Resting")
		assert.Equal(t, got.Header().Get("Retry-After"), restTime.String())
	}
	assert.Equal(t, len(h.calls), calls)
}

// A stream whose replica sends a byte or a comment now and then, but no event, continues on another
// replica before its client leaves.
func TestStreamThatDripsMovesToAnotherReplica(t *testing.T) {
	for _, b := range []behaviour{dripsBytes, dripsComments} {
		h := newHarness(b)
		start := h.clock.Now()
		got, err := h.send(&proxy.Request{
			ID: "r", Host: host, Method: http.MethodPost, Target: "/notes/1", Path: "/notes/1", APIKey: "key", TimeLeft: 8 * time.Second,
		})
		assert.NilError(t, err)
		assert.Equal(t, strings.ReplaceAll(got.Body.String(), ": still here\n\n", ""), eventsAfter("", serves))
		assert.Equal(t, len(h.calls), 2)
		assert.Equal(t, h.calls[1].ResumeAfter, "1")
		assert.Equal(t, h.clock.Since(start), maxDrips*dripInterval)
	}
}

// countingWriter counts the bytes of an answer.
type countingWriter struct {
	http.ResponseWriter
	written int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.written += len(p)
	return len(p), nil
}

// The answer of a replica that never ends is cut off, so that its client doesn't take it for complete.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	h := newHarness(endlessBody)
	w := &countingWriter{ResponseWriter: httptest.NewRecorder()}
	err := h.proxy.Serve(t.Context(), w, &proxy.Request{
		ID: "r", Host: host, Method: http.MethodGet, Target: "/status/1", Path: "/status/1", APIKey: "key", TimeLeft: time.Second,
	})
	assert.Assert(t, errors.Is(err, proxy.ErrIncompleteAnswer))
	assert.Assert(t, w.written <= 16<<20, "%d bytes", w.written)
	got, err := h.post("/notes/1")
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusOK)
}

// A stream of bytes that never completes an event is left once it exceeds the size of an event.
func TestEndlessEventIsLeft(t *testing.T) {
	h := newHarness(endlessBody)
	got, err := h.post("/notes/1")
	assert.NilError(t, err)
	assert.Equal(t, got.Body.String(), eventsAfter("", serves))
	assert.Equal(t, len(h.calls), 2)
}

func Example() {
	h := newHarness(unreachable)
	got, err := h.post("/book/1")
	fmt.Println(got.Code, got.Body, err, "calls:", len(h.calls))
	// Output: 200 booked <nil> calls: 2
}
