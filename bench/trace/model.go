package trace

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// target is the model that all requests ask for.
const target = "dispatch-llm"

// request is one request of the trace.
type request struct {
	id       int
	entry    int
	arrived  time.Time
	prefixes []uint64
	output   int
}

func (r *request) promptTokens() int { return len(r.prefixes) * blockTokens }

// sequence is a request on a replica.
type sequence struct {
	request *request
	choice  track.Choice
	// prompt is the number of prompt tokens still to take in.
	prompt int
	// generated is the number of tokens generated.
	generated int
	// first is the time to the first token.
	first time.Duration
}

func (s *sequence) held() int {
	return s.request.promptTokens() - s.prompt + s.generated
}

// machine is one replica.
type machine struct {
	id      track.InstanceID
	zone    track.AvailabilityZone
	group   *lockstep
	running []*sequence
	queue   []*sequence
	cache   *cache
}

func (m *machine) load() track.Load {
	load := track.Load{Running: len(m.running), Queued: len(m.queue), Capacity: maxRunning}
	for _, s := range m.running {
		load.TokensInFlight += s.request.promptTokens() + s.generated
	}
	for _, s := range m.queue {
		load.TokensInFlight += s.request.promptTokens()
	}
	load.CachedPrefixes = m.cache.newest(reportedPrefixes)
	return load
}

// admit starts queued sequences while there is room, and counts cache hits.
func (m *machine) admit(report *Report) {
	for len(m.running) < maxRunning && len(m.queue) > 0 {
		s := m.queue[0]
		m.queue = m.queue[1:]
		hit := m.cache.use(s.request.prefixes)
		s.prompt = max((len(s.request.prefixes)-hit)*blockTokens, 1)
		report.blocks += len(s.request.prefixes)
		report.hits += hit
		m.running = append(m.running, s)
	}
}

// lockstep is a rank group: all members step together.
type lockstep struct {
	name    string
	members []*machine
	busy    bool
	slow    float64
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world runs one trace over one kind of router.
type world struct {
	spec     Spec
	clock    *clockwork.FakeClock
	queue    events
	order    int
	routers  []track.Router
	groups   []*lockstep
	machines map[track.InstanceID]*machine
	seen     map[track.InstanceID]track.BackendServer
	report   Report
	// waiting holds, for each entry, the requests for which no replica had room.
	waiting [][]*request
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{w.clock.Now().Add(d), w.order, run})
}

func (w *world) run(until time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.clock.Advance(e.at.Sub(w.clock.Now()))
		e.run()
	}
}

func (w *world) build() {
	w.waiting = make([][]*request, w.spec.Entries)
	w.machines = make(map[track.InstanceID]*machine)
	w.seen = make(map[track.InstanceID]track.BackendServer)
	for z := range w.spec.Zones {
		for g := range w.spec.Groups {
			group := &lockstep{name: fmt.Sprintf("group-%d-%d", z, g), slow: 1}
			w.groups = append(w.groups, group)
			for i := range w.spec.Members {
				m := &machine{
					id:    track.InstanceID(fmt.Sprintf("agent-%d-%d-%d", z, g, i)),
					zone:  zoneName(z),
					group: group, cache: newCache(cacheBlocks),
				}
				group.members = append(group.members, m)
				w.machines[m.id] = m
			}
		}
	}
}

func zoneName(z int) track.AvailabilityZone {
	return track.AvailabilityZone([...]string{"rivera", "tacuarembo", "artigas"}[z%3])
}

// sample takes the load of all replicas, and hands it to the entries after the
// lag.
func (w *world) sample() {
	loads := w.loads()
	w.after(w.spec.ReportLag, func() { w.update(loads) })
	w.after(w.spec.ReportEvery, w.sample)
}

func (w *world) update(loads map[track.InstanceID]track.Load) {
	now := w.clock.Now()
	for id, load := range loads {
		s, ok := w.seen[id]
		if !ok {
			m := w.machines[id]
			s = track.BackendServer{
				Agent: id, Incarnation: 1, Zone: m.zone, Target: target, Group: m.group.name, Joined: now.Add(-time.Hour),
			}
		}
		s.Load, s.Reported = load, now
		w.seen[id] = s
	}
	servers := make([]track.BackendServer, 0, len(w.seen))
	for _, s := range w.seen {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b track.BackendServer) int {
		if a.Agent < b.Agent {
			return -1
		}
		return 1
	})
	for entry, r := range w.routers {
		r.Update(servers)
		w.resume(entry)
	}
}

// dispatch routes a request and queues it at its replica.
func (w *world) dispatch(r *request) {
	if len(w.waiting[r.entry]) > 0 {
		w.waiting[r.entry] = append(w.waiting[r.entry], r)
		return
	}
	choice, err := w.routers[r.entry].Pick(query(r))
	if err != nil {
		w.waiting[r.entry] = append(w.waiting[r.entry], r)
		return
	}
	w.place(r, choice)
}

// resume routes the requests that wait at an entry, first come first served.
func (w *world) resume(entry int) {
	for len(w.waiting[entry]) > 0 {
		r := w.waiting[entry][0]
		choice, err := w.routers[entry].Pick(query(r))
		if err != nil {
			return
		}
		w.waiting[entry] = w.waiting[entry][1:]
		w.place(r, choice)
	}
}

func query(r *request) track.Query {
	return track.Query{
		Request: track.RequestID(fmt.Sprint(r.id)), Target: target,
		Tokens: r.promptTokens() + r.output, Prefixes: r.prefixes,
	}
}

func (w *world) place(r *request, choice track.Choice) {
	m := w.machines[choice.Server.Agent]
	m.queue = append(m.queue, &sequence{request: r, choice: choice})
	if !m.group.busy {
		m.group.busy = true
		w.step(m.group)
	}
}

// step runs one step of a group: the members take in prompts and generate a
// token for each sequence, and all wait for the slowest.
func (w *world) step(g *lockstep) {
	var longest time.Duration
	working := false
	ready := make([][]*sequence, len(g.members))
	for i, m := range g.members {
		m.admit(&w.report)
		took, generating := m.advance()
		ready[i] = generating
		longest = max(longest, took)
		working = working || len(m.running) > 0
	}
	if !working {
		g.busy = false
		return
	}
	w.after(time.Duration(g.slow*float64(stepBase+longest)), func() {
		for i, m := range g.members {
			w.emit(m, ready[i])
		}
		w.step(g)
	})
}

// advance takes in prompt tokens, and returns the time that the step takes the
// replica and the sequences that generate a token in it.
func (m *machine) advance() (time.Duration, []*sequence) {
	budget, held := maxPrefill, 0
	var generating []*sequence
	for _, s := range m.running {
		if s.prompt > 0 {
			taken := min(s.prompt, budget)
			s.prompt -= taken
			budget -= taken
		}
		if s.prompt == 0 {
			generating = append(generating, s)
		}
		held += s.held()
	}
	took := stepPrompt*time.Duration(maxPrefill-budget) + stepSequence*time.Duration(len(generating)) +
		stepHeld*time.Duration(held)
	return took, generating
}

// emit gives each generating sequence its token, and ends the finished ones.
func (w *world) emit(m *machine, generating []*sequence) {
	now := w.clock.Now()
	for _, s := range generating {
		s.generated++
		if s.generated == 1 {
			s.first = now.Sub(s.request.arrived)
			w.report.first(s.first)
		}
		if s.generated < s.request.output {
			continue
		}
		m.running = slices.DeleteFunc(m.running, func(x *sequence) bool { return x == s })
		w.finish(s, now)
	}
}

func (w *world) finish(s *sequence, now time.Time) {
	took := now.Sub(s.request.arrived)
	w.report.done(took, s.request.output)
	w.routers[s.request.entry].Done(s.choice, track.Result{
		Outcome: track.Completed, FirstByte: s.first, Duration: took,
	})
	w.resume(s.request.entry)
}
