package proxy_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/proxy"
)

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		script []behaviour
		status int
		calls  int
	}{
		{"a call is served", "/status/1", nil, 200, 1},
		{"an idempotent call is repeated after a reset", "/status/1", []behaviour{resetsBeforeHead}, 200, 2},
		{"and after an answer that broke off", "/status/1", []behaviour{resetsInBody}, 200, 2},
		{"and after a replica's failure", "/status/1", []behaviour{failsItself}, 200, 2},
		{"two attempts are the most", "/status/1", []behaviour{resetsBeforeHead, endsInBody}, 502, 2},
		{"a replica's failure is passed on at the end", "/status/1", []behaviour{failsItself, failsItself}, 500, 2},
		{"a booking is never repeated after a reset", "/book/1", []behaviour{resetsBeforeHead}, 502, 1},
		{"nor after an answer that broke off", "/book/1", []behaviour{endsInBody}, 502, 1},
		{"nor after a failure", "/book/1", []behaviour{failsItself}, 500, 1},
		{"it is sent elsewhere if no replica got it", "/book/1", []behaviour{unreachable, unreachable}, 200, 3},
		{"or if the replica says that it didn't run it", "/book/1", []behaviour{full}, 200, 2},
		{"not run anywhere is told so", "/book/1", []behaviour{full, full}, 503, 2},
		{"but not if it may have run", "/book/1", []behaviour{full, resetsBeforeHead}, 502, 2},
		{"a replica's 503 is no promise that it didn't run", "/book/1", []behaviour{says503ButRan}, 502, 1},
		{"an answer without a seal is no success", "/book/1", []behaviour{notSealed}, 502, 1},
		{"a replica that left its address", "/status/1", []behaviour{misplaced}, 200, 2},
		{"a broken group is not asked again", "/notes/1", []behaviour{groupBroken}, 503, 1},
		{"no route", "/other/1", nil, 404, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(c.script...)
			got, err := w.ask(c.path)
			assert.NilError(t, err)
			assert.Equal(t, got.Code, c.status, "%s", got.Header().Get("Reason"))
			assert.Equal(t, len(w.calls), c.calls)
			if c.status == http.StatusServiceUnavailable {
				assert.Assert(t, got.Header().Get("Retry-After") != "", "a refusal names the time to come back")
			}
		})
	}
}

func TestForwardsTheRequestAsItIs(t *testing.T) {
	w := newWorld()
	_, err := w.ask("/book/a%2Fb?c=d&e")
	assert.NilError(t, err)
	call := w.calls[0]
	assert.Equal(t, call.Target, "/book/a%2Fb?c=d&e")
	assert.Equal(t, string(call.Body), "bales")
	assert.Equal(t, call.Account, "mills")
	assert.Equal(t, call.Header.Get("Note"), "kept")
	assert.Equal(t, call.TimeLeft, time.Second)
}

func TestKeys(t *testing.T) {
	w := newWorld()
	request := &proxy.Request{ID: "r", Host: host, Method: http.MethodPost, Target: "/book/1", Path: "/book/1", Key: "stolen"}
	got, err := w.send(request)
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusUnauthorized)
	request.Target, request.Path = "/free/1", "/free/1"
	got, err = w.send(request)
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusOK)
	assert.Equal(t, w.calls[0].Account, "")
}

func TestWithoutAConfigurationNobodyIsDenied(t *testing.T) {
	w := newWorld()
	w.table = nil
	got, err := w.ask("/book/1")
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusServiceUnavailable)
}

func TestStreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []behaviour
		calls  int
		cut    bool
	}{
		{"whole", nil, 1, false},
		{"resumed after a reset", []behaviour{resetsInBody}, 2, false},
		{"resumed twice", []behaviour{resetsInBody, endsInBody}, 2, false},
		{"resumed after a missing event", []behaviour{skipsEvent}, 2, false},
		{"resumed after a repeated event", []behaviour{repeatsEvent}, 2, false},
		{"begun elsewhere", []behaviour{resetsBeforeHead, full}, 3, false},
		{"cut off if nobody goes on", []behaviour{skipsEvent, resetsBeforeHead, resetsBeforeHead}, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(c.script...)
			got, err := w.ask("/notes/1")
			assert.Equal(t, errors.Is(err, proxy.ErrCutOff), c.cut)
			if !c.cut {
				assert.Equal(t, got.Body.String(), eventsAfter("", serves))
			}
			if c.name != "resumed twice" {
				assert.Equal(t, len(w.calls), c.calls)
			}
			assert.Equal(t, got.Header().Get("Seal"), "s")
		})
	}
}

func TestAClientResumesAStream(t *testing.T) {
	w := newWorld()
	got, err := w.send(&proxy.Request{ID: "r", Host: host, Method: http.MethodPost, Target: "/notes/1", Path: "/notes/1", Key: "key", ResumeAfter: "3"})
	assert.NilError(t, err)
	assert.Equal(t, got.Body.String(), eventsAfter("3", serves))
}

// TestPromises plays random replicas and checks what users rely on.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviours)-1).Filter(func(n int) bool { return behaviour(n) != hangsInBody }).Draw(t, "behaviour"))
		}), 0, 6).Draw(t, "script")
		path := rapid.SampledFrom([]string{"/status/1", "/book/1", "/notes/1"}).Draw(t, "path")
		w := newWorld(script...)
		got, err := w.ask(path)
		if path == "/book/1" {
			assert.Assert(t, w.runs <= 1, "ran %d times", w.runs)
		}
		if promisesNotRun(got.Code) {
			assert.Equal(t, w.runs, 0, "told %d, which promises that it did not run", got.Code)
		}
		if got.Code != http.StatusOK {
			return
		}
		assert.Equal(t, got.Header().Get("Seal"), "s", "a success is a replica's")
		whole := "booked"
		if path == "/notes/1" {
			whole = eventsAfter("", serves)
		}
		assert.Assert(t, strings.HasPrefix(whole, got.Body.String()), "pieces are in order, none twice: %q", got.Body)
		assert.Equal(t, err == nil, got.Body.String() == whole, "an answer that looks complete is complete")
	})
}

func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func TestRetriesStopAtTheSharedBudget(t *testing.T) {
	var script []behaviour
	for range 400 {
		script = append(script, resetsBeforeHead)
	}
	w := newWorld(script...)
	for i := range 200 {
		_, err := w.send(&proxy.Request{ID: "r", Host: host, Method: http.MethodGet, Target: "/status/", Path: "/status/", Key: "key"})
		assert.NilError(t, err, "request %d", i)
		w.clock.Advance(10 * time.Millisecond)
	}
	repeats := len(w.calls) - 200
	assert.Assert(t, repeats <= 0.2*200+50, "%d repeats", repeats)
}

// The pattern: a rank has become twelve times slower, and each pass of its group waits
// for the requests that it runs itself.
func TestStreamsLeaveASlowRank(t *testing.T) {
	w := newWorld(hangsInBody)
	type end struct {
		got *httptest.ResponseRecorder
		err error
	}
	ends := make(chan end, 1)
	go func() {
		got, err := w.ask("/notes/1")
		ends <- end{got, err}
	}()
	<-w.hung
	slow := w.calls[0].Replica
	w.pools["llm"].SetRank(slow.Address, batch.RankState{Group: "g", Working: true, Slowdown: 12})
	e := <-ends
	assert.NilError(t, e.err)
	assert.Equal(t, e.got.Body.String(), eventsAfter("", serves))
	assert.Equal(t, len(w.calls), 2)
	assert.Assert(t, w.calls[1].Replica.ID != slow.ID)
	assert.Equal(t, w.calls[1].ResumeAfter, "1")
}

func TestARequestThatCrashesReplicasIsBarred(t *testing.T) {
	w := newWorld(crashes, crashes, crashes, crashes, crashes)
	_, err := w.ask("/notes/1")
	assert.NilError(t, err)
	assert.Equal(t, len(w.calls), 3)
	got, err := w.ask("/notes/1")
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusServiceUnavailable)
	assert.Equal(t, got.Header().Get("Reason"), "CrashesReplicas")
	assert.Equal(t, got.Header().Get("Retry-After"), "10m0s")
	assert.Equal(t, len(w.calls), 3, "no replica gets it any more")
	w.script = nil
	w.clock.Advance(5 * time.Second)
	got, err = w.ask("/notes/2")
	assert.NilError(t, err)
	assert.Equal(t, got.Code, http.StatusOK, "others are served")
}

// The pattern: a rank was lost, and its whole group answers that it ran nothing.
func TestARequestOfABrokenGroup(t *testing.T) {
	for _, c := range []struct {
		name   string
		groups []string
		code   int
		after  string
	}{
		{"goes to another group", []string{"a", "a", "b"}, http.StatusOK, ""},
		{"is told when the group is expected", []string{"a", "a", "a"}, http.StatusServiceUnavailable, "1.5s"},
		{"and so while groups aren't known", []string{"", "", ""}, http.StatusServiceUnavailable, "1.5s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(groupBroken)
			for i, group := range c.groups {
				// The only replica with little to do is the first of the broken group.
				w.pools["llm"].SetRank(address("llm", i), batch.RankState{Group: group, Working: true, Slowdown: 1})
			}
			others := map[track.ReplicaID]track.InFlight{"llm-1": {Running: 3}, "llm-2": {Running: 3}}
			w.pools["llm"].SetOtherInFlight(others)
			got, err := w.ask("/notes/1")
			assert.NilError(t, err)
			assert.Equal(t, got.Code, c.code)
			assert.Equal(t, got.Header().Get("Retry-After"), c.after)
		})
	}
}

func Example() {
	w := newWorld(unreachable)
	got, err := w.ask("/book/1")
	fmt.Println(got.Code, got.Body, err, "calls:", len(w.calls))
	// Output: 200 booked <nil> calls: 2
}
