package claims_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/frames"
	"filberttrack.example/track/ledger"
)

// fate is what befalls one call between two processes.
type fate int

const (
	fine fate = iota
	refused
	lost
	answerLost
	late
	doubled
	fates
)

var errCut = errors.New("cut")

// chaos decides the fates of calls: the planned ones first, then by chance.
type chaos struct {
	mu    sync.Mutex
	plan  []fate
	share float64
	rng   *rand.Rand
}

func (c *chaos) next() fate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.plan) > 0 {
		f := c.plan[0]
		c.plan = c.plan[1:]
		return f
	}
	if c.rng.Float64() >= c.share {
		return fine
	}
	return fate(c.rng.IntN(int(fates)))
}

func (c *chaos) upTo(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Int64N(int64(d)))
}

func (c *chaos) befalls(share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64() < share
}

// later runs f once a late message arrives.
func (w *world) later(f func()) {
	delay := w.calls.upTo(2 * time.Minute)
	w.pending.Go(func() {
		time.Sleep(delay)
		f()
	})
}

// run is one execution by the stand-in service.
type run struct {
	key, body string
	attempt   track.AttemptID
	at        time.Time
}

// world holds entries and agents that share a log and a service.
type world struct {
	t        assert.TestingT
	settings claims.Settings
	ledgers  ledger.Settings
	calls    *chaos
	appends  *chaos
	pending  sync.WaitGroup

	mu     sync.Mutex
	away   bool
	lag    time.Duration
	oldest uint64
	// appended counts the calls of the log that add records.
	appended int
	records  []track.Record
	agents   []*agent
	entries  []*entry
	runs     []run
	asked    map[string]int
}

func newWorld(t assert.TestingT, entries, agents int, seed uint64) *world {
	w := &world{
		t: t, settings: claims.Defaults(), ledgers: ledger.Defaults(), asked: map[string]int{},
		calls:   &chaos{rng: rand.New(rand.NewPCG(seed, 1))},
		appends: &chaos{rng: rand.New(rand.NewPCG(seed, 2))},
	}
	w.settings.KeyRetention = 10 * time.Minute
	for i := range agents {
		w.agents = append(w.agents, &agent{world: w, id: track.InstanceID(fmt.Sprint("agent", i))})
		w.agents[i].restart()
	}
	for range entries {
		w.entries = append(w.entries, w.startEntry())
	}
	return w
}

// end lets all late messages arrive and stops the entries.
func (w *world) end() {
	w.pending.Wait()
	for _, e := range w.entries {
		e.stop()
	}
}

func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// Append implements track.Log.
func (w *world) Append(_ context.Context, _ string, data [][]byte) (uint64, error) {
	f := w.appends.next()
	time.Sleep(w.appends.upTo(10 * time.Millisecond))
	w.mu.Lock()
	away := w.away
	w.appended++
	w.mu.Unlock()
	switch {
	case away || f == refused:
		return 0, track.Fail("append", track.Unavailable, errCut)
	case f == lost:
		return 0, track.Fail("append", track.Ambiguous, errCut)
	case f == answerLost:
		w.add(data)
		return 0, track.Fail("append", track.Ambiguous, errCut)
	case f == late:
		w.later(func() { w.add(data) })
		return 0, track.Fail("append", track.Ambiguous, errCut)
	case f == doubled:
		w.later(func() { w.add(data) })
	}
	return w.add(data), nil
}

func (w *world) add(data [][]byte) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.oldest + uint64(len(w.records))
	for i, d := range data {
		w.records = append(w.records, track.Record{Offset: first + uint64(i), Time: time.Now(), Data: d})
	}
	return first
}

// Read implements track.Log.
func (w *world) Read(_ context.Context, _ string, from uint64, limit int) (track.Page, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away {
		return track.Page{}, track.Fail("read", track.Unavailable, errCut)
	}
	visible := 0
	for visible < len(w.records) && time.Since(w.records[visible].Time) >= w.lag {
		visible++
	}
	page := track.Page{Oldest: w.oldest, Next: w.oldest + uint64(visible)}
	if from = max(from, w.oldest); from < page.Next {
		rest := w.records[from-w.oldest : visible]
		page.Records = slices.Clone(rest[:min(limit, len(rest))])
	}
	return page, nil
}

// expire drops the records older than the age.
func (w *world) expire(age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.records) > 0 && time.Since(w.records[0].Time) > age {
		w.records = w.records[1:]
		w.oldest++
	}
}

// agent runs attempts on the stand-in service by way of a real ledger.
type agent struct {
	world       *world
	id          track.InstanceID
	mu          sync.Mutex
	incarnation track.Incarnation
	ledger      *ledger.Ledger
	heard       track.BackendServer
	refusal     track.Refusal
}

func (a *agent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	a.ledger = ledger.New(a.id, a.incarnation, clockwork.NewRealClock(), a.world.ledgers)
}

func (a *agent) refuse(reason track.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusal = reason
}

func (a *agent) now() (*ledger.Ledger, track.Incarnation, track.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger, a.incarnation, a.refusal
}

// hear returns what an entry knows of the agent, which may lag.
func (a *agent) hear() track.BackendServer {
	stale := a.world.calls.befalls(a.world.calls.share / 2)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !stale || a.heard.Agent == "" {
		a.heard = track.BackendServer{
			Agent: a.id, Address: string(a.id), Incarnation: a.incarnation, Load: track.Load{Stamp: a.ledger.Stamp()},
		}
	}
	return a.heard
}

func (a *agent) run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	book, _, refusal := a.now()
	verdict := book.Admit(d, refusal)
	if verdict.Attempt == nil {
		return send(track.Frame{ID: d.ID, Kind: track.FrameFinal, Refusal: verdict.Refusal, Outcome: verdict.Outcome})
	}
	ended := make(chan []track.Frame, 1)
	duration := a.world.calls.upTo(time.Second)
	a.world.pending.Go(func() {
		time.Sleep(duration)
		ended <- a.world.serve(d)
	})
	var answer []track.Frame
	a.world.pending.Go(func() {
		answer = <-ended
		for _, f := range answer {
			verdict.Attempt.StoreFrame(f)
		}
		verdict.Attempt.Finish()
	})
	if _, err := book.Answer(ctx, d.Ref()); err != nil {
		return track.Fail("run", track.Ambiguous, err)
	}
	return a.stream(book, answer, send)
}

func (a *agent) stream(book *ledger.Ledger, answer []track.Frame, send track.FrameFunc) error {
	for _, f := range answer {
		if current, _, _ := a.now(); current != book {
			return track.Fail("run", track.Ambiguous, errCut)
		}
		if err := send(f); err != nil {
			return err
		}
	}
	return nil
}

// serve executes the work, without regard to what ran before.
func (w *world) serve(d track.Dispatch) []track.Frame {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run{key: d.Claim.IdempotencyKey, body: d.Claim.BodySHA256, attempt: d.ID, at: time.Now()})
	return []track.Frame{
		{ID: d.ID, Kind: track.FrameHeader, Status: 200},
		{ID: d.ID, Seq: 1, Kind: track.FrameData, Data: fmt.Appendf(nil, "booking %d", len(w.runs))},
		{ID: d.ID, Seq: 2, Kind: track.FrameFinal, Outcome: track.Completed},
	}
}

// link is an entry's way to an agent.
type link struct{ *agent }

// Dial implements track.AgentDialer.
func (w *world) Dial(instance track.Instance) (track.Agent, error) {
	for _, a := range w.agents {
		if a.id == instance.ID {
			return link{a}, nil
		}
	}
	return nil, track.Fail("dial", track.Unavailable, errCut)
}

func drop(track.Frame) error { return nil }

func (l link) Run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	detached := context.WithoutCancel(ctx)
	again := func() { _ = l.run(detached, d, drop) }
	switch l.world.calls.next() {
	case refused:
		return track.Fail("run", track.Unavailable, errCut)
	case lost:
		return track.Fail("run", track.Ambiguous, errCut)
	case answerLost:
		l.world.pending.Go(again)
		return track.Fail("run", track.Ambiguous, errCut)
	case late:
		l.world.later(again)
		return track.Fail("run", track.Ambiguous, errCut)
	case doubled:
		l.world.later(again)
	}
	return l.run(ctx, d, send)
}

func (l link) Bar(_ context.Context, ref track.AttemptRef) (track.AttemptState, error) {
	f := l.world.calls.next()
	if f == refused || f == lost {
		return "", track.Fail("bar", track.Ambiguous, errCut)
	}
	book, _, _ := l.now()
	state := book.Bar(ref)
	if f == answerLost || f == late {
		return "", track.Fail("bar", track.Ambiguous, errCut)
	}
	return state, nil
}

func (l link) Replay(ctx context.Context, ref track.AttemptRef, send track.FrameFunc) error {
	if f := l.world.calls.next(); f != fine && f != doubled {
		return track.Fail("replay", track.Ambiguous, errCut)
	}
	book, _, _ := l.now()
	answer, err := book.Answer(ctx, ref)
	if track.IsKind(err, ledger.Barred) {
		return send(track.Frame{ID: ref.ID, Kind: track.FrameFinal, Refusal: track.RefusedBarred, Outcome: track.NotRun})
	}
	if err != nil {
		return err
	}
	return l.stream(book, answer, send)
}

func (l link) Report(context.Context) (track.Report, error) { return track.Report{}, nil }

// view is an entry's way to the log, which may be cut.
type view struct {
	*world
	cut atomic.Bool
}

// Append implements track.Log.
func (v *view) Append(ctx context.Context, stream string, data [][]byte) (uint64, error) {
	if v.cut.Load() {
		return 0, track.Fail("append", track.Unavailable, errCut)
	}
	return v.world.Append(ctx, stream, data)
}

// Read implements track.Log.
func (v *view) Read(ctx context.Context, stream string, from uint64, limit int) (track.Page, error) {
	if v.cut.Load() {
		return track.Page{}, track.Fail("read", track.Unavailable, errCut)
	}
	return v.world.Read(ctx, stream, from, limit)
}

// entry is one process; its book ends with it.
type entry struct {
	log    *view
	world  *world
	book   *claims.Book
	ctx    context.Context
	cancel context.CancelFunc
	duties []*duty.Duty
}

func (w *world) startEntry() *entry {
	e := &entry{world: w, log: &view{world: w}}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	set := metrics.NewSet()
	e.book = claims.New(claims.Options{
		Log: e.log, Agents: w, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Metrics: set,
		Drops: frames.NewDrops(set), Settings: w.settings,
	})
	e.duties = e.book.Start(e.ctx)
	return e
}

func (e *entry) stop() {
	e.cancel()
	assert.NilError(e.world.t, duty.Wait(zap.NewNop(), e.duties...))
}

// request is a caller's request through one entry.
type request struct {
	entry      *entry
	key, body  string
	id         track.RequestID
	pauseShare float64
	// pause holds the entry up between claim and dispatch.
	pause  time.Duration
	failed []track.InstanceID
	// dispatched is called before each dispatch, if set.
	dispatched func()
}

// Choose implements claims.Runner.
func (r *request) Choose(context.Context) (track.BackendServer, error) {
	w := r.entry.world
	start := int(w.calls.upTo(time.Duration(len(w.agents))))
	for i := range w.agents {
		a := w.agents[(start+i)%len(w.agents)]
		if !slices.Contains(r.failed, a.id) {
			return a.hear(), nil
		}
	}
	return track.BackendServer{}, errCut
}

// Dispatch implements claims.Runner. A paused entry sends without looking at
// the time again.
func (r *request) Dispatch(ctx context.Context, t claims.Ticket, send track.FrameFunc) error {
	var d track.Dispatch
	t.Fill(&d)
	r.failed = append(r.failed, d.Agent)
	if r.dispatched != nil {
		r.dispatched()
	}
	w := r.entry.world
	pause := r.pause
	if w.calls.befalls(r.pauseShare) {
		pause = w.calls.upTo(2 * time.Minute)
	}
	if pause > 0 {
		time.Sleep(pause)
		ctx = context.WithoutCancel(ctx)
	}
	agent, err := w.Dial(track.Instance{ID: d.Agent})
	assert.NilError(w.t, err)
	return agent.Run(ctx, d, send)
}

// timeout is the callers' deadline.
const timeout = 20 * time.Second

// send executes a request and returns what the caller is told.
func (r *request) send() (claims.Answer, error) {
	w := r.entry.world
	var first bool
	w.locked(func() {
		w.asked[r.key]++
		first = w.asked[r.key] == 1
	})
	ctx, cancel := context.WithTimeout(r.entry.ctx, timeout)
	defer cancel()
	return r.entry.book.Execute(ctx, claims.Work{
		Key: claims.Key{Account: "mill", Service: "desk", Name: r.key}, BodySHA256: r.body, Request: r.id, First: first,
	}, r)
}
