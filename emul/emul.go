// Package emul simulates filberttrack under a load of streams, on simulated time: clients,
// entries with their capacities and their outdated view of each other, and rank groups whose
// engines run in lock-step. It uses the product's own packages to choose replicas and to
// space events, and gives in a second the results for which a run on real machines takes
// minutes.
package emul

import (
	"cmp"
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/signs"
	"filberttrack.example/track/smooth"
)

// Scenario describes a simulation. All times are simulated.
type Scenario struct {
	Seed   uint64
	Length time.Duration
	// Entries, Zones and Groups are the numbers of entries, availability zones and rank
	// groups; Ranks is the number of ranks in each group. Entries and ranks are assigned to
	// zones in turn.
	Entries, Zones, Groups, Ranks int
	// Rate is the mean number of streams per second, Prompt their mean prompt length in
	// tokens and Events their mean number of events.
	Rate   float64
	Prompt float64
	Events float64
	// Engine describes the engine of each rank, and Samples is the number of sequences that
	// the engine generates for a stream.
	Engine  track.EngineSpec
	Samples int
	// SameZoneDelay and OtherZoneDelay are the delays with which entries learn how many requests other entries
	// have in flight: SameZoneDelay for entries of the same zone, OtherZoneDelay for those of other zones.
	SameZoneDelay, OtherZoneDelay time.Duration
	// ShiftInterval is the time between two shifts of the demand for experts, 0 for none.
	// ShiftDuration is the time after a shift until the expert maps are balanced again.
	// ShiftSkew is the skew during ShiftDuration, Skew that at all other times.
	ShiftInterval, ShiftDuration time.Duration
	Skew, ShiftSkew              float64
	// Outages are periods in which a group is broken, Slow those in which a rank is slow.
	Outages []Outage
	Slow    []SlowPeriod
	// Objective and MaxGap are the targets of the route, for the time to the first event and
	// for the longest pause between events. MaxHold is the longest time for which an entry
	// holds an event back.
	Objective, MaxGap, MaxHold time.Duration
}

// Outage is a period in which a group is broken.
type Outage struct {
	Group    int
	From, To time.Duration
}

// SlowPeriod is a period in which a rank of a group is slow.
type SlowPeriod struct {
	Group int
	// Slowdown is the factor on the duration of the rank's own part of a pass.
	Slowdown float64
	From, To time.Duration
}

// Result holds what clients measured, and figures about the engines.
type Result struct {
	Requested, Refused, Served int
	// LateFirst counts the streams whose first event missed the objective, and LateGap
	// those with a pause longer than MaxGap. Late counts the streams with either.
	LateFirst, LateGap, Late int
	// First holds the time to the first event, and Gaps the longest pause between events,
	// of each served stream.
	First, Gaps []time.Duration
	// MostQueued is the largest number of requests that a rank had beyond its slots.
	MostQueued int
	// Passes holds the durations of all passes.
	Passes []time.Duration
}

// OnTime returns the share of all requested streams that were served on time.
func (r *Result) OnTime() float64 {
	return float64(r.Served-r.Late) / float64(max(r.Requested, 1))
}

// Percentile returns the percentile p of the durations, with p from 0 to 1. It returns 0
// if there are no durations.
func Percentile(durations []time.Duration, p float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// expertShare is the share of a pass that is spent in experts.
const expertShare = 0.85

// scheduledEvent is a function to call at a simulated time.
type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a heap of events, ordered by time and then by the order of scheduling.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is the state of a simulation.
type simulation struct {
	day     Scenario
	rng     *rand.Rand
	clock   *clockwork.FakeClock
	start   time.Time
	now     time.Duration
	queue   eventQueue
	seq     int
	entries []*entry
	groups  []*group
	result  Result
}

type entry struct {
	pool *batch.Pool
	zone track.AvailabilityZone
	// snapshots holds the recent counts of the entry's requests in flight, newest last.
	snapshots []inFlightSnapshot
}

// inFlightSnapshot holds the requests that an entry had in flight at a time, by replica.
type inFlightSnapshot struct {
	at     time.Duration
	counts map[track.ReplicaID]track.InFlight
}

// group is a rank group. Its ranks run each pass in lock-step.
type group struct {
	number int
	ranks  []*rank
	// passRunning is set while a pass is in progress.
	passRunning bool
	// working is the state that entries know, if announced is set.
	working, announced bool
}

type rank struct {
	id      track.ReplicaID
	running []*stream
	waiting []*stream
}

// stream is a stream in progress.
type stream struct {
	requestedAt  time.Duration
	eventsLeft   int
	promptTokens float64
	grant        *batch.Grant
	pacer        *smooth.Pacer
	promptDone   bool
	firstEvent   time.Duration
	lastDelivery time.Time
	longestGap   time.Duration
	started      bool
}

// Simulate runs a simulation. It returns an error if a count or the rate is not positive.
func Simulate(d Scenario) (*Result, error) {
	if d.Entries < 1 || d.Zones < 1 || d.Groups < 1 || d.Ranks < 1 || d.Rate <= 0 || d.Engine.Slots < 1 {
		return nil, fmt.Errorf("simulate day: %d entries, %d zones, %d groups, %d ranks, %.1f streams a second and %d slots must all be positive",
			d.Entries, d.Zones, d.Groups, d.Ranks, d.Rate, d.Engine.Slots)
	}
	sim := &simulation{day: d, rng: rand.New(rand.NewPCG(d.Seed, 3)), clock: clockwork.NewFakeClock()}
	sim.start = sim.clock.Now()
	sim.setUp()
	sim.schedule(0, sim.startStream)
	sim.schedule(0, sim.exchangeState)
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		sim.clock.Advance(next.at - sim.now)
		sim.now = next.at
		next.run()
	}
	return &sim.result, nil
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledEvent{at: sim.now + d, seq: sim.seq, run: run})
}

func zone(i int) track.AvailabilityZone { return track.AvailabilityZone(fmt.Sprint("zone-", i)) }

const service = "model"

// setUp creates the groups, and the entries that know all their replicas.
func (sim *simulation) setUp() {
	var replicas []track.Replica
	for i := range sim.day.Groups {
		g := &group{number: i}
		for r := range sim.day.Ranks {
			id := track.ReplicaID(fmt.Sprintf("i-%d-%d", i, r))
			g.ranks = append(g.ranks, &rank{id: id})
			replicas = append(replicas, track.Replica{
				ID: id, Service: service, Address: string(id), Zone: zone((i*sim.day.Ranks + r) % sim.day.Zones), Slots: sim.day.Engine.Slots,
			})
		}
		sim.groups = append(sim.groups, g)
	}
	for i := range sim.day.Entries {
		e := &entry{zone: zone(i % sim.day.Zones)}
		e.pool = batch.New(batch.Options{
			Service: service, Zone: e.zone, Clock: sim.clock, Random: sim.rng.Float64, Logger: zap.NewNop(),
			Entries: func() int { return sim.day.Entries }, Signs: signs.New(sim.clock, zap.NewNop()),
		})
		spec := sim.day.Engine
		e.pool.Configure(&spec)
		e.pool.Update(replicas)
		sim.entries = append(sim.entries, e)
	}
}

// exchangeInterval is the time between two exchanges of state among entries.
const exchangeInterval = 50 * time.Millisecond

// exchangeState informs each entry of the requests that the others had in flight some time
// ago, and of the state of the groups.
func (sim *simulation) exchangeState() {
	for _, e := range sim.entries {
		e.snapshots = append(e.snapshots, inFlightSnapshot{sim.now, e.pool.InFlight()})
		for len(e.snapshots) > 1 && e.snapshots[1].at <= sim.now-sim.day.OtherZoneDelay {
			e.snapshots = e.snapshots[1:]
		}
	}
	near, far := sim.inFlightByZone(sim.now-sim.day.SameZoneDelay), sim.inFlightByZone(sim.now-sim.day.OtherZoneDelay)
	for _, e := range sim.entries {
		others := make(map[track.ReplicaID]track.InFlight)
		for zone := range far {
			sum := far[zone]
			if zone == e.zone {
				sum = near[zone]
			}
			for id, n := range sum {
				others[id] = others[id].Add(n)
			}
		}
		for id, own := range e.inFlightAt(sim.now - sim.day.SameZoneDelay) {
			others[id] = others[id].Add(track.InFlight{Running: -own.Running, Starting: -own.Starting})
		}
		e.pool.SetOtherInFlight(others)
	}
	for _, g := range sim.groups {
		sim.updateGroupState(g)
	}
	if sim.now < sim.day.Length {
		sim.schedule(exchangeInterval, sim.exchangeState)
	}
}

// updateGroupState informs entries that a group works or is broken, if that has changed.
func (sim *simulation) updateGroupState(g *group) {
	working := !sim.isBroken(g)
	if g.announced && g.working == working {
		return
	}
	g.announced, g.working = true, working
	for _, e := range sim.entries {
		for _, r := range g.ranks {
			e.pool.SetRank(string(r.id), batch.RankState{Group: fmt.Sprint("g", g.number), Working: working, Slowdown: 1})
		}
	}
}

// inFlightByZone returns the requests in flight on each replica at a time, by the zone of
// the entries that sent them.
func (sim *simulation) inFlightByZone(at time.Duration) map[track.AvailabilityZone]map[track.ReplicaID]track.InFlight {
	sums := make(map[track.AvailabilityZone]map[track.ReplicaID]track.InFlight)
	for _, e := range sim.entries {
		sum := sums[e.zone]
		if sum == nil {
			sum = make(map[track.ReplicaID]track.InFlight)
			sums[e.zone] = sum
		}
		for id, n := range e.inFlightAt(at) {
			sum[id] = sum[id].Add(n)
		}
	}
	return sums
}

// inFlightAt returns the counts of the latest snapshot that is not newer than a time.
func (e *entry) inFlightAt(at time.Duration) map[track.ReplicaID]track.InFlight {
	for i := len(e.snapshots) - 1; i >= 0; i-- {
		if e.snapshots[i].at <= at {
			return e.snapshots[i].counts
		}
	}
	return nil
}

func (sim *simulation) isBroken(g *group) bool {
	return slices.ContainsFunc(sim.day.Outages, func(o Outage) bool { return o.Group == g.number && o.From <= sim.now && sim.now < o.To })
}

// startStream requests a stream at a random entry and schedules the next request.
func (sim *simulation) startStream() {
	if sim.now >= sim.day.Length {
		return
	}
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/sim.day.Rate*float64(time.Second)), sim.startStream)
	sim.result.Requested++
	e := sim.entries[sim.rng.IntN(len(sim.entries))]
	now := sim.start.Add(sim.now)
	// Entries queue nothing here: a stream for which no slot is free is refused at once.
	grant, err := e.pool.Acquire(context.Background(), batch.AdmissionRequest{
		Tokens: int(sim.day.Prompt), OnTimeUntil: now.Add(sim.day.Objective / 2), WaitUntil: now,
		Deadline: now.Add(8 * time.Second),
	})
	var refused *batch.RefusalError
	if errors.As(err, &refused) {
		sim.result.Refused++
		return
	}
	s := &stream{
		requestedAt: sim.now, grant: grant, promptTokens: sim.day.Prompt * (0.2 + 1.6*sim.rng.Float64()),
		eventsLeft: max(1, int(math.Round(sim.day.Events*(0.2+1.6*sim.rng.Float64())))),
		pacer:      smooth.NewPacer(smooth.Limits{Spacing: sim.day.MaxGap * 93 / 100, MaxDelay: sim.day.MaxHold}),
	}
	g, r := sim.findRank(grant.Replica.ID)
	r.waiting = append(r.waiting, s)
	sim.result.MostQueued = max(sim.result.MostQueued, len(r.running)+len(r.waiting)-sim.day.Engine.Slots)
	sim.startPass(g)
}

func (sim *simulation) findRank(id track.ReplicaID) (*group, *rank) {
	for _, g := range sim.groups {
		for _, r := range g.ranks {
			if r.id == id {
				return g, r
			}
		}
	}
	panic("unknown replica")
}

// startPass starts a pass of a group that has requests and no pass in progress.
func (sim *simulation) startPass(g *group) {
	if g.passRunning {
		return
	}
	if sim.isBroken(g) {
		sim.refuseAll(g)
		return
	}
	for _, r := range g.ranks {
		n := min(len(r.waiting), sim.day.Engine.Slots-len(r.running))
		r.running = append(r.running, r.waiting[:n]...)
		r.waiting = r.waiting[n:]
	}
	duration := sim.passDuration(g)
	if duration == 0 {
		return
	}
	g.passRunning = true
	sim.result.Passes = append(sim.result.Passes, duration)
	sim.schedule(duration, func() {
		g.passRunning = false
		sim.finishPass(g)
		sim.startPass(g)
	})
}

// passDuration returns the duration of the next pass: the slowest rank determines the part
// outside the experts, and the rank with the most loaded experts the other part. It is 0 if
// the group has no requests.
func (sim *simulation) passDuration(g *group) time.Duration {
	spec, mostRunning, promptTokens := sim.day.Engine, 0, 0.0
	for _, r := range g.ranks {
		mostRunning = max(mostRunning, len(r.running))
		for _, s := range r.running {
			if !s.promptDone {
				promptTokens += s.promptTokens
			}
		}
	}
	if mostRunning == 0 {
		return 0
	}
	tokenStep := float64(spec.StepTime) + float64(mostRunning*sim.day.Samples)*float64(spec.StepPerRequest)
	work := float64(spec.TokensPerPass)*tokenStep + promptTokens/float64(len(g.ranks))/spec.PromptTokensPerSecond*float64(time.Second)
	return time.Duration(work * ((1-expertShare)*sim.slowdown(g) + expertShare*sim.expertSkew()))
}

func (sim *simulation) slowdown(g *group) float64 {
	slowdown := 1.0
	for _, s := range sim.day.Slow {
		if s.Group == g.number && s.From <= sim.now && sim.now < s.To {
			slowdown = max(slowdown, s.Slowdown)
		}
	}
	return slowdown
}

// expertSkew returns the expert load of the most loaded rank relative to the mean.
func (sim *simulation) expertSkew() float64 {
	if sim.day.ShiftInterval > 0 && sim.now%sim.day.ShiftInterval < sim.day.ShiftDuration {
		return sim.day.ShiftSkew
	}
	return max(sim.day.Skew, 1)
}

// finishPass delivers an event of each running stream and ends the streams that are
// complete.
func (sim *simulation) finishPass(g *group) {
	now := sim.start.Add(sim.now)
	for _, r := range g.ranks {
		r.running = slices.DeleteFunc(r.running, func(s *stream) bool {
			s.deliverEvent(now, sim.now)
			if s.eventsLeft > 0 {
				return false
			}
			sim.finishStream(s)
			return true
		})
	}
}

func (s *stream) deliverEvent(now time.Time, at time.Duration) {
	s.promptDone = true
	s.eventsLeft--
	delivered := s.pacer.DeliveryTime(now)
	if !s.started {
		s.started, s.firstEvent = true, at-s.requestedAt
		s.grant.Started()
	} else {
		s.longestGap = max(s.longestGap, delivered.Sub(s.lastDelivery))
	}
	s.lastDelivery = delivered
}

func (sim *simulation) finishStream(s *stream) {
	s.grant.Done(batch.Result{Verdict: batch.Served, FirstByte: s.firstEvent})
	lateFirst, lateGap := s.firstEvent > sim.day.Objective, s.longestGap > sim.day.MaxGap
	sim.result.Served++
	sim.result.First, sim.result.Gaps = append(sim.result.First, s.firstEvent), append(sim.result.Gaps, s.longestGap)
	if lateFirst {
		sim.result.LateFirst++
	}
	if lateGap {
		sim.result.LateGap++
	}
	if lateFirst || lateGap {
		sim.result.Late++
	}
}

// refuseAll ends all requests of a broken group as refused.
func (sim *simulation) refuseAll(g *group) {
	for _, r := range g.ranks {
		for _, s := range append(r.running, r.waiting...) {
			s.grant.Done(batch.Result{Verdict: batch.AtCapacity, AtFault: string(r.id)})
			sim.result.Refused++
		}
		r.running, r.waiting = nil, nil
	}
}
