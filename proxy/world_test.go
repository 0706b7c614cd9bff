package proxy_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/hosts"
	"filberttrack.example/track/proxy"
	"filberttrack.example/track/retry"
)

const (
	host    = "yard.example"
	replica = 3
	// streamEvents is the number of events of a whole stream.
	streamEvents = 5
)

// behaviour is what a replica does with one attempt.
type behaviour int

const (
	serves behaviour = iota
	unreachable
	full
	misplaced
	groupBroken
	resetsBeforeHead
	crashes
	hangsInBody
	resetsInBody
	endsInBody
	failsItself
	says503ButRan
	notSealed
	answersAnother
	skipsEvent
	repeatsEvent
	behaviours
)

// ran reports whether the replica began to run the attempt.
func (b behaviour) ran() bool {
	switch b {
	case unreachable, full, misplaced, groupBroken:
		return false
	}
	return true
}

// world is a proxy in front of scripted replicas.
type world struct {
	clock  *clockwork.FakeClock
	proxy  *proxy.Proxy
	pools  map[string]*batch.Pool
	budget *retry.ServiceBudget
	blame  *blame.Tracker
	list   []track.Replica
	table  *hosts.Table

	// hung gets a value when a stream hangs.
	hung chan struct{}

	mu     sync.Mutex
	script []behaviour
	calls  []track.ReplicaCall
	runs   int
}

var routes = []track.Route{
	{Name: "status", Host: host, PathPrefix: "/status/", Repeat: track.RepeatFreely, MaxAttempts: 2, Timeout: time.Second, Targets: one("desk")},
	{Name: "book", Host: host, PathPrefix: "/book/", Repeat: track.RepeatNever, MaxAttempts: 2, Timeout: time.Second, Targets: one("desk")},
	{
		Name: "notes", Host: host, PathPrefix: "/notes/", Repeat: track.RepeatFromEvent, Stream: true, MaxAttempts: 3,
		Timeout: 8 * time.Second, Objective: 400 * time.Millisecond, Targets: one("llm"),
	},
	{Name: "free", Host: host, PathPrefix: "/free/", Repeat: track.RepeatFreely, MaxAttempts: 1, Timeout: time.Second, Targets: one("desk"), Anonymous: true},
}

func one(service string) []track.RouteTarget {
	return []track.RouteTarget{{Service: service, Weight: 1}}
}

func address(service string, i int) string { return fmt.Sprintf("%s-%d:80", service, i) }

func newWorld(script ...behaviour) *world {
	return newWorldLogging(zap.NewNop(), script...)
}

func newWorldLogging(logger *zap.Logger, script ...behaviour) *world {
	w := &world{clock: clockwork.NewFakeClock(), hung: make(chan struct{}, 1), script: script, pools: map[string]*batch.Pool{}}
	w.table = hosts.New(track.RouteConfig{Version: 1, Routes: routes, Accounts: []track.RouteAccount{{Name: "mills", Keys: []string{"key"}}}})
	var list []track.Replica
	for _, service := range []string{"desk", "llm"} {
		for i := range replica {
			list = append(list, track.Replica{ID: track.ReplicaID(fmt.Sprintf("%s-%d", service, i)), Service: service, Address: address(service, i), Slots: 8})
		}
	}
	for _, service := range []string{"desk", "llm"} {
		w.pools[service] = batch.New(batch.Options{
			Service: service, Clock: w.clock, Logger: zap.NewNop(),
			Random: func() float64 { return 0 }, Entries: func() int { return 1 },
		})
		w.pools[service].Update(list)
	}
	w.list = list
	w.blame = blame.New(w.clock, zap.NewNop())
	w.blame.SetReplicas(list)
	w.budget = retry.NewServiceBudget(retry.ServiceLimit{Share: 0.2, Slack: 50, Window: 10 * time.Second}, w.clock,
		func() int { return 1 })
	w.proxy = proxy.New(proxy.Options{
		Table: func() *hosts.Table { return w.table }, Services: w, Caller: w, Refuse: refuse, Blame: w.blame,
		Clock: w.clock, Draw: func() float64 { return 0 }, Logger: logger, Metrics: proxy.NewMetrics(metrics.NewSet()),
	})
	return w
}

// refuse writes a refusal as a front door does.
func refuse(w http.ResponseWriter, r proxy.Refusal) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", r.RetryAfter.String())
	}
	w.Header().Set("Reason", r.Reason)
	w.WriteHeader(r.Status)
}

// Pool implements proxy.Services.
func (w *world) Pool(service string) *batch.Pool { return w.pools[service] }

// Budget implements proxy.Services.
func (w *world) Budget(string) *retry.ServiceBudget { return w.budget }

// ask sends a request through the proxy.
func (w *world) ask(path string) (*httptest.ResponseRecorder, error) {
	return w.send(&proxy.Request{
		ID: "r-1", Host: host, Method: http.MethodPost, Target: path, Path: path,
		Header: http.Header{"Note": {"kept"}}, Body: []byte("bales"), Key: "key", TimeLeft: time.Second,
	})
}

func (w *world) send(r *proxy.Request) (*httptest.ResponseRecorder, error) {
	recorder := httptest.NewRecorder()
	err := w.proxy.Serve(context.Background(), recorder, r)
	return recorder, err
}

// Call implements track.ReplicaCaller by the script; after its end replicas serve.
func (w *world) Call(ctx context.Context, call track.ReplicaCall) (track.ReplicaAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := serves
	if len(w.calls) < len(w.script) {
		b = w.script[len(w.calls)]
	}
	w.calls = append(w.calls, call)
	if b.ran() {
		w.runs++
	}
	switch b {
	case unreachable:
		return track.ReplicaAnswer{}, track.Fail("call", track.Unavailable, errors.New("connection refused"))
	case crashes:
		// The list of replicas tells of the new start.
		i := slices.IndexFunc(w.list, func(r track.Replica) bool { return r.ID == call.Replica.ID })
		w.list[i].Born++
		w.blame.SetReplicas(w.list)
		return track.ReplicaAnswer{}, track.Fail("call", track.Ambiguous, errors.New("connection reset"))
	case resetsBeforeHead, answersAnother:
		return track.ReplicaAnswer{}, track.Fail("call", track.Ambiguous, errors.New("connection reset"))
	case full:
		return answer(http.StatusServiceUnavailable, "", nil, notRun), nil
	case misplaced:
		return answer(http.StatusMisdirectedRequest, "", nil, notRun, otherReplica), nil
	case groupBroken:
		a := answer(http.StatusServiceUnavailable, "", nil, notRun)
		a.AtFault = "llm-2"
		return a, nil
	case failsItself:
		return answer(http.StatusInternalServerError, "sorry", nil, sealed), nil
	case says503ButRan:
		return answer(http.StatusServiceUnavailable, "busy", nil, sealed), nil
	}
	if b == hangsInBody {
		a := answer(http.StatusOK, "", nil, sealed)
		a.Body = &hungBody{Reader: strings.NewReader(eventsAfter(call.ResumeAfter, serves)[:40]), ctx: ctx, hung: w.hung}
		return a, nil
	}
	return w.runAttempt(call, b), nil
}

// hungBody begins a stream and then gives nothing more until it is broken off.
type hungBody struct {
	io.Reader
	ctx  context.Context
	hung chan<- struct{}
}

func (b *hungBody) Read(p []byte) (int, error) {
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	b.hung <- struct{}{}
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

func (b *hungBody) Close() error { return nil }

// runAttempt returns the answer of a replica that runs the attempt.
func (w *world) runAttempt(call track.ReplicaCall, b behaviour) track.ReplicaAnswer {
	body, end := "booked", error(nil)
	if call.Target[:3] == "/no" {
		body = eventsAfter(call.ResumeAfter, b)
	}
	switch b {
	case resetsInBody:
		body, end = body[:len(body)-4], errors.New("connection reset")
	case endsInBody:
		body, end = body[:len(body)-4], io.ErrUnexpectedEOF
	case notSealed:
		return answer(http.StatusOK, body, nil)
	}
	return answer(http.StatusOK, body, end, sealed)
}

// eventsAfter returns the events of a stream after an ID.
func eventsAfter(after string, b behaviour) string {
	first := 1
	if n, err := strconv.Atoi(after); err == nil {
		first = n + 1
	}
	var out bytes.Buffer
	for i := first; i <= streamEvents; i++ {
		if b == skipsEvent && i == streamEvents-1 {
			continue
		}
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", i, i)
		if b == repeatsEvent && i == streamEvents-1 {
			fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", i, i)
		}
	}
	return out.String()
}

type option func(*track.ReplicaAnswer)

func sealed(a *track.ReplicaAnswer) {
	a.Sealed = true
	a.Header.Set("Seal", "s")
}
func notRun(a *track.ReplicaAnswer)       { a.NotRun = true }
func otherReplica(a *track.ReplicaAnswer) { a.OtherReplica = true }

func answer(status int, body string, end error, options ...option) track.ReplicaAnswer {
	a := track.ReplicaAnswer{Status: status, Header: http.Header{}, Body: &brokenBody{rest: []byte(body), end: end}}
	for _, o := range options {
		o(&a)
	}
	return a
}

// brokenBody is a body that ends as the replica made it end.
type brokenBody struct {
	rest []byte
	end  error
}

func (b *brokenBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		if b.end == nil {
			return 0, io.EOF
		}
		return 0, b.end
	}
	// Short reads cut events in the middle.
	n := copy(p, b.rest[:min(len(b.rest), 7)])
	b.rest = b.rest[n:]
	return n, nil
}

func (b *brokenBody) Close() error { return nil }
