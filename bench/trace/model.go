package trace

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// target is the model that all requests use.
const target = "dispatch-llm"

// request is one request of the trace.
type request struct {
	id           int
	entry        int
	arrived      time.Time
	prefixes     []uint64
	outputTokens int
}

func (r *request) promptTokens() int { return len(r.prefixes) * blockTokens }

// sequence is a request that a replica runs or has queued.
type sequence struct {
	request *request
	choice  track.RoutingDecision
	// promptLeft is the number of prompt tokens that are still to be processed.
	promptLeft int
	// generated is the number of tokens generated.
	generated int
	// firstToken is the time to the first token.
	firstToken time.Duration
}

func (s *sequence) heldTokens() int {
	return s.request.promptTokens() - s.promptLeft + s.generated
}

// replica is a simulated replica of the model.
type replica struct {
	id      track.InstanceID
	zone    track.AvailabilityZone
	group   *rankGroup
	running []*sequence
	queue   []*sequence
	cache   *cache
}

func (r *replica) load() track.Load {
	load := track.Load{Running: len(r.running), Queued: len(r.queue), Capacity: maxRunning}
	for _, s := range r.running {
		load.TokensInFlight += s.request.promptTokens() + s.generated
	}
	for _, s := range r.queue {
		load.TokensInFlight += s.request.promptTokens()
	}
	load.CachedPrefixes = r.cache.mostRecent(reportedPrefixes)
	return load
}

// admit starts queued sequences as long as fewer than maxRunning run, and counts cache
// hits.
func (r *replica) admit(report *Report) {
	for len(r.running) < maxRunning && len(r.queue) > 0 {
		s := r.queue[0]
		r.queue = r.queue[1:]
		hits := r.cache.lookUpAndAdd(s.request.prefixes)
		s.promptLeft = max((len(s.request.prefixes)-hits)*blockTokens, 1)
		report.promptBlocks += len(s.request.prefixes)
		report.cachedBlocks += hits
		r.running = append(r.running, s)
	}
}

// rankGroup is a rank group, whose members run their steps in lock-step.
type rankGroup struct {
	name     string
	members  []*replica
	stepping bool
	slowdown float64
}

// scheduledEvent is a function to call at a simulated time.
type scheduledEvent struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events, ordered by time and then by the order of scheduling.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is the state of a run of one trace with one kind of router.
type simulation struct {
	spec     Spec
	clock    *clockwork.FakeClock
	queue    eventQueue
	seq      int
	routers  []track.Router
	groups   []*rankGroup
	replicas map[track.InstanceID]*replica
	servers  map[track.InstanceID]track.BackendServer
	report   Report
	// waiting holds, for each entry, the requests for which its router found no replica.
	waiting [][]*request
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledEvent{sim.clock.Now().Add(d), sim.seq, run})
}

func (sim *simulation) run(until time.Time) {
	for len(sim.queue) > 0 && !sim.queue[0].at.After(until) {
		e := heap.Pop(&sim.queue).(scheduledEvent)
		sim.clock.Advance(e.at.Sub(sim.clock.Now()))
		e.run()
	}
}

func (sim *simulation) setUp() {
	sim.waiting = make([][]*request, sim.spec.Entries)
	sim.replicas = make(map[track.InstanceID]*replica)
	sim.servers = make(map[track.InstanceID]track.BackendServer)
	for z := range sim.spec.Zones {
		for g := range sim.spec.GroupsPerZone {
			group := &rankGroup{name: fmt.Sprintf("group-%d-%d", z, g), slowdown: 1}
			sim.groups = append(sim.groups, group)
			for i := range sim.spec.ReplicasPerGroup {
				m := &replica{
					id:    track.InstanceID(fmt.Sprintf("agent-%d-%d-%d", z, g, i)),
					zone:  zoneName(z),
					group: group, cache: newCache(cacheBlocks),
				}
				group.members = append(group.members, m)
				sim.replicas[m.id] = m
			}
		}
	}
}

func zoneName(z int) track.AvailabilityZone {
	return track.AvailabilityZone([...]string{"rivera", "tacuarembo", "artigas"}[z%3])
}

// reportLoads takes the loads of all replicas and passes them to the routers after the
// lag. It schedules the next report.
func (sim *simulation) reportLoads() {
	loads := sim.loads()
	sim.schedule(sim.spec.ReportLag, func() { sim.updateRouters(loads) })
	sim.schedule(sim.spec.ReportInterval, sim.reportLoads)
}

func (sim *simulation) updateRouters(loads map[track.InstanceID]track.Load) {
	now := sim.clock.Now()
	for id, load := range loads {
		s, ok := sim.servers[id]
		if !ok {
			m := sim.replicas[id]
			s = track.BackendServer{
				Agent: id, Incarnation: 1, Zone: m.zone, Target: target, Group: m.group.name, Joined: now.Add(-time.Hour),
			}
		}
		s.Load, s.Reported = load, now
		sim.servers[id] = s
	}
	servers := make([]track.BackendServer, 0, len(sim.servers))
	for _, s := range sim.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b track.BackendServer) int {
		if a.Agent < b.Agent {
			return -1
		}
		return 1
	})
	for entry, r := range sim.routers {
		r.Update(servers)
		sim.dispatchWaiting(entry)
	}
}

// dispatch routes a request and queues it at the chosen replica. The request waits if
// others already wait at its entry or the router finds no replica.
func (sim *simulation) dispatch(r *request) {
	if len(sim.waiting[r.entry]) > 0 {
		sim.waiting[r.entry] = append(sim.waiting[r.entry], r)
		return
	}
	choice, err := sim.routers[r.entry].Pick(query(r))
	if err != nil {
		sim.waiting[r.entry] = append(sim.waiting[r.entry], r)
		return
	}
	sim.enqueue(r, choice)
}

// dispatchWaiting routes the requests that wait at an entry, in order of arrival.
func (sim *simulation) dispatchWaiting(entry int) {
	for len(sim.waiting[entry]) > 0 {
		r := sim.waiting[entry][0]
		choice, err := sim.routers[entry].Pick(query(r))
		if err != nil {
			return
		}
		sim.waiting[entry] = sim.waiting[entry][1:]
		sim.enqueue(r, choice)
	}
}

func query(r *request) track.RoutingQuery {
	return track.RoutingQuery{
		Request: track.RequestID(fmt.Sprint(r.id)), Target: target,
		Tokens: r.promptTokens() + r.outputTokens, Prefixes: r.prefixes,
	}
}

func (sim *simulation) enqueue(r *request, choice track.RoutingDecision) {
	m := sim.replicas[choice.Server.Agent]
	m.queue = append(m.queue, &sequence{request: r, choice: choice})
	if !m.group.stepping {
		m.group.stepping = true
		sim.runStep(m.group)
	}
}

// runStep runs one step of a group, in which the members process prompts and generate a
// token for each sequence whose prompt is complete. All wait for the slowest member.
func (sim *simulation) runStep(g *rankGroup) {
	var longest time.Duration
	working := false
	generatingBy := make([][]*sequence, len(g.members))
	for i, m := range g.members {
		m.admit(&sim.report)
		duration, generating := m.prepareStep()
		generatingBy[i] = generating
		longest = max(longest, duration)
		working = working || len(m.running) > 0
	}
	if !working {
		g.stepping = false
		return
	}
	sim.schedule(time.Duration(g.slowdown*float64(stepBase+longest)), func() {
		for i, m := range g.members {
			sim.generateTokens(m, generatingBy[i])
		}
		sim.runStep(g)
	})
}

// prepareStep processes prompt tokens. It returns the time that the replica needs for the
// step, and the sequences that generate a token in it.
func (r *replica) prepareStep() (time.Duration, []*sequence) {
	budget, heldTokens := maxPrefillTokens, 0
	var generating []*sequence
	for _, s := range r.running {
		if s.promptLeft > 0 {
			tokens := min(s.promptLeft, budget)
			s.promptLeft -= tokens
			budget -= tokens
		}
		if s.promptLeft == 0 {
			generating = append(generating, s)
		}
		heldTokens += s.heldTokens()
	}
	duration := stepPromptToken*time.Duration(maxPrefillTokens-budget) + stepSequence*time.Duration(len(generating)) +
		stepHeldToken*time.Duration(heldTokens)
	return duration, generating
}

// generateTokens adds a token to each generating sequence, and ends those that are
// complete.
func (sim *simulation) generateTokens(m *replica, generating []*sequence) {
	now := sim.clock.Now()
	for _, s := range generating {
		s.generated++
		if s.generated == 1 {
			s.firstToken = now.Sub(s.request.arrived)
			sim.report.recordFirstToken(s.firstToken)
		}
		if s.generated < s.request.outputTokens {
			continue
		}
		m.running = slices.DeleteFunc(m.running, func(x *sequence) bool { return x == s })
		sim.finish(s, now)
	}
}

func (sim *simulation) finish(s *sequence, now time.Time) {
	duration := now.Sub(s.request.arrived)
	sim.report.recordAnswer(duration, s.request.outputTokens)
	sim.routers[s.request.entry].Done(s.choice, track.AttemptResult{
		Outcome: track.Completed, FirstByte: s.firstToken, Duration: duration,
	})
	sim.dispatchWaiting(s.request.entry)
}
