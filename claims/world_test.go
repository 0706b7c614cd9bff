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

// callFault is a fault that is injected into one call between two processes.
type callFault int

const (
	noFault callFault = iota
	callRefused
	requestLost
	replyLost
	deliveredLate
	deliveredTwice
	faultCount
)

var errLinkCut = errors.New("cut")

// faultInjector selects the faults of calls: first the planned ones in order, then
// random ones at the given rate.
type faultInjector struct {
	mu      sync.Mutex
	planned []callFault
	rate    float64
	rng     *rand.Rand
}

func (i *faultInjector) next() callFault {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.planned) > 0 {
		fault := i.planned[0]
		i.planned = i.planned[1:]
		return fault
	}
	if i.rng.Float64() >= i.rate {
		return noFault
	}
	return callFault(i.rng.IntN(int(faultCount)))
}

// randomDuration returns a duration below the limit.
func (i *faultInjector) randomDuration(limit time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Duration(i.rng.Int64N(int64(limit)))
}

// randomBool returns true with the given probability.
func (i *faultInjector) randomBool(probability float64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rng.Float64() < probability
}

// deliverLate calls deliver after a random delay of up to two minutes.
func (c *cluster) deliverLate(deliver func()) {
	delay := c.agentCalls.randomDuration(2 * time.Minute)
	c.pending.Go(func() {
		time.Sleep(delay)
		deliver()
	})
}

// run is one execution of a request by the simulated service.
type run struct {
	key, body string
	attempt   track.AttemptID
	at        time.Time
}

// cluster holds entries and agents that share a simulated log and a simulated
// service. It implements track.Log and track.AgentDialer.
type cluster struct {
	t              assert.TestingT
	settings       claims.Settings
	ledgerSettings ledger.Settings
	// agentCalls and appends inject faults into calls of agents and appends to the
	// log.
	agentCalls *faultInjector
	appends    *faultInjector
	// pending holds the requests and messages that are still on their way.
	pending sync.WaitGroup

	mu      sync.Mutex
	logDown bool
	// readLag is the age from which a record of the log can be read.
	readLag time.Duration
	oldest  uint64
	// appendCalls counts the appends that the log received, including refused ones.
	appendCalls int
	records     []track.Record
	agents      []*agent
	entries     []*entry
	runs        []run
	// sendCount is the number of requests sent with each key.
	sendCount map[string]int
}

func newCluster(t assert.TestingT, entries, agents int, seed uint64) *cluster {
	c := &cluster{
		t: t, settings: claims.Defaults(), ledgerSettings: ledger.Defaults(), sendCount: map[string]int{},
		agentCalls: &faultInjector{rng: rand.New(rand.NewPCG(seed, 1))},
		appends:    &faultInjector{rng: rand.New(rand.NewPCG(seed, 2))},
	}
	c.settings.KeyRetention = 10 * time.Minute
	for i := range agents {
		c.agents = append(c.agents, &agent{cluster: c, id: track.InstanceID(fmt.Sprint("agent", i))})
		c.agents[i].restart()
	}
	for range entries {
		c.entries = append(c.entries, c.startEntry())
	}
	return c
}

// shutdown waits until all late messages have arrived and stops the entries.
func (c *cluster) shutdown() {
	c.pending.Wait()
	for _, e := range c.entries {
		e.stop()
	}
}

func (c *cluster) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// Append implements track.Log.
func (c *cluster) Append(_ context.Context, _ string, data [][]byte) (uint64, error) {
	fault := c.appends.next()
	time.Sleep(c.appends.randomDuration(10 * time.Millisecond))
	c.mu.Lock()
	down := c.logDown
	c.appendCalls++
	c.mu.Unlock()
	switch {
	case down || fault == callRefused:
		return 0, track.Fail("append", track.Unavailable, errLinkCut)
	case fault == requestLost:
		return 0, track.Fail("append", track.Ambiguous, errLinkCut)
	case fault == replyLost:
		c.addRecords(data)
		return 0, track.Fail("append", track.Ambiguous, errLinkCut)
	case fault == deliveredLate:
		c.deliverLate(func() { c.addRecords(data) })
		return 0, track.Fail("append", track.Ambiguous, errLinkCut)
	case fault == deliveredTwice:
		c.deliverLate(func() { c.addRecords(data) })
	}
	return c.addRecords(data), nil
}

// addRecords adds records to the log and returns the offset of the first.
func (c *cluster) addRecords(data [][]byte) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.oldest + uint64(len(c.records))
	for i, d := range data {
		c.records = append(c.records, track.Record{Offset: first + uint64(i), Time: time.Now(), Data: d})
	}
	return first
}

// Read implements track.Log.
func (c *cluster) Read(_ context.Context, _ string, from uint64, limit int) (track.Page, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logDown {
		return track.Page{}, track.Fail("read", track.Unavailable, errLinkCut)
	}
	visible := 0
	for visible < len(c.records) && time.Since(c.records[visible].Time) >= c.readLag {
		visible++
	}
	page := track.Page{Oldest: c.oldest, Next: c.oldest + uint64(visible)}
	if from = max(from, c.oldest); from < page.Next {
		rest := c.records[from-c.oldest : visible]
		page.Records = slices.Clone(rest[:min(limit, len(rest))])
	}
	return page, nil
}

// expireRecords removes the records that are older than maxAge from the log.
func (c *cluster) expireRecords(maxAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.records) > 0 && time.Since(c.records[0].Time) > maxAge {
		c.records = c.records[1:]
		c.oldest++
	}
}

// agent runs attempts on the simulated service and tracks them in a real ledger.
type agent struct {
	cluster     *cluster
	id          track.InstanceID
	mu          sync.Mutex
	incarnation track.Incarnation
	ledger      *ledger.Ledger
	// lastSeen is the latest state of the agent that an entry has received.
	lastSeen track.BackendServer
	// refusal is the reason for which the agent refuses dispatches; empty if it
	// accepts them.
	refusal track.Refusal
}

func (a *agent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
	a.ledger = ledger.New(a.id, a.incarnation, clockwork.NewRealClock(), a.cluster.ledgerSettings)
}

func (a *agent) setRefusal(reason track.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusal = reason
}

func (a *agent) current() (*ledger.Ledger, track.Incarnation, track.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger, a.incarnation, a.refusal
}

// backendServer returns what an entry knows of the agent, which may be outdated.
func (a *agent) backendServer() track.BackendServer {
	outdated := a.cluster.agentCalls.randomBool(a.cluster.agentCalls.rate / 2)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !outdated || a.lastSeen.Agent == "" {
		a.lastSeen = track.BackendServer{
			Agent: a.id, Address: string(a.id), Incarnation: a.incarnation, Load: track.Load{Stamp: a.ledger.Stamp()},
		}
	}
	return a.lastSeen
}

func (a *agent) run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	attempts, _, refusal := a.current()
	admitted := attempts.Admit(d, refusal)
	if admitted.Attempt == nil {
		return send(track.Frame{ID: d.ID, Kind: track.FrameFinal, Refusal: admitted.Refusal, Outcome: admitted.Outcome})
	}
	ended := make(chan []track.Frame, 1)
	duration := a.cluster.agentCalls.randomDuration(time.Second)
	a.cluster.pending.Go(func() {
		time.Sleep(duration)
		ended <- a.cluster.execute(d)
	})
	var answer []track.Frame
	a.cluster.pending.Go(func() {
		answer = <-ended
		for _, f := range answer {
			admitted.Attempt.StoreFrame(f)
		}
		admitted.Attempt.Finish()
	})
	if _, err := attempts.Answer(ctx, d.Ref()); err != nil {
		return track.Fail("run", track.Ambiguous, err)
	}
	return a.sendAnswer(attempts, answer, send)
}

// sendAnswer sends the frames of an answer. It fails once the agent has restarted,
// which replaces its ledger.
func (a *agent) sendAnswer(attempts *ledger.Ledger, answer []track.Frame, send track.FrameFunc) error {
	for _, f := range answer {
		if current, _, _ := a.current(); current != attempts {
			return track.Fail("run", track.Ambiguous, errLinkCut)
		}
		if err := send(f); err != nil {
			return err
		}
	}
	return nil
}

// execute runs a request on the simulated service, which does not check whether the
// request has run before.
func (c *cluster) execute(d track.Dispatch) []track.Frame {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, run{key: d.Claim.IdempotencyKey, body: d.Claim.BodySHA256, attempt: d.ID, at: time.Now()})
	return []track.Frame{
		{ID: d.ID, Kind: track.FrameHeader, Status: 200},
		{ID: d.ID, Seq: 1, Kind: track.FrameData, Data: fmt.Appendf(nil, "booking %d", len(c.runs))},
		{ID: d.ID, Seq: 2, Kind: track.FrameFinal, Outcome: track.Completed},
	}
}

// agentClient is an entry's connection to an agent, with injected faults.
type agentClient struct{ *agent }

// Dial implements track.AgentDialer.
func (c *cluster) Dial(instance track.Instance) (track.Agent, error) {
	for _, a := range c.agents {
		if a.id == instance.ID {
			return agentClient{a}, nil
		}
	}
	return nil, track.Fail("dial", track.Unavailable, errLinkCut)
}

func discardFrame(track.Frame) error { return nil }

// Run implements track.Agent.
func (ac agentClient) Run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	detached := context.WithoutCancel(ctx)
	runDetached := func() { _ = ac.run(detached, d, discardFrame) }
	switch ac.cluster.agentCalls.next() {
	case callRefused:
		return track.Fail("run", track.Unavailable, errLinkCut)
	case requestLost:
		return track.Fail("run", track.Ambiguous, errLinkCut)
	case replyLost:
		ac.cluster.pending.Go(runDetached)
		return track.Fail("run", track.Ambiguous, errLinkCut)
	case deliveredLate:
		ac.cluster.deliverLate(runDetached)
		return track.Fail("run", track.Ambiguous, errLinkCut)
	case deliveredTwice:
		ac.cluster.deliverLate(runDetached)
	}
	return ac.run(ctx, d, send)
}

// PreventStart implements track.Agent.
func (ac agentClient) PreventStart(_ context.Context, ref track.AttemptRef) (track.AttemptState, error) {
	fault := ac.cluster.agentCalls.next()
	if fault == callRefused || fault == requestLost {
		return "", track.Fail("bar", track.Ambiguous, errLinkCut)
	}
	attempts, _, _ := ac.current()
	state := attempts.Bar(ref)
	if fault == replyLost || fault == deliveredLate {
		return "", track.Fail("bar", track.Ambiguous, errLinkCut)
	}
	return state, nil
}

// Replay implements track.Agent.
func (ac agentClient) Replay(ctx context.Context, ref track.AttemptRef, send track.FrameFunc) error {
	if fault := ac.cluster.agentCalls.next(); fault != noFault && fault != deliveredTwice {
		return track.Fail("replay", track.Ambiguous, errLinkCut)
	}
	attempts, _, _ := ac.current()
	answer, err := attempts.Answer(ctx, ref)
	if track.IsKind(err, ledger.Barred) {
		return send(track.Frame{ID: ref.ID, Kind: track.FrameFinal, Refusal: track.RefusedBarred, Outcome: track.NotRun})
	}
	if err != nil {
		return err
	}
	return ac.sendAnswer(attempts, answer, send)
}

// Report implements track.Agent.
func (ac agentClient) Report(context.Context) (track.Report, error) { return track.Report{}, nil }

// logClient is an entry's connection to the log, which a test may cut.
type logClient struct {
	*cluster
	cut atomic.Bool
}

// Append implements track.Log.
func (lc *logClient) Append(ctx context.Context, stream string, data [][]byte) (uint64, error) {
	if lc.cut.Load() {
		return 0, track.Fail("append", track.Unavailable, errLinkCut)
	}
	return lc.cluster.Append(ctx, stream, data)
}

// Read implements track.Log.
func (lc *logClient) Read(ctx context.Context, stream string, from uint64, limit int) (track.Page, error) {
	if lc.cut.Load() {
		return track.Page{}, track.Fail("read", track.Unavailable, errLinkCut)
	}
	return lc.cluster.Read(ctx, stream, from, limit)
}

// entry is one entry process. Canceling its context simulates a crash.
type entry struct {
	log      *logClient
	cluster  *cluster
	executor *claims.Executor
	ctx      context.Context
	cancel   context.CancelFunc
	duties   []*duty.Duty
}

func (c *cluster) startEntry() *entry {
	e := &entry{cluster: c, log: &logClient{cluster: c}}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	set := metrics.NewSet()
	e.executor = claims.New(claims.Options{
		Log: e.log, Dialer: c, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Metrics: set,
		Drops: frames.NewDropCounters(set), Settings: c.settings,
	})
	e.duties = e.executor.Start(e.ctx)
	return e
}

func (e *entry) stop() {
	e.cancel()
	assert.NilError(e.cluster.t, duty.Wait(zap.NewNop(), e.duties...))
}

// request is a client's request through one entry.
type request struct {
	entry     *entry
	key, body string
	id        track.RequestID
	// pauseProbability is the probability of a random pause before each dispatch.
	pauseProbability float64
	// pause delays the entry between claim and dispatch.
	pause time.Duration
	// tried holds the agents to which the request was dispatched.
	tried []track.InstanceID
	// beforeDispatch is called before each dispatch, if set.
	beforeDispatch func()
}

// ChooseServer implements claims.Dispatcher.
func (r *request) ChooseServer(context.Context) (track.BackendServer, error) {
	c := r.entry.cluster
	start := int(c.agentCalls.randomDuration(time.Duration(len(c.agents))))
	for i := range c.agents {
		a := c.agents[(start+i)%len(c.agents)]
		if !slices.Contains(r.tried, a.id) {
			return a.backendServer(), nil
		}
	}
	return track.BackendServer{}, errLinkCut
}

// Dispatch implements claims.Dispatcher. An entry that was paused dispatches without
// checking the deadline again.
func (r *request) Dispatch(ctx context.Context, t claims.ClaimedAttempt, send track.FrameFunc) error {
	var d track.Dispatch
	t.SetDispatchFields(&d)
	r.tried = append(r.tried, d.Agent)
	if r.beforeDispatch != nil {
		r.beforeDispatch()
	}
	c := r.entry.cluster
	pause := r.pause
	if c.agentCalls.randomBool(r.pauseProbability) {
		pause = c.agentCalls.randomDuration(2 * time.Minute)
	}
	if pause > 0 {
		time.Sleep(pause)
		ctx = context.WithoutCancel(ctx)
	}
	agent, err := c.Dial(track.Instance{ID: d.Agent})
	assert.NilError(c.t, err)
	return agent.Run(ctx, d, send)
}

// requestTimeout is the time that each client allows for its request.
const requestTimeout = 20 * time.Second

// send executes the request and returns what the entry answers to the client.
func (r *request) send() (claims.Answer, error) {
	c := r.entry.cluster
	var first bool
	c.withLock(func() {
		c.sendCount[r.key]++
		first = c.sendCount[r.key] == 1
	})
	ctx, cancel := context.WithTimeout(r.entry.ctx, requestTimeout)
	defer cancel()
	return r.entry.executor.Execute(ctx, claims.Request{
		Key: claims.Key{Account: "mill", Service: "desk", Name: r.key}, BodySHA256: r.body, ID: r.id, FirstSend: first,
	}, r)
}
