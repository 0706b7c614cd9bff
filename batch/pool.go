// Package batch admits requests to the replicas of a service: it limits the requests in
// flight on each replica, queues requests by priority, and refuses at once those that
// would wait too long.
package batch

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/cold"
	"filberttrack.example/track/limit"
	"filberttrack.example/track/permit"
	"filberttrack.example/track/signs"
)

// Reason says why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// ReasonNoReplica means that no replica of the service is known to be available.
	ReasonNoReplica Reason = "NoReplica"
	// ReasonResting means that all replicas of the service want no requests for a while.
	ReasonResting Reason = "Resting"
	// ReasonGroupBroken means that the rank groups of the service are broken.
	ReasonGroupBroken Reason = "GroupBroken"
	// ReasonLimited means that all replicas of the service name limits, and that these allow
	// no request in time.
	ReasonLimited Reason = "Limited"
	// ReasonEvacuated means that all replicas that the request may be sent to are in evacuated zones.
	ReasonEvacuated Reason = "Evacuated"
	// ReasonNoReplicaInHomeRegion means that no replica of the service is in a zone in which the
	// request may run.
	ReasonNoReplicaInHomeRegion Reason = "NoReplicaInHomeRegion"
	// ReasonBusy means that no replica will have free capacity in time.
	ReasonBusy Reason = "Busy"
	// ReasonClientGone means that the client left while its request was queued.
	ReasonClientGone Reason = "ClientGone"
)

// RefusalError is the error of a request that was not admitted.
type RefusalError struct {
	Reason Reason
	// RetryAfter is the delay after which free capacity is expected.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("request not admitted: %s, retry after %s", e.Reason, e.RetryAfter)
}

// AdmissionRequest describes a request to be admitted.
type AdmissionRequest struct {
	RequestID track.RequestID
	// Account is the name of the client account; empty if the request has none.
	Account string
	// Priority orders the queue; lower values are admitted first.
	Priority int
	// Tokens estimates the tokens that the request holds while it runs.
	Tokens int
	// MaxGap is the longest pause between two events of a stream that is on time; 0 if the
	// request has no such limit.
	MaxGap time.Duration
	// OnTimeUntil is the latest time of admission at which the request can still be served on
	// time, WaitUntil the time at which it gives up waiting, and Deadline the time by
	// which it must be answered.
	OnTimeUntil time.Time
	WaitUntil   time.Time
	Deadline    time.Time
	// Return says whether the client was told to return, and whether it came as it was told.
	Return Return
	// Excluded lists replicas that have already failed the request.
	Excluded []track.ReplicaID
	// Zones reports whether the request may run in a zone; nil allows all zones.
	Zones func(track.AvailabilityZone) bool
}

// Result describes how an attempt ended.
type Result struct {
	// Verdict says what the attempt showed about the replica.
	Verdict Verdict
	// FirstByte is the time to the first byte of the answer; 0 if there was none. For an attempt that was canceled
	// because its hedge won, it is the time for which the attempt had waited.
	FirstByte time.Duration
	// ErrorAnswer is set if the answer had an error status.
	ErrorAnswer bool
	// AtFault names the replica that broke the group, if any.
	AtFault string
}

// Verdict says what an attempt showed about its replica.
type Verdict int

// The verdicts.
const (
	// Served means that the replica gave a complete answer.
	Served Verdict = iota
	// Canceled means that the attempt was cancelled, for example because the client
	// left. It says nothing about the replica.
	Canceled
	// AtCapacity means that the replica refused the request for lack of capacity.
	AtCapacity
	// Unreachable means that no connection could be made.
	Unreachable
	// WrongReplica means that another replica now has the address.
	WrongReplica
	// Failed means that the replica answered with an error of its own.
	Failed
	// Interrupted means that the answer broke off or never came.
	Interrupted
)

// Grant is the admission of one request to a replica. Its owner must call Done once.
type Grant struct {
	Replica track.Replica
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// Load is the number of requests on the replica when it was chosen, including this
	// one. Starting is the number of those without a first event, and Candidates the
	// number of replicas that could have been chosen.
	Load       int
	Starting   int
	Candidates int

	pool *Pool
	// onLeaveSlowRank aborts the attempt so that it can continue on another replica; nil if
	// it can't.
	onLeaveSlowRank func()
	// zones reports whether the request may run in a zone; nil allows all zones.
	zones    func(track.AvailabilityZone) bool
	tokens   int
	granted  time.Time
	starting bool
}

// Started records that the replica has begun to answer, which means that it has finished
// reading the prompt.
func (g *Grant) Started() {
	g.pool.started(g)
}

// Done releases the capacity and updates the replica's health from the result.
func (g *Grant) Done(r Result) {
	g.pool.done(g, r)
}

// Options configures a Pool.
type Options struct {
	Service string
	// Zone is the availability zone of this entry. Its replicas are preferred over
	// equally loaded ones of other zones.
	Zone track.AvailabilityZone
	// Entries returns the number of entries that share the replicas.
	Entries func() int
	// Signs holds what replicas say of themselves.
	Signs *signs.Book
	Clock clockwork.Clock
	// Random returns random numbers that are uniform in [0, 1).
	Random func() float64
	Logger *zap.Logger
}

// Pool admits requests to the replicas of one service, as this entry sees them. It is
// safe for concurrent use.
type Pool struct {
	options Options

	// createdAt is the time at which the pool was made, together with its entry.
	createdAt time.Time

	mu       sync.Mutex
	engine   *track.EngineSpec
	replicas map[track.ReplicaID]*replica
	// byAddress holds the replicas by address; nil if it has to be built anew.
	byAddress map[string][]*replica
	queue     []*waiter
	// passTimes holds the mean pass duration by group, as its ranks report it.
	passTimes map[string]time.Duration
	// brokenGroups holds the groups most of whose ranks have reported lately that the group doesn't work, and the time
	// until which these reports count. Agents that fall silent say nothing about the present state.
	brokenGroups map[string]time.Time
	// paces holds the pace of each group, and maxGap the longest pause between two events of
	// the latest request.
	paces  map[string]*groupPace
	maxGap time.Duration
	// ownCandidates and candidates are scratch space of collectCandidates.
	ownCandidates, candidates []*replica
	// meanGrantTime is the moving mean of the time from a grant to its Done.
	meanGrantTime time.Duration
	durations     durationWindow
	// firstBytes holds the times to first byte.
	firstBytes durationWindow
	// nextReturn is when the next client should retry that is refused while all replicas rest
	// or name limits.
	nextReturn time.Time
	// share is this entry's part of the limits that replicas name: an even one until SetShare.
	share permit.Share
	// shareKnown is set once SetShare has set a share: those of all entries don't overlap then.
	shareKnown bool
	// cold describes the service's cold replicas. coldShare is this entry's part of the requests to them; nil for share.
	cold      cold.Spec
	coldShare *permit.Share
	// demand is the rate of the requests that this entry would send, and surge the same over a shorter time.
	demand, surge demandRate
	// fair divides the capacity among accounts while requests wait for it.
	fair limit.Fair
	// lentRequests counts the requests that used a slot of another entry.
	lentRequests uint64
	// plan divides the slots among the entries; nil if it has to be built anew.
	plan *slotPlan
	// evacuated holds the evacuated zones.
	evacuated map[track.AvailabilityZone]bool
}

// waiter is a queued request.
type waiter struct {
	request AdmissionRequest
	arrived time.Time
	granted chan *Grant
	// refused gets the refusal of a request that can no longer be served.
	refused chan *RefusalError
	// tag is the request's place among those of other accounts; zero if accounts don't compete.
	tag limit.Tag
}

func (w *waiter) flow() limit.Flow {
	return limit.Flow{Level: w.request.Priority, Account: w.request.Account}
}

// New returns a pool without replicas.
func New(options Options) *Pool {
	now := options.Clock.Now()
	return &Pool{
		options: options, createdAt: now,
		demand: demandRate{window: demandWindow, since: now, updatedAt: now},
		surge:  demandRate{window: surgeWindow, since: now, updatedAt: now},

		share:    permit.Share{Width: 1 / float64(max(options.Entries(), 1))},
		replicas: make(map[track.ReplicaID]*replica), passTimes: make(map[string]time.Duration),
		paces: make(map[string]*groupPace), brokenGroups: make(map[string]time.Time),
	}
}

// Configure sets the description of the service's model engines; nil for plain services.
func (p *Pool) Configure(engine *track.EngineSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engine = engine
}

// Update replaces the list of replicas. Replicas of other services are ignored.
func (p *Pool) Update(replicas []track.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAddress, p.plan = nil, nil
	present := make(map[track.ReplicaID]bool, len(replicas))
	for _, r := range replicas {
		if r.Service != p.options.Service {
			continue
		}
		present[r.ID] = true
		old := p.replicas[r.ID]
		if old == nil {
			old = &replica{movable: make(map[*Grant]struct{}), permits: permit.New(r.ID), firstSeen: p.options.Clock.Now()}
			p.replicas[r.ID] = old
		}
		p.updateCold(old, r)
		old.Replica, old.listed, old.evacuated = r, true, p.evacuated[r.Zone]
		p.refreshSigns(r.ID)
	}
	for id, r := range p.replicas {
		if present[id] {
			continue
		}
		r.listed = false
		if r.ownInFlight.Running == 0 {
			delete(p.replicas, id)
		}
	}
	p.dispatch()
}

// Acquire waits until the request is admitted to a replica. It fails with a
// *RefusalError.
func (p *Pool) Acquire(ctx context.Context, request AdmissionRequest) (*Grant, error) {
	w, grant, err := p.admit(request)
	if w == nil {
		return grant, err
	}
	timer := p.options.Clock.NewTimer(w.request.WaitUntil.Sub(p.options.Clock.Now()))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g, nil
	case refusal := <-w.refused:
		return nil, refusal
	case <-timer.Chan():
		return p.cancelWait(w, ReasonBusy)
	case <-ctx.Done():
		return p.cancelWait(w, ReasonClientGone)
	}
}

// admit grants or refuses the request at once, or queues it and returns its waiter.
func (p *Pool) admit(request AdmissionRequest) (*waiter, *Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	p.demand.add(now)
	p.surge.add(now)
	if request.MaxGap > 0 {
		p.maxGap = request.MaxGap
	}
	reason, after := p.unavailableReason(request, now)
	waitForGroup := reason == ReasonGroupBroken && !request.OnTimeUntil.After(now) && len(p.queue) < p.maxWaitingForGroup()
	if reason != "" && !waitForGroup {
		return nil, nil, &RefusalError{Reason: reason, RetryAfter: after}
	}
	if latestStart := request.Deadline.Add(-p.meanGrantTime); !request.OnTimeUntil.After(now) &&
		latestStart.Before(request.WaitUntil) {
		// A late request that is admitted after this time can't be answered by its deadline.
		request.WaitUntil = latestStart
	}
	w := &waiter{request: request, arrived: now, granted: make(chan *Grant, 1), refused: make(chan *RefusalError, 1)}
	if p.dividesSlots() {
		w.tag = p.fair.Tag(w.flow(), float64(max(request.Tokens, 1)))
	}
	p.queue = append(p.queue, w)
	p.dispatch()
	select {
	case g := <-w.granted:
		return nil, g, nil
	default:
	}
	if wait := p.expectedWait(w); !waitForGroup && now.Add(wait).After(request.WaitUntil) ||
		!now.Before(request.WaitUntil) {
		p.dequeue(w)
		return nil, nil, p.busyRefusal(wait, now)
	}
	return w, nil, nil
}

// cancelWait removes a waiter from the queue and returns its refusal. If the waiter was
// granted a replica in the meantime, cancelWait returns that grant instead.
func (p *Pool) cancelWait(w *waiter, reason Reason) (*Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-w.granted:
		return g, nil
	case refusal := <-w.refused:
		return nil, refusal
	default:
	}
	p.dequeue(w)
	if reason == ReasonBusy {
		return nil, p.busyRefusal(p.expectedWait(w), p.options.Clock.Now())
	}
	return nil, &RefusalError{Reason: reason, RetryAfter: p.retryAfter(p.expectedWait(w))}
}

// busyRefusal returns the refusal of a request that would have to wait for too long.
func (p *Pool) busyRefusal(wait time.Duration, now time.Time) *RefusalError {
	if rate, all := p.limitedRate(now); all {
		return &RefusalError{Reason: ReasonLimited, RetryAfter: p.nextReturnAfter(now.Add(wait), now, intervalAt(p.rateAtReturn(rate, now.Add(wait), now)))}
	}
	return &RefusalError{Reason: ReasonBusy, RetryAfter: p.retryAfter(wait)}
}

func (p *Pool) dequeue(w *waiter) {
	if i := slices.Index(p.queue, w); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
		p.fair.Refund(w.flow(), w.tag)
	}
}

// unavailableReason returns why no replica is available for the request, and the delay
// after which one is expected; an empty reason if one is available.
func (p *Pool) unavailableReason(request AdmissionRequest, now time.Time) (Reason, time.Duration) {
	broken := false
	var restUntil time.Time
	for _, r := range p.replicas {
		if !r.usable() || !request.mayUse(r) {
			continue
		}
		inBrokenGroup := p.inBrokenGroup(r, now)
		if r.remainingBackoff(now) <= 0 && !inBrokenGroup {
			return "", 0
		}
		broken = broken || r.broken || inBrokenGroup
		if until := r.signs.RestUntil; until.After(now) && (restUntil.IsZero() || until.Before(restUntil)) {
			restUntil = until
		}
	}
	switch {
	case broken:
		return ReasonGroupBroken, p.groupRetryAfter(now)
	case !restUntil.IsZero():
		return ReasonResting, p.restRetryAfter(restUntil, now)
	}
	return cmp.Or(p.noZoneReason(request), ReasonNoReplica), noReplicaRetryAfter
}

// maxWaitingForGroup returns the number of late requests that this entry queues while a
// group is broken: its share of what the group can run once it works again.
func (p *Pool) maxWaitingForGroup() int {
	return p.capacityPerEntry()
}

// capacityPerEntry returns the number of requests that may be on all usable replicas at once,
// divided by the number of entries.
func (p *Pool) capacityPerEntry() int {
	capacity := 0
	for _, r := range p.replicas {
		if r.usable() {
			capacity += p.limit(r)
		}
	}
	return capacity / max(p.options.Entries(), 1)
}

// expectedWait predicts the wait of a request from its position in the queue.
func (p *Pool) expectedWait(w *waiter) time.Duration {
	now := p.options.Clock.Now()
	position := 1
	for _, other := range p.queue {
		if other != w && compareWaiters(other, w, now) <= 0 {
			position++
		}
	}
	return time.Duration(float64(position) * float64(intervalAt(p.throughput(now, w.request.Zones))))
}

// throughput estimates the requests a second that this entry may send to the given zones; 0 if that isn't known.
func (p *Pool) throughput(now time.Time, zones func(track.AvailabilityZone) bool) float64 {
	own, all := 0, 0
	for _, r := range p.replicas {
		own += r.ownInFlight.Running
		all += r.load()
	}
	// Of the capacity that becomes free, this entry gets about the share that it uses
	// now.
	share := 1.0
	if p.dividesSlots() {
		share = p.share.Width
	} else if all > 0 {
		share = max(float64(own)/float64(all), minCapacityShare)
	}
	sum := 0.0
	for _, r := range p.replicas {
		if !r.available(now) || !allows(zones, r.Zone) {
			continue
		}
		rate := math.Inf(1)
		if p.meanGrantTime > 0 {
			rate = float64(p.limit(r)) * share / p.meanGrantTime.Seconds()
		}
		if r.signs.Limit > 0 {
			rate = min(rate, r.signs.Limit*p.share.Width)
		}
		if coldRate, isCold := p.coldRate(r, now); isCold {
			rate = min(rate, coldRate)
		}
		sum += rate
	}
	if math.IsInf(sum, 1) {
		return 0
	}
	return sum
}

// intervalAt returns the time between two requests at a rate a second; 0 for an unknown rate, which is 0.
func intervalAt(rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// retryAfter returns the delay after which a refused client should retry, given its
// predicted wait.
func (p *Pool) retryAfter(wait time.Duration) time.Duration {
	if p.engine != nil {
		return p.addJitter(max(wait, minEngineRetryAfter))
	}
	return p.addJitter(max(wait, minRetryAfter))
}

// addJitter lengthens a delay at random, so that refused clients don't all retry at the
// same time.
func (p *Pool) addJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(retryJitter*p.options.Random()*float64(wait))
}

// dispatch grants free capacity to queued requests.
func (p *Pool) dispatch() {
	now := p.options.Clock.Now()
	slices.SortStableFunc(p.queue, func(a, b *waiter) int { return compareWaiters(a, b, now) })
	// full is set once no replica is free for a request that may run in all zones. Then none is free for the later ones
	// of these either, whatever replicas they exclude.
	full := false
	for i := 0; i < len(p.queue); {
		w := p.queue[i]
		var r *replica
		var lent bool
		var candidates int
		if allZones := w.request.Zones == nil; !allZones || !full {
			r, lent, candidates = p.chooseReplica(w.request, now)
			full = full || allZones && r == nil && len(w.request.Excluded) == 0
		}
		if r == nil && p.refuseWithoutZone(w) {
			continue
		}
		if r == nil {
			i++
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		p.fair.Serve(w.flow(), w.tag.Start)
		if lent {
			p.lentRequests++
		}
		r.permits.Use()
		r.ownInFlight.Running++
		r.ownInFlight.Starting++
		r.tokens += w.request.Tokens
		w.granted <- &Grant{
			Replica: r.Replica, Waited: now.Sub(w.arrived), Load: r.load(), Starting: r.starting(), Candidates: candidates,
			pool: p, zones: w.request.Zones, tokens: w.request.Tokens, granted: now, starting: true,
		}
	}
	if len(p.queue) == 0 {
		p.fair.Reset()
	}
}

// compareWaiters orders the queue by priority. Among equal priorities, requests that can
// still be served on time go before those that can't, and late ones that return when they
// were told to before other late ones. Then accounts that compete take turns, and at last
// the earliest arrival goes first.
func compareWaiters(a, b *waiter, now time.Time) int {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority - b.request.Priority
	}
	lateA, lateB := now.After(a.request.OnTimeUntil), now.After(b.request.OnTimeUntil)
	switch {
	case lateA && !lateB:
		return 1
	case lateB && !lateA:
		return -1
	}
	if order := a.request.Return.lateOrder() - b.request.Return.lateOrder(); lateA && order != 0 {
		return order
	}
	return cmp.Or(cmp.Compare(a.tag.Start, b.tag.Start), a.arrived.Compare(b.arrived))
}

// chooseReplica returns a replica for the request, whether the request uses a slot of another entry there, and the
// number of candidates; a nil replica if there is none. Of the replicas with an own slot, the least loaded one is
// chosen. Of others, it is the least loaded one of a small random sample: the requests in flight from other entries
// are known with a delay, and if all entries sent to the least loaded replica in the meantime, it would be overloaded.
func (p *Pool) chooseReplica(request AdmissionRequest, now time.Time) (r *replica, lent bool, candidates int) {
	p.collectCandidates(request, now)
	count := len(p.ownCandidates) + len(p.candidates)
	best, bestScore := p.leastLoaded(p.ownCandidates)
	other, otherScore := p.leastLoaded(p.candidates[:p.sampleCandidates()])
	if best == nil || other != nil && otherScore*lentAdvantage <= bestScore {
		return other, p.dividesSlots(), count
	}
	return best, false, count
}

// leastLoaded returns the replica with the lowest score, and its score; nil if there is none.
func (p *Pool) leastLoaded(replicas []*replica) (best *replica, bestScore float64) {
	for _, r := range replicas {
		if score := p.score(r); best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	return best, bestScore
}

// collectCandidates collects the replicas that the request may be sent to now. If the entries divide the slots,
// ownCandidates are those with a free slot of this entry, and candidates others that have room.
func (p *Pool) collectCandidates(request AdmissionRequest, now time.Time) {
	p.ownCandidates, p.candidates = p.ownCandidates[:0], p.candidates[:0]
	avoidSlow := p.anyHealthyRank(now, request.Zones)
	divided := p.dividesSlots()
	for _, r := range p.replicas {
		if !r.available(now) || !request.mayUse(r) || p.inBrokenGroup(r, now) || avoidSlow && r.slow() ||
			!r.permits.Available(p.shareAt(r, now), now) || p.engine != nil && r.starting() >= maxStarting {
			continue
		}
		switch {
		case divided && p.hasOwnSlot(r):
			p.ownCandidates = append(p.ownCandidates, r)
		case r.load() < p.limit(r):
			p.candidates = append(p.candidates, r)
		}
	}
	if divided {
		p.keepLendable(now)
	}
	// The iteration order of a map varies.
	slices.SortFunc(p.ownCandidates, func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) })
	shuffle(p.ownCandidates, 0, len(p.ownCandidates), len(p.ownCandidates), p.options.Random)
}

// sampleCandidates moves a random sample to the front of the candidates and returns its
// size: some of the local zone and some of all zones, or all candidates if they are few.
// The order of the sample is random, too, because it decides among equal scores.
func (p *Pool) sampleCandidates() int {
	zoneOrder := func(r *replica) int {
		if r.Zone == p.options.Zone {
			return 0
		}
		return 1
	}
	// The iteration order of a map varies. Sorting makes the sample depend on Random alone.
	slices.SortFunc(p.candidates, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(zoneOrder(a), zoneOrder(b)), cmp.Compare(a.ID, b.ID))
	})
	if len(p.candidates) <= maxUnsampled {
		shuffle(p.candidates, 0, len(p.candidates), len(p.candidates), p.options.Random)
		return len(p.candidates)
	}
	local := slices.IndexFunc(p.candidates, func(r *replica) bool { return zoneOrder(r) == 1 })
	if local < 0 {
		local = len(p.candidates)
	}
	localSample := min(local, localSampleSize)
	shuffle(p.candidates, 0, localSample, local, p.options.Random)
	shuffle(p.candidates, localSample, localSample+sampleSize, len(p.candidates), p.options.Random)
	return localSample + sampleSize
}

// shuffle fills the positions [first, end) with replicas that are drawn at random from those at
// [first, last).
func shuffle(replicas []*replica, first, end, last int, random func() float64) {
	for i := first; i < end; i++ {
		j := i + int(random()*float64(last-i))
		replicas[i], replicas[j] = replicas[j], replicas[i]
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
	delete(r.movable, g)
	r.ownInFlight.Running--
	if g.starting {
		r.ownInFlight.Starting--
	}
	r.tokens -= g.tokens
	p.recordFirstByte(result)
	if result.Verdict == Served {
		p.recordGrantTime(now.Sub(g.granted))
	}
	if result.AtFault != "" && p.engine != nil {
		p.markGroupBroken(r, now)
	}
	if change := r.recordResult(result, now, p.engine); change != "" {
		p.options.Logger.Info("replica health", zap.String("Replica", string(r.ID)), zap.String("Change", change),
			zap.Duration("ClosedFor", r.remainingBackoff(now)), zap.String("AtFault", result.AtFault))
	}
	if !r.listed && r.ownInFlight.Running == 0 {
		delete(p.replicas, r.ID)
		p.byAddress = nil
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
	r.ownInFlight.Starting--
	p.dispatch()
}

// recordGrantTime adds the duration of a served attempt to the moving mean.
func (p *Pool) recordGrantTime(held time.Duration) {
	p.durations.add(held)
	if p.meanGrantTime == 0 {
		p.meanGrantTime = held
		return
	}
	p.meanGrantTime += time.Duration(grantTimeSmoothing * float64(held-p.meanGrantTime))
}

// InFlight returns this entry's requests on each replica that has any.
func (p *Pool) InFlight() map[track.ReplicaID]track.InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[track.ReplicaID]track.InFlight, len(p.replicas))
	for id, r := range p.replicas {
		if r.ownInFlight.Running > 0 {
			counts[id] = r.ownInFlight
		}
	}
	return counts
}

// SetOtherInFlight sets the requests in flight on each replica from all other entries.
func (p *Pool) SetOtherInFlight(counts map[track.ReplicaID]track.InFlight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, r := range p.replicas {
		r.otherInFlight = counts[id]
	}
	p.refreshCold()
	p.dispatch()
}

// Usage is the use of a service's capacity, as one entry sees it.
type Usage struct {
	// Capacity is the number of requests that the available replicas may run at once,
	// InFlight the number of requests on them from all entries, and Queued the number
	// queued in this entry.
	Capacity int
	InFlight int
	Queued   int
}

// Usage returns the current use of the service's capacity.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	w := Usage{Queued: len(p.queue)}
	for _, r := range p.replicas {
		if r.available(now) {
			w.Capacity += p.limit(r)
			w.InFlight += r.load()
		}
	}
	return w
}
