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
	"filberttrack.example/track/parts"
	"filberttrack.example/track/proxy"
	"filberttrack.example/track/retry"
	"filberttrack.example/track/signs"
	"filberttrack.example/track/ticket"
)

const (
	host = "yard.example"
	// replicaCount is the number of replicas of each service.
	replicaCount = 3
	// streamEvents is the number of events of a complete stream.
	streamEvents = 5
	// errorText is the text of an error of a replica.
	errorText = "HTTP/1.1 404 Not Found\r\n\r\nno such stream"
	// restTime is the time for which a resting replica wants no requests.
	restTime = 3 * time.Second
)

// behaviour is how a replica handles one attempt.
type behaviour int

const (
	serves behaviour = iota
	unreachable
	atCapacity
	otherReplicaAtAddress
	groupBroken
	resetsBeforeHead
	crashes
	// crashesUnnoticed crashes the replica, which stays in the list. Its address refuses connections.
	crashesUnnoticed
	hangsInBody
	resetsInBody
	truncatesBody
	// endsInEvent sends a stream without length that ends with its connection inside an event.
	endsInEvent
	answers500
	answers404
	// answersErrorAs200 sends the text of an error with status 200.
	answersErrorAs200
	answers503AfterRunning
	answersUnsealed
	// answersOtherRequest answers another request, which callers report as ambiguous.
	answersOtherRequest
	skipsEvent
	repeatsEvent
	// leaves serves the request and says that the replica leaves.
	leaves
	// drips sends a part of the events and then single bytes or comments without end.
	dripsBytes
	dripsComments
	// endlessBody sends a body without length and end.
	endlessBody
	// rests turns the request away and wants no more for restTime.
	rests
	behaviourCount
	// hangsBeforeHead never answers. It is left out where behaviours are drawn.
	hangsBeforeHead
)

// ran reports whether the replica began to run the attempt.
func (b behaviour) ran() bool {
	switch b {
	case unreachable, atCapacity, otherReplicaAtAddress, groupBroken, rests:
		return false
	}
	return true
}

// harness holds a proxy and the fake replicas that it sends requests to. It implements
// proxy.Services, track.ReplicaCaller and track.ReplicaProber.
type harness struct {
	// unconfirmed is set while there may be a newer configuration than table.
	unconfirmed  bool
	clock        *clockwork.FakeClock
	options      proxy.Options
	proxy        *proxy.Proxy
	pools        map[string]*batch.Pool
	budget       *retry.ServiceBudget
	blameTracker *blame.Tracker
	tickets      *ticket.Book
	metrics      *metrics.Set
	replicas     []track.Replica
	table        *hosts.Table

	// hung receives a value when a stream hangs.
	hung chan struct{}

	mu sync.Mutex
	// crashingPart is a part of a prompt that crashes each replica that runs a request with it, and crashes
	// counts these.
	crashingPart string
	crashes      int
	// prompts holds the parts of the prompt of each request, by ID.
	prompts map[track.RequestID][]string
	// down holds the addresses that refuse connections, and replacedBy the replicas that have taken the
	// addresses of crashed ones.
	down       map[string]bool
	replacedBy map[string]track.ReplicaID
	// script lists the behaviours of the attempts, in order.
	script []behaviour
	// onCall is called with each call that reaches a replica; nil if nobody waits for it.
	onCall func()
	// calls lists the attempts so far, and runs counts those that a replica has run.
	calls []track.ReplicaCall
	runs  int
}

var routes = []track.Route{
	{
		Name: "status", Host: host, PathPrefix: "/status/", RetryRule: track.RetryAlways, MaxAttempts: 2,
		Timeout: time.Second, Targets: singleTarget("desk"),
	},
	{
		Name: "book", Host: host, PathPrefix: "/book/", RetryRule: track.RetryOnlyIfNotRun, MaxAttempts: 2,
		Timeout: time.Second, Targets: singleTarget("desk"),
	},
	{
		Name: "notes", Host: host, PathPrefix: "/notes/", RetryRule: track.RetryFromLastEvent, Stream: true, MaxAttempts: 3,
		Timeout: 8 * time.Second, Objective: 400 * time.Millisecond, Targets: singleTarget("llm"),
	},
	{
		Name: "free", Host: host, PathPrefix: "/free/", RetryRule: track.RetryAlways, MaxAttempts: 1,
		Timeout: time.Second, Targets: singleTarget("desk"), Anonymous: true,
	},
}

func singleTarget(service string) []track.RouteTarget {
	return []track.RouteTarget{{Service: service, Weight: 1}}
}

func replicaAddress(service string, i int) string { return fmt.Sprintf("%s-%d:80", service, i) }

func newHarness(script ...behaviour) *harness {
	return newHarnessWithLogger(zap.NewNop(), script...)
}

func newHarnessWithLogger(logger *zap.Logger, script ...behaviour) *harness {
	h := &harness{
		clock: clockwork.NewFakeClock(), hung: make(chan struct{}, 1), script: script, pools: map[string]*batch.Pool{},
		down: map[string]bool{}, replacedBy: map[string]track.ReplicaID{}, prompts: map[track.RequestID][]string{},
	}
	h.table = hosts.New(track.RouteConfig{
		Version: 1, Routes: routes, Accounts: []track.RouteAccount{{Name: "mills", Keys: []string{"key"}}},
	})
	var replicas []track.Replica
	for _, service := range []string{"desk", "llm"} {
		for i := range replicaCount {
			replicas = append(replicas, track.Replica{
				ID: track.ReplicaID(fmt.Sprintf("%s-%d", service, i)), Service: service,
				Address: replicaAddress(service, i), Slots: 8,
			})
		}
	}
	for _, service := range []string{"desk", "llm"} {
		h.pools[service] = batch.New(batch.Options{
			Service: service, Clock: h.clock, Logger: zap.NewNop(),
			Random: func() float64 { return 0 }, Signs: signs.New(h.clock, zap.NewNop()), Entries: func() int { return 1 },
		})
		h.pools[service].Update(replicas)
	}
	h.replicas = replicas
	partsTracker := parts.New(h.clock, zap.NewNop(), metrics.NewSet())
	h.blameTracker = blame.New(h.clock, zap.NewNop(), metrics.NewSet(), partsTracker)
	h.blameTracker.SetReplicas(replicas)
	h.budget = retry.NewServiceBudget(retry.ServiceLimit{Share: 0.2, Slack: 50, Window: 10 * time.Second}, h.clock,
		func() int { return 1 })
	h.tickets, h.metrics = ticket.New(h.clock), metrics.NewSet()
	h.options = proxy.Options{
		RoutingTable: func() *hosts.Table { return h.table }, ConfigConfirmed: func() bool { return !h.unconfirmed }, Services: h, Caller: h, WriteRefusal: refuse,
		Prober: h, CrashTracker: h.blameTracker, PartsTracker: partsTracker, Tickets: h.tickets,
		ZoneRegions: map[track.AvailabilityZone]string{"rivera": "norte", "artigas": "sur"},
		Clock:       h.clock, Random: func() float64 { return 0 },
		Logger: logger, Metrics: proxy.NewMetrics(h.metrics),
	}
	h.proxy = proxy.New(h.options)
	return h
}

// replaceCrashed starts a new replica at each address that is down. The crashed ones are still listed.
func (h *harness) replaceCrashed() {
	listed := slices.Clone(h.replicas)
	for _, r := range slices.Backward(listed) {
		if h.down[r.Address] {
			delete(h.down, r.Address)
			r.ID += "-new"
			h.replacedBy[r.Address] = r.ID
			h.replicas = append(h.replicas, r)
		}
	}
	h.blameTracker.SetReplicas(h.replicas)
	for _, p := range h.pools {
		p.Update(h.replicas)
	}
}

// refuse writes a refusal as the HTTP listener does.
func refuse(w http.ResponseWriter, r proxy.Refusal) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", r.RetryAfter.String())
	}
	w.Header().Set("Reason", r.Reason)
	w.WriteHeader(r.Status)
}

// Pool implements proxy.Services.
func (h *harness) Pool(service string) *batch.Pool { return h.pools[service] }

// Budget implements proxy.Services.
func (h *harness) Budget(string) *retry.ServiceBudget { return h.budget }

// post sends a POST request with a valid API key and a body through the proxy.
func (h *harness) post(path string) (*httptest.ResponseRecorder, error) {
	return h.send(newRequest(path))
}

// newRequest returns a POST request with a valid API key and a body.
func newRequest(path string) *proxy.Request {
	return &proxy.Request{
		ID: "r-1", Host: host, Method: http.MethodPost, Target: path, Path: path,
		Header: http.Header{"Note": {"kept"}}, Body: []byte("bales"), APIKey: "key", TimeLeft: time.Second,
	}
}

func (h *harness) send(r *proxy.Request) (*httptest.ResponseRecorder, error) {
	h.prompts[r.ID] = r.PromptParts
	recorder := httptest.NewRecorder()
	err := h.proxy.Serve(context.Background(), recorder, r)
	return recorder, err
}

// nextBehaviour returns how the replica handles the call, and records the call if it reaches the replica.
func (h *harness) nextBehaviour(call track.ReplicaCall) behaviour {
	if h.down[call.Replica.Address] {
		return unreachable
	}
	if id, ok := h.replacedBy[call.Replica.Address]; ok && id != call.Replica.ID {
		return otherReplicaAtAddress
	}
	b := serves
	if len(h.calls) < len(h.script) {
		b = h.script[len(h.calls)]
	}
	if h.crashingPart != "" && slices.Contains(h.prompts[call.RequestID], h.crashingPart) {
		b = crashesUnnoticed
		h.crashes++
	}
	h.calls = append(h.calls, call)
	if h.onCall != nil {
		h.onCall()
	}
	if b.ran() {
		h.runs++
	}
	return b
}

// Call implements track.ReplicaCaller. It follows the script, after whose end all attempts
// are served.
func (h *harness) Call(ctx context.Context, call track.ReplicaCall) (track.ReplicaAnswer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.nextBehaviour(call)
	switch b {
	case unreachable:
		return track.ReplicaAnswer{}, track.Fail("call", track.Unavailable, errors.New("connection refused"))
	case hangsBeforeHead:
		h.mu.Unlock()
		h.hung <- struct{}{}
		<-ctx.Done()
		h.mu.Lock()
		return track.ReplicaAnswer{}, track.Fail("call", track.Ambiguous, context.Cause(ctx))
	case crashes:
		// The list of replicas shows the restart.
		i := slices.IndexFunc(h.replicas, func(r track.Replica) bool { return r.ID == call.Replica.ID })
		h.replicas[i].StartID++
		h.blameTracker.SetReplicas(h.replicas)
		return track.ReplicaAnswer{}, track.Fail("call", track.Ambiguous, errors.New("connection reset"))
	case crashesUnnoticed:
		h.down[call.Replica.Address] = true
		return track.ReplicaAnswer{}, track.Fail("call", track.Ambiguous, errors.New("connection reset"))
	case resetsBeforeHead, answersOtherRequest:
		return track.ReplicaAnswer{}, track.Fail("call", track.Ambiguous, errors.New("connection reset"))
	case atCapacity:
		return answer(http.StatusServiceUnavailable, "", nil, notRun), nil
	case otherReplicaAtAddress:
		return answer(http.StatusMisdirectedRequest, "", nil, notRun, otherReplica), nil
	case groupBroken:
		a := answer(http.StatusServiceUnavailable, "", nil, notRun)
		a.FailedReplica = "llm-2"
		return a, nil
	case rests:
		a := answer(http.StatusServiceUnavailable, "", nil, notRun)
		a.Signs.RestFor = restTime
		return a, nil
	case leaves:
		a := h.runAttempt(call, serves)
		a.Signs.Leaving = true
		return a, nil
	case answers500:
		return answer(http.StatusInternalServerError, "sorry", nil, sealed), nil
	case answers404:
		return answer(http.StatusNotFound, errorText, nil, sealed), nil
	case answersErrorAs200:
		return answer(http.StatusOK, errorText, nil, sealed), nil
	case answers503AfterRunning:
		return answer(http.StatusServiceUnavailable, "busy", nil, sealed), nil
	}
	if body := h.oddBody(ctx, call, b); body != nil {
		a := answer(http.StatusOK, "", nil, sealed)
		a.Body = body
		return a, nil
	}
	return h.runAttempt(call, b), nil
}

// Refuses implements track.ReplicaProber.
func (h *harness) Refuses(_ context.Context, replica track.Replica) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down[replica.Address]
}

// oddBody returns the body of a replica whose answer doesn't end by itself; nil for other behaviours.
func (h *harness) oddBody(ctx context.Context, call track.ReplicaCall, b behaviour) io.ReadCloser {
	firstEvent := strings.NewReader(eventsAfter("", serves)[:len("id: 1\ndata: piece 1\n\n")])
	switch b {
	case endlessBody:
		return io.NopCloser(endless{})
	case dripsBytes:
		return &drippingBody{Reader: firstEvent, ctx: ctx, clock: h.clock, drip: "x"}
	case dripsComments:
		return &drippingBody{Reader: firstEvent, ctx: ctx, clock: h.clock, drip: ": still here\n\n"}
	case hangsInBody:
		return &hungBody{Reader: strings.NewReader(eventsAfter(call.ResumeAfter, serves)[:40]), ctx: ctx, hung: h.hung}
	}
	return nil
}

// drippingBody is a stream that sends a part of its events and then, every dripInterval, a few bytes
// that are no event.
type drippingBody struct {
	io.Reader
	ctx   context.Context
	clock *clockwork.FakeClock
	drip  string
	drips int
}

func (b *drippingBody) Read(p []byte) (int, error) {
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	b.clock.Advance(dripInterval)
	if b.drips++; b.drips < maxDrips {
		return copy(p, b.drip), nil
	}
	// The timer that is due now calls the cancel function in its own goroutine.
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

func (b *drippingBody) Close() error { return nil }

const (
	// dripInterval is the time between two drips.
	dripInterval = 100 * time.Millisecond
	// maxDrips is the number of drips within the 1.7 s after which a stream without events is left.
	maxDrips = 17
)

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// hungBody is a stream that sends a part of its events and then hangs until the attempt
// is canceled.
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
func (h *harness) runAttempt(call track.ReplicaCall, b behaviour) track.ReplicaAnswer {
	body, endErr := "booked", error(nil)
	if call.Target[:3] == "/no" {
		body = eventsAfter(call.ResumeAfter, b)
	}
	switch b {
	case resetsInBody:
		body, endErr = body[:len(body)-4], errors.New("connection reset")
	case endsInEvent:
		if call.Target[:3] == "/no" {
			body = body[:len(body)-4]
		}
	case truncatesBody:
		body, endErr = body[:len(body)-4], io.ErrUnexpectedEOF
	case answersUnsealed:
		return answer(http.StatusOK, body, nil)
	}
	return answer(http.StatusOK, body, endErr, sealed)
}

// eventsAfter returns the events of a stream after the event with the given ID.
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

type answerOption func(*track.ReplicaAnswer)

func sealed(a *track.ReplicaAnswer) {
	a.Authenticated = true
	a.Header.Set("Seal", "s")
}
func notRun(a *track.ReplicaAnswer)       { a.NotRun = true }
func otherReplica(a *track.ReplicaAnswer) { a.WrongReplica = true }

func answer(status int, body string, endErr error, options ...answerOption) track.ReplicaAnswer {
	a := track.ReplicaAnswer{
		Status: status, Header: http.Header{}, Body: &scriptedBody{remaining: []byte(body), endErr: endErr},
	}
	for _, o := range options {
		o(&a)
	}
	return a
}

// scriptedBody is a body that ends with endErr, or io.EOF if that is nil.
type scriptedBody struct {
	remaining []byte
	endErr    error
}

func (b *scriptedBody) Read(p []byte) (int, error) {
	if len(b.remaining) == 0 {
		if b.endErr == nil {
			return 0, io.EOF
		}
		return 0, b.endErr
	}
	// Short reads split events in the middle.
	n := copy(p, b.remaining[:min(len(b.remaining), 7)])
	b.remaining = b.remaining[n:]
	return n, nil
}

func (b *scriptedBody) Close() error { return nil }
