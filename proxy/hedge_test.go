package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/proxy"
	"filberttrack.example/track/retry"
)

const (
	// warmUp is the number of requests served before the test, which allow 20 hedges at hedgeShare.
	warmUp     = 100
	hedgeShare = 0.2
	// hedgeAfter is the time after which an attempt counts as slow: the warm-up takes no time.
	hedgeAfter = 10 * time.Millisecond
)

// reply is what a replica answers a held call.
type reply struct {
	answer track.ReplicaAnswer
	err    error
}

// heldCall is a call that waits for the test's reply.
type heldCall struct {
	track.ReplicaCall
	ctx   context.Context
	reply chan reply
}

// hedgeWorld is a harness whose calls the test answers one by one. It implements track.ReplicaCaller.
type hedgeWorld struct {
	*harness
	t    testing.TB
	set  *metrics.Set
	logs *observer.ObservedLogs
	// calls receives each call. While it is nil, calls are served at once.
	calls chan *heldCall
	// stubborn calls go on after they were canceled.
	stubborn bool
}

func newHedgeWorld(t testing.TB, share float64, warmUpPath string) *hedgeWorld {
	core, logs := observer.New(zap.InfoLevel)
	w := &hedgeWorld{harness: newHarness(), t: t, set: metrics.NewSet(), logs: logs}
	w.options.Caller, w.options.HedgeShare, w.options.Logger = w, share, zap.New(core)
	w.options.Metrics = proxy.NewMetrics(w.set)
	w.proxy = proxy.New(w.options)
	for range warmUp {
		got, err := w.post(warmUpPath)
		assert.NilError(t, err)
		assert.Equal(t, got.Code, http.StatusOK)
	}
	w.harness.calls = nil
	w.calls = make(chan *heldCall, 4)
	return w
}

// Call implements track.ReplicaCaller.
func (w *hedgeWorld) Call(ctx context.Context, call track.ReplicaCall) (track.ReplicaAnswer, error) {
	if w.calls == nil {
		return w.harness.Call(ctx, call)
	}
	held := &heldCall{call, ctx, make(chan reply, 1)}
	w.calls <- held
	canceled := ctx.Done()
	if w.stubborn {
		canceled = nil
	}
	select {
	case r := <-held.reply:
		return r.answer, r.err
	case <-canceled:
		return track.ReplicaAnswer{}, track.Fail("call", track.Ambiguous, context.Cause(ctx))
	}
}

// result is how a request ended.
type result struct {
	*httptest.ResponseRecorder
	err error
}

// start sends a request in the background.
func (w *hedgeWorld) start(ctx context.Context, path string) <-chan result {
	ended := make(chan result, 1)
	go func() {
		recorder := httptest.NewRecorder()
		err := w.proxy.Serve(ctx, recorder, newRequest(path))
		ended <- result{recorder, err}
	}()
	return ended
}

// startHedged sends a request in the background whose first attempt is slow, and returns both attempts.
func (w *hedgeWorld) startHedged(ctx context.Context, path string) (ended <-chan result, first, hedge *heldCall) {
	ended = w.start(ctx, path)
	first = <-w.calls
	w.clock.Advance(hedgeAfter)
	hedge = <-w.calls
	assert.Assert(w.t, first.Replica.ID != hedge.Replica.ID)
	assert.Equal(w.t, first.RequestID, hedge.RequestID)
	return ended, first, hedge
}

// counted returns the count of a result of hedging, over both services.
func (w *hedgeWorld) counted(result string) int {
	n := 0
	for _, service := range []string{"desk", "llm"} {
		name := fmt.Sprintf("filberttrack_hedges_total{service=%q,result=%q}", service, result)
		n += int(w.set.GetOrCreateCounter(name).Get())
	}
	return n
}

// await waits until a condition holds that the request in the background brings about.
func await(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// checkIdle checks that all grants were given back.
func (w *hedgeWorld) checkIdle() {
	w.t.Helper()
	for _, p := range w.pools {
		assert.Equal(w.t, p.Usage().InFlight, 0)
	}
}

// checkNoCrash checks that no attempt was reported as broken off, and that all replicas get requests.
func (w *hedgeWorld) checkNoCrash() {
	w.t.Helper()
	assert.Equal(w.t, w.logs.FilterMessage("attempt broke off").Len(), 0)
	assert.Equal(w.t, w.pools["desk"].Usage().Capacity, replicaCount*8*2)
	assert.Equal(w.t, w.pools["llm"].Usage().Capacity, replicaCount*8*2)
}

func text(body string) reply { return reply{answer: answer(http.StatusOK, body, nil, sealed)} }

func reset() reply {
	return reply{err: track.Fail("call", track.Ambiguous, errors.New("connection reset"))}
}

// Guards against a slow replica that delays a request although another one has room, and against a loser that counts
// as a crash, keeps its slot or goes on.
func TestHedgeWins(t *testing.T) {
	w := newHedgeWorld(t, hedgeShare, "/status/1")
	before := w.budget.Remaining()
	ended, first, hedge := w.startHedged(t.Context(), "/status/1")
	hedge.reply <- text("from the hedge")
	got := <-ended
	assert.NilError(t, got.err)
	assert.Equal(t, got.Body.String(), "from the hedge")
	assert.ErrorIs(t, first.ctx.Err(), context.Canceled)
	w.checkIdle()
	w.checkNoCrash()
	assert.Equal(t, w.counted("Sent"), 1)
	assert.Equal(t, w.counted("Won"), 1)
	assert.Assert(t, w.budget.Remaining() < before, "the hedge is paid from the retry budget")
	assert.Equal(t, w.logs.FilterMessage("request hedged").Len(), 1)
	line := w.logs.FilterMessage("hedge ended").All()[0].ContextMap()
	assert.Equal(t, line["Result"], "Won")
	assert.Equal(t, line["Replica"], string(hedge.Replica.ID))
	line = w.logs.FilterMessage("request served").All()[warmUp].ContextMap()
	assert.Equal(t, line["Attempts"], int64(2))
	assert.Equal(t, line["Replica"], string(hedge.Replica.ID))
}

// Guards against a hedge that replaces the first answer, or that goes on after it.
func TestFirstAttemptWinsAgainstHedge(t *testing.T) {
	w := newHedgeWorld(t, hedgeShare, "/status/1")
	ended, first, hedge := w.startHedged(t.Context(), "/status/1")
	first.reply <- text("from the first")
	got := <-ended
	assert.Equal(t, got.Body.String(), "from the first")
	assert.ErrorIs(t, hedge.ctx.Err(), context.Canceled)
	w.checkIdle()
	w.checkNoCrash()
	assert.Equal(t, w.counted("Lost"), 1)
}

// Guards against failures of one attempt that reach the client while the other one may still answer, and against a
// failure that isn't reported.
func TestOtherAttemptContinuesAfterFailure(t *testing.T) {
	for name, failure := range map[string]struct {
		reply  reply
		broken bool
	}{
		"reset":     {reset(), true},
		"cut off":   {reply{answer: answer(http.StatusOK, "half", errors.New("connection reset"), sealed)}, true},
		"unsealed":  {reply{answer: answer(http.StatusOK, "odd", nil)}, true},
		"500":       {reply{answer: answer(http.StatusInternalServerError, "sorry", nil, sealed)}, false},
		"429":       {reply{answer: answer(http.StatusTooManyRequests, "sorry", nil, sealed)}, false},
		"declined":  {reply{answer: answer(http.StatusServiceUnavailable, "", nil, notRun)}, false},
		"unreached": {reply{err: track.Fail("call", track.Unavailable, errors.New("connection refused"))}, false},
	} {
		for _, failsFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, first attempt %t", name, failsFirst), func(t *testing.T) {
				w := newHedgeWorld(t, hedgeShare, "/status/1")
				ended, failing, other := w.startHedged(t.Context(), "/status/1")
				if !failsFirst {
					failing, other = other, failing
				}
				failing.reply <- failure.reply
				// The failing attempt's grant comes back while the other one runs.
				await(func() bool { return len(w.pools["desk"].InFlight()) == 1 })
				assert.NilError(t, other.ctx.Err())
				other.reply <- text("whole")
				got := <-ended
				assert.Equal(t, got.Code, http.StatusOK)
				assert.Equal(t, got.Body.String(), "whole")
				w.checkIdle()
				assert.Equal(t, w.logs.FilterMessage("attempt broke off").Len() == 1, failure.broken)
				assert.Equal(t, w.counted("Won") == 1, failsFirst)
				assert.Equal(t, len(w.calls), 0, "nothing is sent a third time")
			})
		}
	}
}

// Guards against more attempts than MaxAttempts, and against a promise that a request which may have run hasn't.
func TestBothAttemptsFail(t *testing.T) {
	w := newHedgeWorld(t, hedgeShare, "/status/1")
	ended, first, hedge := w.startHedged(t.Context(), "/status/1")
	first.reply <- reset()
	hedge.reply <- reply{answer: answer(http.StatusServiceUnavailable, "", nil, notRun)}
	got := <-ended
	assert.Equal(t, got.Code, http.StatusBadGateway)
	assert.Equal(t, len(w.calls), 0)
	w.checkIdle()
	assert.Equal(t, w.counted("Lost"), 1)
}

// Guards against attempts that go on for a client that has left, after the deadline, or after the entry's stop.
func TestEndOfRequestEndsBothAttempts(t *testing.T) {
	for name, end := range map[string]func(w *hedgeWorld, leave func()){
		"client leaves": func(_ *hedgeWorld, leave func()) { leave() },
		"deadline":      func(w *hedgeWorld, _ func()) { w.clock.Advance(time.Second) },
		"stop": func(w *hedgeWorld, _ func()) {
			w.proxy.Stop(proxy.Stop{ReroutedAt: w.clock.Now(), EndAt: w.clock.Now().Add(time.Millisecond)})
			w.clock.Advance(time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHedgeWorld(t, hedgeShare, "/status/1")
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			ended, first, hedge := w.startHedged(ctx, "/status/1")
			end(w, leave)
			got := <-ended
			assert.Equal(t, got.Code, http.StatusGatewayTimeout)
			assert.ErrorIs(t, first.ctx.Err(), context.Canceled)
			assert.ErrorIs(t, hedge.ctx.Err(), context.Canceled)
			assert.Equal(t, len(w.calls), 0)
			w.checkIdle()
			w.checkNoCrash()
		})
	}
}

// signalingWriter closes written at the first write of a body.
type signalingWriter struct {
	*httptest.ResponseRecorder
	written chan struct{}
}

func (w signalingWriter) Write(p []byte) (int, error) {
	defer close(w.written)
	return w.ResponseRecorder.Write(p)
}

// Guards against an answer that waits for a loser which doesn't notice that it was canceled, and against the loser's
// late failure counting against its replica.
func TestLoserFailsLate(t *testing.T) {
	w := newHedgeWorld(t, hedgeShare, "/status/1")
	w.stubborn = true
	writer := signalingWriter{httptest.NewRecorder(), make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- w.proxy.Serve(t.Context(), writer, newRequest("/status/1")) }()
	first := <-w.calls
	w.clock.Advance(hedgeAfter)
	hedge := <-w.calls
	hedge.reply <- text("from the hedge")
	<-writer.written
	first.reply <- reset()
	assert.NilError(t, <-ended)
	assert.Equal(t, writer.Body.String(), "from the hedge")
	w.checkIdle()
	w.checkNoCrash()
}

// Guards against hedges that a rule forbids; the counter names the rule.
func TestHedgeIsRefused(t *testing.T) {
	for _, c := range []struct {
		name, path, reason string
		// known is set if the reason is known before the attempt is sent; it is counted after it.
		known   bool
		prepare func(*hedgeWorld)
	}{
		{"out of budget", "/status/1", string(retry.ReasonNoBudgetLeft), false, func(w *hedgeWorld) {
			for w.budget.TryRetry() {
				continue
			}
		}},
		{"short of room", "/status/1", string(batch.ReasonShortOfRoom), false, func(w *hedgeWorld) {
			w.pools["desk"].SetOtherInFlight(map[track.ReplicaID]track.InFlight{
				"desk-0": {Running: 13}, "desk-1": {Running: 13}, "desk-2": {Running: 13},
			})
		}},
		{"no other replica", "/status/1", string(batch.ReasonNoOtherReplica), false, func(w *hedgeWorld) {
			w.pools["desk"].Update(w.replicas[:1])
		}},
		{"same group", "/notes/1", string(batch.ReasonSameGroup), false, func(w *hedgeWorld) {
			for i := range replicaCount {
				w.pools["llm"].SetRank(replicaAddress("llm", i), batch.RankState{Group: "g", Working: true})
			}
		}},
		{"not enough samples", "/notes/1", string(retry.ReasonTooFewSamples), true, func(*hedgeWorld) {}},
		{"not repeatable", "/book/1", string(retry.ReasonMayHaveRun), true, func(*hedgeWorld) {}},
		{"one attempt only", "/free/1", string(retry.ReasonNoAttemptsLeft), false, func(*hedgeWorld) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			warmUpPath := "/status/1"
			if c.reason == string(batch.ReasonSameGroup) {
				warmUpPath = c.path
			}
			w := newHedgeWorld(t, hedgeShare, warmUpPath)
			c.prepare(w)
			before := w.counted(c.reason)
			ended := w.start(t.Context(), c.path)
			first := <-w.calls
			w.clock.Advance(2 * hedgeAfter)
			if !c.known {
				await(func() bool { return w.counted(c.reason) > before })
			}
			whole := "from the first"
			if c.path == "/notes/1" {
				whole = eventsAfter("", serves)
			}
			first.reply <- text(whole)
			got := <-ended
			assert.Equal(t, got.Code, http.StatusOK)
			assert.Equal(t, got.Body.String(), whole)
			assert.Equal(t, len(w.calls), 0)
			assert.Equal(t, w.counted(c.reason), before+1)
			assert.Equal(t, w.counted("Sent"), 0)
		})
	}
}

// Guards against a hedge before the attempt is slow, and against one beside an answer that has begun.
func TestHedgeIsNotSentTooEarly(t *testing.T) {
	w := newHedgeWorld(t, hedgeShare, "/status/1")
	ended := w.start(t.Context(), "/status/1")
	first := <-w.calls
	w.clock.Advance(hedgeAfter - 1)
	first.reply <- text("in time")
	assert.Equal(t, (<-ended).Body.String(), "in time")
	assert.Equal(t, len(w.calls), 0)

	ended = w.start(t.Context(), "/status/1")
	first = <-w.calls
	body, rest := io.Pipe()
	slow := text("")
	slow.answer.Body = body
	first.reply <- slow
	_, err := rest.Write([]byte("slow "))
	assert.NilError(t, err)
	w.clock.Advance(hedgeAfter)
	_, err = rest.Write([]byte("body"))
	assert.NilError(t, err)
	assert.NilError(t, rest.Close())
	assert.Equal(t, (<-ended).Body.String(), "slow body")
	assert.Equal(t, len(w.calls), 0)
	assert.Equal(t, w.counted("Sent"), 0)
}

// Guards against more hedges than the operator's share while every request is slow.
func TestOperatorsShareOfHedges(t *testing.T) {
	w := newHedgeWorld(t, 0.05, "/status/1")
	hedged := 0
	for i := range 40 {
		ended := w.start(t.Context(), "/status/1")
		first := <-w.calls
		w.clock.Advance(w.pools["desk"].SlowFirstByte())
		await(func() bool { return w.counted("Sent")+w.counted(string(retry.ReasonNoShareLeft)) > i })
		first.reply <- text("whole")
		assert.Equal(t, (<-ended).Code, http.StatusOK)
		for len(w.calls) > 0 {
			<-w.calls
			hedged++
		}
	}
	assert.Assert(t, hedged > 0 && hedged <= 7, "%d hedges for 140 requests", hedged)
	assert.Equal(t, hedged, w.counted("Sent"))
}

// Guards against events of both attempts in one stream, and against a loser that goes on while the winner's stream
// does: the first attempt has sent its head and a part of an event when the hedge wins.
func TestStreamIsFromOneAttempt(t *testing.T) {
	w := newHedgeWorld(t, hedgeShare, "/notes/1")
	ended, first, hedge := w.startHedged(t.Context(), "/notes/1")
	body, late := io.Pipe()
	head := text("")
	head.answer.Body = body
	first.reply <- head
	_, err := late.Write([]byte("id: 1\nda"))
	assert.NilError(t, err)
	winning, rest := io.Pipe()
	head.answer.Body = winning
	hedge.reply <- head
	whole := eventsAfter("", serves)
	_, err = rest.Write([]byte(whole[:len(whole)/2]))
	assert.NilError(t, err)
	<-first.ctx.Done()
	// The loser's connection ends when its context does.
	_ = late.CloseWithError(errors.New("connection closed"))
	await(func() bool { return len(w.pools["llm"].InFlight()) == 1 })
	_, err = rest.Write([]byte(whole[len(whole)/2:]))
	assert.NilError(t, err)
	assert.NilError(t, rest.Close())
	got := <-ended
	assert.NilError(t, got.err)
	assert.Equal(t, got.Body.String(), whole)
	w.checkIdle()
	w.checkNoCrash()
}

// Guards against a stream that can't be resumed after a hedge, and against a second hedge: the hedge wins and breaks
// off, and the third of three attempts resumes it.
func TestStreamOfHedgeIsResumed(t *testing.T) {
	w := newHedgeWorld(t, hedgeShare, "/notes/1")
	ended, first, hedge := w.startHedged(t.Context(), "/notes/1")
	whole := eventsAfter("", serves)
	hedge.reply <- reply{answer: answer(http.StatusOK, whole[:len(whole)/2], errors.New("connection reset"), sealed)}
	third := <-w.calls
	assert.Assert(t, third.ResumeAfter != "")
	assert.Assert(t, third.Replica.ID != first.Replica.ID && third.Replica.ID != hedge.Replica.ID)
	third.reply <- text(eventsAfter(third.ResumeAfter, serves))
	got := <-ended
	assert.NilError(t, got.err)
	assert.Equal(t, got.Body.String(), whole)
	assert.Equal(t, w.logs.FilterMessage("attempt broke off").Len(), 1)
	w.checkIdle()
}

// Guards against changes for entries without hedging, and for requests that aren't slow: in a world of random faults,
// calls, answers and lines of the log are the same with hedging and without.
func TestHedgingChangesNothingForFastAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Filter(func(n int) bool {
				return behaviour(n) != hangsInBody && behaviour(n) != dripsBytes && behaviour(n) != dripsComments && behaviour(n) != endlessBody
			}).Draw(t, "behaviour"))
		}), 0, 6).Draw(t, "script")
		path := rapid.SampledFrom([]string{"/status/1", "/book/1", "/notes/1"}).Draw(t, "path")
		var seen []string
		for _, share := range []float64{0, hedgeShare} {
			core, logs := observer.New(zap.InfoLevel)
			h := newHarnessWithLogger(zap.New(core))
			h.options.HedgeShare = share
			h.proxy = proxy.New(h.options)
			for range warmUp {
				_, err := h.post(path)
				assert.NilError(t, err)
			}
			h.calls, h.script = nil, script
			got, err := h.post(path)
			all := fmt.Sprintf("%d %v %q %v %+v", got.Code, got.Header(), got.Body, err, h.calls)
			for _, line := range logs.All()[warmUp:] {
				all += fmt.Sprintf("\n%s %v", line.Message, line.ContextMap())
			}
			seen = append(seen, all)
		}
		assert.Equal(t, seen[0], seen[1])
	})
}

// Guards against second sends where the operator hasn't asked for them.
func TestNoHedgeWithoutShare(t *testing.T) {
	w := newHedgeWorld(t, 0, "/status/1")
	ended := w.start(t.Context(), "/status/1")
	first := <-w.calls
	w.clock.Advance(500 * time.Millisecond)
	first.reply <- text("late")
	assert.Equal(t, (<-ended).Body.String(), "late")
	assert.Equal(t, len(w.calls), 0)
	var out strings.Builder
	w.set.WritePrometheus(&out)
	assert.Assert(t, !strings.Contains(out.String(), "hedges_total"))
}

// Guards against a stream or answer that is cut off because its attempt was moved off a slow rank, although the hedge
// has used the attempt that would have continued it.
func TestHedgedAttemptStaysOnSlowRankWithoutAnotherAttempt(t *testing.T) {
	w := newHedgeWorld(t, hedgeShare, "/status/1")
	ended, first, _ := w.startHedged(t.Context(), "/status/1")
	w.pools["desk"].SetRank(first.Replica.Address, batch.RankState{Group: "g", Working: true, Slowdown: 4})
	assert.NilError(t, first.ctx.Err())
	first.reply <- text("slow but whole")
	assert.Equal(t, (<-ended).Body.String(), "slow but whole")
}

// Guards against answers that mix two attempts, lost grants and false promises, whatever both attempts answer and
// whichever ends first.
func TestGuaranteesOfHedgedRequests(t *testing.T) {
	const whole, other = "first answer, whole", "hedge's answer, also whole"
	replies := map[string]func(body string) reply{
		"whole":     text,
		"cut off":   func(b string) reply { return reply{answer: answer(200, b[:9], errors.New("reset"), sealed)} },
		"empty":     func(string) reply { return text("") },
		"not found": func(b string) reply { return reply{answer: answer(404, b, nil, sealed)} },
		"failed":    func(b string) reply { return reply{answer: answer(500, b, nil, sealed)} },
		"busy":      func(b string) reply { return reply{answer: answer(503, b, nil, sealed)} },
		"unsealed":  func(b string) reply { return reply{answer: answer(200, b, nil)} },
		"declined":  func(b string) reply { return reply{answer: answer(503, b, nil, notRun)} },
		"reset":     func(string) reply { return reset() },
	}
	names := slices.Sorted(maps.Keys(replies))
	rapid.Check(t, func(rt *rapid.T) {
		path := rapid.SampledFrom([]string{"/status/1", "/notes/1"}).Draw(rt, "path")
		bodies := []string{whole, other}
		if path == "/notes/1" {
			bodies = []string{eventsAfter("", serves), strings.ReplaceAll(eventsAfter("", serves), "piece", "other")}
		}
		w := newHedgeWorld(t, hedgeShare, path)
		ended, first, hedge := w.startHedged(t.Context(), path)
		kinds := []string{rapid.SampledFrom(names).Draw(rt, "first"), rapid.SampledFrom(names).Draw(rt, "hedge")}
		send := []func(){
			func() { first.reply <- replies[kinds[0]](bodies[0]) },
			func() { hedge.reply <- replies[kinds[1]](bodies[1]) },
		}
		if rapid.Bool().Draw(rt, "hedge first") {
			slices.Reverse(send)
		}
		send[0]()
		send[1]()
		var got result
		for open := true; open; {
			select {
			case third := <-w.calls:
				third.reply <- reset()
			case got = <-ended:
				open = false
			}
		}
		w.checkIdle()
		assert.Equal(rt, w.counted("Won")+w.counted("Lost"), 1)
		declined := kinds[0] == "declined" && kinds[1] == "declined"
		assert.Assert(rt, declined && path == "/status/1" || !promisesNotRun(got.Code), "status %d", got.Code)
		if got.Code != http.StatusOK || got.err != nil {
			return
		}
		body := got.Body.String()
		assert.Assert(rt, body == bodies[0] || body == bodies[1] || body == "" && path == "/status/1", "%q", body)
	})
}

// Guards against a second hedge of a request whose attempts reached no replica and so don't count.
func TestRequestIsHedgedOnce(t *testing.T) {
	w := newHedgeWorld(t, hedgeShare, "/notes/1")
	ended, first, hedge := w.startHedged(t.Context(), "/notes/1")
	unreached := reply{err: track.Fail("call", track.Unavailable, errors.New("connection refused"))}
	first.reply <- unreached
	hedge.reply <- unreached
	third := <-w.calls
	w.clock.Advance(hedgeAfter)
	third.reply <- text(eventsAfter("", serves))
	assert.Equal(t, (<-ended).Code, http.StatusOK)
	assert.Equal(t, len(w.calls), 0)
	assert.Equal(t, w.counted(string(retry.ReasonHedgedBefore)), 1)
}

// Guards against a hedge that crashes a further replica: equal requests are barred while the first attempt runs.
func TestBarredRequestIsNotHedged(t *testing.T) {
	// A request that was served lately isn't barred, so the warm-up is with another one.
	w := newHedgeWorld(t, hedgeShare, "/notes/0")
	calls := w.calls
	ended := w.start(t.Context(), "/notes/1")
	first := <-calls
	w.calls, w.script = nil, []behaviour{crashes, crashes, crashes}
	_, err := w.post("/notes/1")
	assert.NilError(t, err)
	w.clock.Advance(hedgeAfter)
	await(func() bool { return w.counted(string(retry.ReasonMayCrash)) == 1 })
	first.reply <- text(eventsAfter("", serves))
	assert.Equal(t, (<-ended).Code, http.StatusOK)
	assert.Equal(t, w.counted("Sent"), 0)
}
