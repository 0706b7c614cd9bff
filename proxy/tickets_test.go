package proxy_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/permit"
	"filberttrack.example/track/proxy"
	"filberttrack.example/track/signs"
)

// newTicketHarness returns a harness in which no replica of the model engines is known, and the entries divide their
// slots.
func newTicketHarness() (*harness, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.WarnLevel)
	h := newHarnessWithLogger(zap.New(core))
	p := batch.New(batch.Options{
		Service: "llm", Clock: h.clock, Logger: zap.NewNop(), Random: func() float64 { return 0 },
		Signs: signs.New(h.clock, zap.NewNop()), Entries: func() int { return 9 },
	})
	p.Configure(&track.EngineSpec{Slots: 8})
	p.SetShare(permit.Share{Width: 1})
	h.pools["llm"] = p
	return h, logs
}

// Guards against new requests that count as late since their client gives them less than the route's timeout, and
// against repeats that count as new.
func TestRefusedClientsAreRecognizedWhenTheyReturn(t *testing.T) {
	h, logs := newTicketHarness()
	first := h.clock.Now()
	for _, c := range []struct {
		name    string
		advance time.Duration
		kind    string
	}{
		{"first attempt", 0, "FirstAttempt"},
		{"immediate retry", 0, "Early"},
		{"just before the time", 960 * time.Millisecond, "Booked"},
		{"long after the time", 6 * time.Second, "Booked"},
		{"another client, after the first has given up", 2 * time.Second, "FirstAttempt"},
	} {
		h.clock.Advance(c.advance)
		got, err := h.post("/notes/1")
		assert.NilError(t, err)
		assert.Equal(t, got.Code, http.StatusServiceUnavailable)
		fields := logs.TakeAll()[0].ContextMap()
		assert.Equal(t, fields["Return"], c.kind, c.name)
		if c.kind == "FirstAttempt" {
			first = h.clock.Now()
		}
		reports := h.tickets.Share()
		if c.kind != "Early" {
			assert.Equal(t, reports[0].Age, h.clock.Since(first), c.name)
			assert.Equal(t, reports[0].ReturnIn.Milliseconds(), fields["RetryAfterMs"], c.name)
		}
	}
	var text bytes.Buffer
	h.metrics.WritePrometheus(&text)
	assert.Assert(t, strings.Contains(text.String(), `filberttrack_returns_total{kind="Booked"} 2`), text.String())
	assert.Assert(t, strings.Contains(text.String(), `filberttrack_returns_total{kind="Early"} 1`))
}

// Guards against returning requests that are queued, and refused, as if they could still be on time.
func TestReturningRequestWaitsLongerThanANewOne(t *testing.T) {
	h, _ := newTicketHarness()
	_, err := h.post("/notes/1")
	assert.NilError(t, err)
	h.clock.Advance(time.Second)
	h.pools["llm"].Update([]track.Replica{{ID: "llm-0", Service: "llm", Address: replicaAddress("llm", 0), Slots: 8}})
	h.pools["llm"].SetOtherInFlight(map[track.ReplicaID]track.InFlight{"llm-0": {Running: 20}})
	for target, wait := range map[string]time.Duration{"/notes/2": 200 * time.Millisecond, "/notes/1": 1400 * time.Millisecond} {
		answers := make(chan *httptest.ResponseRecorder, 1)
		go func() {
			request := newRequest(target)
			request.TimeLeft = 7 * time.Second
			got, err := h.send(request)
			assert.Check(t, err)
			answers <- got
		}()
		// The deadline and the wait.
		assert.NilError(t, h.clock.BlockUntilContext(t.Context(), 2))
		h.clock.Advance(wait - time.Millisecond)
		select {
		case <-answers:
			t.Fatalf("%s was refused early", target)
		default:
		}
		h.clock.Advance(time.Millisecond)
		assert.Equal(t, (<-answers).Header().Get("Reason"), "Busy")
	}
}

// Guards against tickets of clients that won't return, and of requests that are often equal.
func TestWhichRefusalsHaveTickets(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		tickets int
		prepare func(h *harness, cancel context.CancelFunc)
	}{
		{"no replica", "/notes/1", 1, func(*harness, context.CancelFunc) {}},
		{"the entry stops", "/notes/1", 1, func(h *harness, _ context.CancelFunc) {
			h.proxy.Stop(proxy.Stop{EndAt: h.clock.Now().Add(time.Millisecond)})
		}},
		{"the replica declines", "/notes/1", 1, func(h *harness, _ context.CancelFunc) {
			h.pools["llm"].Update([]track.Replica{{ID: "llm-0", Service: "llm", Address: replicaAddress("llm", 0), Slots: 8}})
			h.script = []behaviour{atCapacity}
		}},
		{"the client has left", "/notes/1", 0, func(_ *harness, cancel context.CancelFunc) { cancel() }},
		{"plain service", "/book/1", 0, func(h *harness, _ context.CancelFunc) { h.pools["desk"].Update(nil) }},
		{"no route", "/other/1", 0, func(*harness, context.CancelFunc) {}},
		{"slots are not divided", "/notes/1", 0, func(h *harness, _ context.CancelFunc) { h.pools["llm"] = h.pools["desk"] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, _ := newTicketHarness()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c.prepare(h, cancel)
			h.pools["desk"].Update(nil)
			assert.NilError(t, h.proxy.Serve(ctx, httptest.NewRecorder(), newRequest(c.path)))
			assert.Equal(t, h.tickets.Len(), c.tickets)
		})
	}
}

// Guards against clients without a ticket that a stop takes out of the queue, and against tickets of clients whose
// deadline has passed there.
func TestTicketsOfQueuedRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		left    time.Duration
		stop    time.Duration
		tickets int
	}{
		{"stopped", time.Second, 100 * time.Millisecond, 1},
		{"deadline passed", 100 * time.Millisecond, time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, _ := newTicketHarness()
			h.pools["llm"].Update(h.replicas)
			h.pools["llm"].SetOtherInFlight(map[track.ReplicaID]track.InFlight{
				"llm-0": {Running: 20}, "llm-1": {Running: 20}, "llm-2": {Running: 20},
			})
			answers := make(chan *httptest.ResponseRecorder, 1)
			go func() {
				request := newRequest("/notes/1")
				request.TimeLeft = c.left
				got, err := h.send(request)
				assert.Check(t, err)
				answers <- got
			}()
			// The deadline and the wait.
			assert.NilError(t, h.clock.BlockUntilContext(t.Context(), 2))
			h.proxy.Stop(proxy.Stop{EndAt: h.clock.Now().Add(c.stop)})
			h.clock.Advance(100 * time.Millisecond)
			assert.Equal(t, (<-answers).Code, http.StatusServiceUnavailable)
			assert.Equal(t, h.tickets.Len(), c.tickets)
		})
	}
}
