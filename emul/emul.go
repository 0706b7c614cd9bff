// Package emul plays days of streams on simulated time: clients, entries with their
// capacities and stale knowledge of each other, and groups of engines in lock-step. It uses
// the product's own placement and spacing, and answers in a second what a day on
// machines answers in minutes.
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
	"filberttrack.example/track/smooth"
)

// Day describes a day. All times are simulated.
type Day struct {
	Seed   uint64
	Length time.Duration
	// Entries, Zones, Groups and Ranks count entries and zones in all, groups, and the
	// ranks of each group. Entries and ranks are dealt to zones in turn.
	Entries, Zones, Groups, Ranks int
	// Rate is the number of streams a second, Prompt and Events their mean sizes.
	Rate   float64
	Prompt float64
	Events float64
	// Engine describes the ranks, Samples the sequences that a stream stands for.
	Engine  track.EngineSpec
	Samples int
	// Near and Far are the ages at which entries know what others of their zone and of
	// other zones have in flight.
	Near, Far time.Duration
	// Shifts is the time between two shifts of the demand, ShiftTime the time until the
	// maps are even again; Skew and ShiftSkew are the skew before and after.
	Shifts, ShiftTime time.Duration
	Skew, ShiftSkew   float64
	// Outages are spans in which a group is broken, Slow those in which a rank needs
	// many times as long.
	Outages []Outage
	Slow    []Slowness
	// Objective, MaxGap and MaxHold are those of the route and of the entries.
	Objective, MaxGap, MaxHold time.Duration
}

// Outage is a span in which a group is broken.
type Outage struct {
	Group    int
	From, To time.Duration
}

// Slowness is a span in which a rank of a group is slow.
type Slowness struct {
	Group    int
	Pace     float64
	From, To time.Duration
}

// Result is what clients saw.
type Result struct {
	Asked, Refused, Served int
	// LateFirst and LateGap count the streams whose first event was late, and those with
	// a pause over the longest on time; Late counts both once.
	LateFirst, LateGap, Late int
	// First and Gaps hold each served stream's time to the first event and its longest
	// pause.
	First, Gaps []time.Duration
	// MostQueued is the largest number of requests beyond its capacity that a rank had.
	MostQueued int
	// Passes holds the durations of all passes.
	Passes []time.Duration
}

// OnTime returns the share of the streams asked for that were served on time.
func (r *Result) OnTime() float64 {
	return float64(r.Served-r.Late) / float64(max(r.Asked, 1))
}

// Percentile returns a percentile of durations, 0 to 1; 0 without any.
func Percentile(durations []time.Duration, p float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// expertShare is the part of the work for tokens that goes to experts.
const expertShare = 0.85

// happening is something at a time.
type happening struct {
	at  time.Duration
	seq int
	run func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].seq, a[j].seq)) < 0
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// play is a day in progress.
type play struct {
	day     Day
	rng     *rand.Rand
	clock   *clockwork.FakeClock
	start   time.Time
	now     time.Duration
	agenda  agenda
	seq     int
	entries []*entry
	groups  []*group
	result  Result
}

type entry struct {
	pool *batch.Pool
	zone track.AvailabilityZone
	// told holds what was told of the entry, newest last.
	told []telling
}

type telling struct {
	at     time.Duration
	counts map[track.ReplicaID]track.InFlight
}

// group is a group of ranks in lock-step.
type group struct {
	number int
	ranks  []*rank
	// passing is set while a pass is under way.
	passing bool
	// open is what entries were told last, if they were told.
	open, told bool
}

type rank struct {
	id      track.ReplicaID
	running []*stream
	waiting []*stream
}

// stream is one stream on its way.
type stream struct {
	asked  time.Duration
	left   int
	prompt float64
	grant  *batch.Grant
	pacer  *smooth.Pacer
	read   bool
	first  time.Duration
	last   time.Time
	gap    time.Duration
	begun  bool
}

// Play plays a day.
func Play(d Day) (*Result, error) {
	if d.Entries < 1 || d.Zones < 1 || d.Groups < 1 || d.Ranks < 1 || d.Rate <= 0 || d.Engine.Slots < 1 {
		return nil, fmt.Errorf("play day: %d entries, %d zones, %d groups, %d ranks, %.1f streams a second and %d slots must all be positive",
			d.Entries, d.Zones, d.Groups, d.Ranks, d.Rate, d.Engine.Slots)
	}
	p := &play{day: d, rng: rand.New(rand.NewPCG(d.Seed, 3)), clock: clockwork.NewFakeClock()}
	p.start = p.clock.Now()
	p.open()
	p.after(0, p.arrive)
	p.after(0, p.tell)
	for len(p.agenda) > 0 {
		next := heap.Pop(&p.agenda).(happening)
		p.clock.Advance(next.at - p.now)
		p.now = next.at
		next.run()
	}
	return &p.result, nil
}

func (p *play) after(d time.Duration, run func()) {
	p.seq++
	heap.Push(&p.agenda, happening{at: p.now + d, seq: p.seq, run: run})
}

func zone(i int) track.AvailabilityZone { return track.AvailabilityZone(fmt.Sprint("zone-", i)) }

const service = "model"

// open makes entries and groups that know each other.
func (p *play) open() {
	var list []track.Replica
	for g := range p.day.Groups {
		made := &group{number: g}
		for r := range p.day.Ranks {
			id := track.ReplicaID(fmt.Sprintf("i-%d-%d", g, r))
			made.ranks = append(made.ranks, &rank{id: id})
			list = append(list, track.Replica{
				ID: id, Service: service, Address: string(id), Zone: zone((g*p.day.Ranks + r) % p.day.Zones), Slots: p.day.Engine.Slots,
			})
		}
		p.groups = append(p.groups, made)
	}
	for i := range p.day.Entries {
		e := &entry{zone: zone(i % p.day.Zones)}
		e.pool = batch.New(batch.Options{
			Service: service, Zone: e.zone, Clock: p.clock, Random: p.rng.Float64, Logger: zap.NewNop(),
			Entries: func() int { return p.day.Entries },
		})
		spec := p.day.Engine
		e.pool.Configure(&spec)
		e.pool.Update(list)
		p.entries = append(p.entries, e)
	}
}

// tellInterval is the time between two tellings of an entry.
const tellInterval = 50 * time.Millisecond

// tell has each entry learn what the others had in flight a while ago, and of groups.
func (p *play) tell() {
	for _, e := range p.entries {
		e.told = append(e.told, telling{p.now, e.pool.InFlight()})
		for len(e.told) > 1 && e.told[1].at <= p.now-p.day.Far {
			e.told = e.told[1:]
		}
	}
	near, far := p.sums(p.now-p.day.Near), p.sums(p.now-p.day.Far)
	for _, e := range p.entries {
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
		for id, own := range e.toldBefore(p.now - p.day.Near) {
			others[id] = others[id].Add(track.InFlight{Running: -own.Running, Starting: -own.Starting})
		}
		e.pool.SetOtherInFlight(others)
	}
	for _, g := range p.groups {
		p.tellGroup(g)
	}
	if p.now < p.day.Length {
		p.after(tellInterval, p.tell)
	}
}

// tellGroup has entries learn that a group works or is broken, if that is news.
func (p *play) tellGroup(g *group) {
	open := !p.broken(g)
	if g.told && g.open == open {
		return
	}
	g.told, g.open = true, open
	for _, e := range p.entries {
		for _, r := range g.ranks {
			e.pool.SetRank(string(r.id), batch.RankState{Group: fmt.Sprint("g", g.number), Working: open, Slowdown: 1})
		}
	}
}

// sums adds up by zone what entries had in flight at a time.
func (p *play) sums(at time.Duration) map[track.AvailabilityZone]map[track.ReplicaID]track.InFlight {
	sums := make(map[track.AvailabilityZone]map[track.ReplicaID]track.InFlight)
	for _, e := range p.entries {
		sum := sums[e.zone]
		if sum == nil {
			sum = make(map[track.ReplicaID]track.InFlight)
			sums[e.zone] = sum
		}
		for id, n := range e.toldBefore(at) {
			sum[id] = sum[id].Add(n)
		}
	}
	return sums
}

// toldBefore returns the latest counts that were told up to a time.
func (e *entry) toldBefore(at time.Duration) map[track.ReplicaID]track.InFlight {
	for i := len(e.told) - 1; i >= 0; i-- {
		if e.told[i].at <= at {
			return e.told[i].counts
		}
	}
	return nil
}

func (p *play) broken(g *group) bool {
	return slices.ContainsFunc(p.day.Outages, func(o Outage) bool { return o.Group == g.number && o.From <= p.now && p.now < o.To })
}

// arrive has a client ask, and the next one after it.
func (p *play) arrive() {
	if p.now >= p.day.Length {
		return
	}
	p.after(time.Duration(p.rng.ExpFloat64()/p.day.Rate*float64(time.Second)), p.arrive)
	p.result.Asked++
	e := p.entries[p.rng.IntN(len(p.entries))]
	now := p.start.Add(p.now)
	// Nobody waits here: a stream that finds no place is refused at once.
	grant, err := e.pool.Acquire(context.Background(), batch.AdmissionRequest{
		Tokens: int(p.day.Prompt), OnTimeUntil: now.Add(p.day.Objective / 2), WaitUntil: now,
		Deadline: now.Add(8 * time.Second),
	})
	var refused *batch.RefusalError
	if errors.As(err, &refused) {
		p.result.Refused++
		return
	}
	s := &stream{
		asked: p.now, grant: grant, prompt: p.day.Prompt * (0.2 + 1.6*p.rng.Float64()),
		left:  max(1, int(math.Round(p.day.Events*(0.2+1.6*p.rng.Float64())))),
		pacer: smooth.NewPacer(smooth.Limits{Spacing: p.day.MaxGap * 93 / 100, MaxDelay: p.day.MaxHold}),
	}
	g, r := p.place(grant.Replica.ID)
	r.waiting = append(r.waiting, s)
	p.result.MostQueued = max(p.result.MostQueued, len(r.running)+len(r.waiting)-p.day.Engine.Slots)
	p.pass(g)
}

func (p *play) place(id track.ReplicaID) (*group, *rank) {
	for _, g := range p.groups {
		for _, r := range g.ranks {
			if r.id == id {
				return g, r
			}
		}
	}
	panic("a replica of no group")
}

// pass begins a pass of a group that has work and none under way.
func (p *play) pass(g *group) {
	if g.passing {
		return
	}
	if p.broken(g) {
		p.drop(g)
		return
	}
	for _, r := range g.ranks {
		n := min(len(r.waiting), p.day.Engine.Slots-len(r.running))
		r.running = append(r.running, r.waiting[:n]...)
		r.waiting = r.waiting[n:]
	}
	took := p.passTime(g)
	if took == 0 {
		return
	}
	g.passing = true
	p.result.Passes = append(p.result.Passes, took)
	p.after(took, func() {
		g.passing = false
		p.endPass(g)
		p.pass(g)
	})
}

// passTime returns the duration of the next pass: the slowest rank's own part, and the
// experts' part of the most loaded rank. It is 0 without work.
func (p *play) passTime(g *group) time.Duration {
	spec, most, tokens := p.day.Engine, 0, 0.0
	for _, r := range g.ranks {
		most = max(most, len(r.running))
		for _, s := range r.running {
			if !s.read {
				tokens += s.prompt
			}
		}
	}
	if most == 0 {
		return 0
	}
	step := float64(spec.StepTime) + float64(most*p.day.Samples)*float64(spec.StepPerRequest)
	work := float64(spec.Stride)*step + tokens/float64(len(g.ranks))/spec.PromptTokensPerSecond*float64(time.Second)
	return time.Duration(work * ((1-expertShare)*p.slowdown(g) + expertShare*p.skew()))
}

func (p *play) slowdown(g *group) float64 {
	slowdown := 1.0
	for _, s := range p.day.Slow {
		if s.Group == g.number && s.From <= p.now && p.now < s.To {
			slowdown = max(slowdown, s.Pace)
		}
	}
	return slowdown
}

// skew returns the load of the most loaded rank, relative to the mean.
func (p *play) skew() float64 {
	if p.day.Shifts > 0 && p.now%p.day.Shifts < p.day.ShiftTime {
		return p.day.ShiftSkew
	}
	return max(p.day.Skew, 1)
}

// endPass gives each stream its event.
func (p *play) endPass(g *group) {
	now := p.start.Add(p.now)
	for _, r := range g.ranks {
		r.running = slices.DeleteFunc(r.running, func(s *stream) bool {
			s.event(now, p.now)
			if s.left > 0 {
				return false
			}
			p.served(s)
			return true
		})
	}
}

func (s *stream) event(now time.Time, at time.Duration) {
	s.read = true
	s.left--
	delivered := s.pacer.DeliveryTime(now)
	if !s.begun {
		s.begun, s.first = true, at-s.asked
		s.grant.Started()
	} else {
		s.gap = max(s.gap, delivered.Sub(s.last))
	}
	s.last = delivered
}

func (p *play) served(s *stream) {
	s.grant.Done(batch.Result{Verdict: batch.Served, FirstByte: s.first})
	lateFirst, lateGap := s.first > p.day.Objective, s.gap > p.day.MaxGap
	p.result.Served++
	p.result.First, p.result.Gaps = append(p.result.First, s.first), append(p.result.Gaps, s.gap)
	if lateFirst {
		p.result.LateFirst++
	}
	if lateGap {
		p.result.LateGap++
	}
	if lateFirst || lateGap {
		p.result.Late++
	}
}

// drop ends all that a broken group had.
func (p *play) drop(g *group) {
	for _, r := range g.ranks {
		for _, s := range append(r.running, r.waiting...) {
			s.grant.Done(batch.Result{Verdict: batch.AtCapacity, AtFault: string(r.id)})
			p.result.Refused++
		}
		r.running, r.waiting = nil, nil
	}
}
