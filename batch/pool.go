// Package batch places requests on the replicas of a service: it bounds what runs
// at once, lets requests wait for a place in the order of their urgency, and
// refuses at once what would wait too long.
package batch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

// Reason says why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// ReasonNoReplica means that no replica of the service is known to serve.
	ReasonNoReplica Reason = "NoReplica"
	// ReasonGroupBroken means that the rank groups of the service are broken.
	ReasonGroupBroken Reason = "GroupBroken"
	// ReasonBusy means that no place will be free in time.
	ReasonBusy Reason = "Busy"
	// ReasonGone means that the client left while its request waited.
	ReasonGone Reason = "ClientGone"
)

// RefusalError tells that a request got no place.
type RefusalError struct {
	Reason Reason
	// RetryAfter is the time after which a place is expected.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("no place: %s, expected in %s", e.Reason, e.RetryAfter)
}

// Ask describes a request that needs a place.
type Ask struct {
	Request track.RequestID
	// Priority is 0 for the most urgent requests.
	Priority int
	// Tokens estimates the tokens that the request holds while it runs.
	Tokens int
	// Due is the time until which a place is worth full value, Until that at which
	// the request gives up waiting, Deadline that by which it must be answered.
	Due      time.Time
	Until    time.Time
	Deadline time.Time
	// Excluded lists replicas that failed the request already.
	Excluded []track.ReplicaID
}

// Result tells how an attempt ended.
type Result struct {
	// Verdict classifies the end.
	Verdict Verdict
	// FirstByte is the time to the first byte of the answer; 0 if there was none.
	FirstByte time.Duration
	// AtFault names the replica that broke the group, if any.
	AtFault string
}

// Verdict says what an attempt showed about its replica.
type Verdict int

// The verdicts.
const (
	// Served means that the replica gave a whole answer.
	Served Verdict = iota
	// Abandoned means that the client left, which says nothing of the replica.
	Abandoned
	// Full means that the replica refused for want of room.
	Full
	// Unreachable means that no connection could be made.
	Unreachable
	// Misplaced means that another replica has the address.
	Misplaced
	// Erred means that the replica answered with a failure of its own.
	Erred
	// Broke means that the answer broke off or never came.
	Broke
)

// Grant is a place on a replica. Its owner must call Done once.
type Grant struct {
	Replica track.Replica
	// Waited is the time spent waiting for the place.
	Waited time.Duration
	// Load is the number of requests on the replica when it was chosen, this one
	// included, Starting the number of those without a first event, and Candidates the
	// number of replicas weighed.
	Load       int
	Starting   int
	Candidates int

	pool *Pool
	// leave breaks the attempt off so that it can go on elsewhere; nil if it can't.
	leave    func()
	tokens   int
	granted  time.Time
	starting bool
}

// Started tells that the replica has begun to answer, so that its prompt is read.
func (g *Grant) Started() {
	g.pool.started(g)
}

// Done frees the place and learns from the result.
func (g *Grant) Done(r Result) {
	g.pool.done(g, r)
}

// Options holds what a Pool is made of.
type Options struct {
	Service string
	// Zone is the availability zone of this entry; its replicas are preferred among
	// equals.
	Zone track.AvailabilityZone
	// Entries returns the number of entries that share the replicas.
	Entries func() int
	Clock   clockwork.Clock
	// Draw returns random numbers that are uniform in [0, 1).
	Draw   func() float64
	Logger *zap.Logger
}

// Pool holds the places of one service as this entry sees them. It is safe for
// concurrent use.
type Pool struct {
	options Options

	// began is the time at which the pool was made, with its entry.
	began time.Time

	mu       sync.Mutex
	engine   *track.EngineSpec
	replicas map[track.ReplicaID]*replica
	waiting  []*waiter
	// passes holds the mean duration of passes by group, as its ranks tell.
	passes map[string]time.Duration
	// open is scratch space of choose.
	open []*replica
	// hold is the moving mean of the time for which a place is held.
	hold time.Duration
}

type waiter struct {
	ask     Ask
	arrived time.Time
	granted chan *Grant
}

// New returns a pool without replicas.
func New(options Options) *Pool {
	return &Pool{options: options, began: options.Clock.Now(), replicas: make(map[track.ReplicaID]*replica), passes: make(map[string]time.Duration)}
}

// Configure takes the description of the service's engines; nil for plain services.
func (p *Pool) Configure(engine *track.EngineSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engine = engine
}

// Update replaces the list of replicas.
func (p *Pool) Update(replicas []track.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := make(map[track.ReplicaID]bool, len(replicas))
	for _, r := range replicas {
		if r.Service != p.options.Service {
			continue
		}
		present[r.ID] = true
		if old := p.replicas[r.ID]; old != nil {
			old.Replica, old.listed = r, true
		} else {
			p.replicas[r.ID] = &replica{Replica: r, listed: true, grants: make(map[*Grant]struct{})}
		}
	}
	for id, r := range p.replicas {
		if present[id] {
			continue
		}
		r.listed = false
		if r.own.Running == 0 {
			delete(p.replicas, id)
		}
	}
	p.dispatch()
}

// Acquire waits for a place. It fails with a *RefusalError.
func (p *Pool) Acquire(ctx context.Context, ask Ask) (*Grant, error) {
	w, grant, err := p.arrive(ask)
	if w == nil {
		return grant, err
	}
	timer := p.options.Clock.NewTimer(w.ask.Until.Sub(p.options.Clock.Now()))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g, nil
	case <-timer.Chan():
		return p.leave(w, ReasonBusy)
	case <-ctx.Done():
		return p.leave(w, ReasonGone)
	}
}

// arrive grants a place, refuses, or returns a waiter.
func (p *Pool) arrive(ask Ask) (*waiter, *Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	reason, after := p.unserved(ask, now)
	hold := reason == ReasonGroupBroken && !ask.Due.After(now) && len(p.waiting) < p.heldMost()
	if reason != "" && !hold {
		return nil, nil, &RefusalError{Reason: reason, RetryAfter: after}
	}
	if last := ask.Deadline.Add(-p.hold); !ask.Due.After(now) && last.Before(ask.Until) {
		// A late request that gets its place later can't be answered any more.
		ask.Until = last
	}
	w := &waiter{ask: ask, arrived: now, granted: make(chan *Grant, 1)}
	p.waiting = append(p.waiting, w)
	p.dispatch()
	select {
	case g := <-w.granted:
		return nil, g, nil
	default:
	}
	if wait := p.expectedWait(w); !hold && now.Add(wait).After(ask.Until) || !now.Before(ask.Until) {
		p.remove(w)
		return nil, nil, &RefusalError{Reason: ReasonBusy, RetryAfter: p.retryAfter(wait)}
	}
	return w, nil, nil
}

// leave takes a waiter out of the queue; a place that it got meanwhile is its own.
func (p *Pool) leave(w *waiter, reason Reason) (*Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, nil
	default:
	}
	p.remove(w)
	return nil, &RefusalError{Reason: reason, RetryAfter: p.retryAfter(p.expectedWait(w))}
}

func (p *Pool) remove(w *waiter) {
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

// unserved returns why no replica serves the request, if none does.
func (p *Pool) unserved(ask Ask, now time.Time) (Reason, time.Duration) {
	broken := false
	for _, r := range p.replicas {
		if !r.listed || slices.Contains(ask.Excluded, r.ID) {
			continue
		}
		if r.closedFor(now) <= 0 {
			return "", 0
		}
		broken = broken || r.broken
	}
	if !broken {
		return ReasonNoReplica, noReplicaRetryAfter
	}
	return ReasonGroupBroken, p.groupRetryAfter(now)
}

// heldMost returns the number of late requests that this entry holds while a group
// is broken: its part of what fits into the group once that opens.
func (p *Pool) heldMost() int {
	slots := 0
	for _, r := range p.replicas {
		if r.listed {
			slots += p.limit(r)
		}
	}
	return slots / max(p.options.Entries(), 1)
}

// expectedWait predicts the wait of a request from those that go before it.
func (p *Pool) expectedWait(w *waiter) time.Duration {
	places, own, all, ahead := 0, 0, 0, 1
	now := p.options.Clock.Now()
	for _, other := range p.waiting {
		if other != w && compare(other, w, now) <= 0 {
			ahead++
		}
	}
	for _, r := range p.replicas {
		own += r.own.Running
		all += r.load()
		if r.listed && r.closedFor(now) <= 0 {
			places += p.limit(r)
		}
	}
	if places == 0 || p.hold == 0 {
		return 0
	}
	// Of the places that become free, this entry gets about the share that it
	// holds now.
	share := 1.0
	if all > 0 {
		share = max(float64(own)/float64(all), minShare)
	}
	gap := float64(p.hold) / (float64(places) * share)
	return time.Duration(gap * float64(ahead))
}

// retryAfter returns when to come back, from the predicted wait.
func (p *Pool) retryAfter(wait time.Duration) time.Duration {
	if p.engine != nil {
		return p.spread(max(wait, minEngineRetryAfter))
	}
	return p.spread(max(wait, minRetryAfter))
}

// spread keeps those who come back from coming all at once.
func (p *Pool) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(retryJitter*p.options.Draw()*float64(wait))
}

// dispatch grants free places to those who wait.
func (p *Pool) dispatch() {
	now := p.options.Clock.Now()
	slices.SortStableFunc(p.waiting, func(a, b *waiter) int { return compare(a, b, now) })
	for i := 0; i < len(p.waiting); {
		w := p.waiting[i]
		r, candidates := p.choose(w.ask, now)
		if r == nil {
			i++
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		r.own.Running++
		r.own.Starting++
		r.tokens += w.ask.Tokens
		w.granted <- &Grant{
			Replica: r.Replica, Waited: now.Sub(w.arrived), Load: r.load(), Starting: r.starting(), Candidates: candidates,
			pool: p, tokens: w.ask.Tokens, granted: now, starting: true,
		}
	}
}

// compare orders waiters: the more urgent first, and among equals those that can
// still be served in time before those that can't.
func compare(a, b *waiter, now time.Time) int {
	if a.ask.Priority != b.ask.Priority {
		return a.ask.Priority - b.ask.Priority
	}
	lateA, lateB := now.After(a.ask.Due), now.After(b.ask.Due)
	switch {
	case lateA && !lateB:
		return 1
	case lateB && !lateA:
		return -1
	}
	return a.arrived.Compare(b.arrived)
}

// choose returns the least loaded of a few open replicas below their limits, which are
// drawn at random: what other entries have in flight is known with a delay, and if all
// went for the least loaded of all meanwhile, that one would be overrun.
func (p *Pool) choose(ask Ask, now time.Time) (*replica, int) {
	p.open = p.open[:0]
	spareSlow := p.anyAtPace(now)
	for _, r := range p.replicas {
		if !r.listed || r.closedFor(now) > 0 || slices.Contains(ask.Excluded, r.ID) || !p.hasRoom(r) || spareSlow && r.slow() {
			continue
		}
		p.open = append(p.open, r)
	}
	candidates := len(p.open)
	weighed := p.draw()
	var best *replica
	bestScore := 0.0
	for _, r := range p.open[:weighed] {
		if score := p.score(r); best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	return best, candidates
}

// draw moves the replicas to weigh to the front of the open ones, and returns their
// number: some of the own zone and some of all, drawn at random, or all if they are few.
// Their order counts, too: it decides among equals.
func (p *Pool) draw() int {
	far := func(r *replica) int {
		if r.Zone == p.options.Zone {
			return 0
		}
		return 1
	}
	// The order of a map varies; draws alone decide.
	slices.SortFunc(p.open, func(a, b *replica) int { return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(a.ID, b.ID)) })
	if len(p.open) <= maxWeighed {
		p.drawFrom(0, len(p.open), len(p.open))
		return len(p.open)
	}
	near := slices.IndexFunc(p.open, func(r *replica) bool { return far(r) == 1 })
	if near < 0 {
		near = len(p.open)
	}
	own := min(near, drawnNear)
	p.drawFrom(0, own, near)
	p.drawFrom(own, own+drawn, len(p.open))
	return own + drawn
}

// drawFrom fills the positions from first up to end with open replicas, drawn at random
// from those at first up to last.
func (p *Pool) drawFrom(first, end, last int) {
	for i := first; i < end; i++ {
		j := i + int(p.options.Draw()*float64(last-i))
		p.open[i], p.open[j] = p.open[j], p.open[i]
	}
}

func (p *Pool) done(g *Grant, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	r := p.replicas[g.Replica.ID]
	if r == nil {
		return
	}
	delete(r.grants, g)
	r.own.Running--
	if g.starting {
		r.own.Starting--
	}
	r.tokens -= g.tokens
	if result.Verdict == Served {
		p.learn(now.Sub(g.granted))
	}
	if result.AtFault != "" && p.engine != nil {
		p.breakMates(r, now)
	}
	if change := r.observe(result, now, p.engine); change != "" {
		p.options.Logger.Info("replica health", zap.String("Replica", string(r.ID)), zap.String("Change", change),
			zap.Duration("ClosedFor", r.closedFor(now)), zap.String("AtFault", result.AtFault))
	}
	if !r.listed && r.own.Running == 0 {
		delete(p.replicas, r.ID)
	}
	p.dispatch()
}

func (p *Pool) started(g *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[g.Replica.ID]
	if r == nil || !g.starting {
		return
	}
	g.starting = false
	r.own.Starting--
	p.dispatch()
}

func (p *Pool) learn(held time.Duration) {
	if p.hold == 0 {
		p.hold = held
		return
	}
	p.hold += time.Duration(holdSmoothing * float64(held-p.hold))
}

// InFlight returns this entry's requests on each replica that has any.
func (p *Pool) InFlight() map[track.ReplicaID]track.InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[track.ReplicaID]track.InFlight, len(p.replicas))
	for id, r := range p.replicas {
		if r.own.Running > 0 {
			counts[id] = r.own
		}
	}
	return counts
}

// SetOthers takes the requests that all other entries have on each replica.
func (p *Pool) SetOthers(counts map[track.ReplicaID]track.InFlight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, r := range p.replicas {
		r.others = counts[id]
	}
	p.dispatch()
}

// Window is the state of admission to a service, as one entry sees it.
type Window struct {
	// Places is the number of requests that open replicas take at once, Taken the
	// number that they have from all entries, Waiting the number that wait here.
	Places  int
	Taken   int
	Waiting int
}

// Window returns the state of admission.
func (p *Pool) Window() Window {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	w := Window{Waiting: len(p.waiting)}
	for _, r := range p.replicas {
		if r.listed && r.closedFor(now) <= 0 {
			w.Places += p.limit(r)
			w.Taken += r.load()
		}
	}
	return w
}
