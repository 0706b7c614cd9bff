package router_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/router"
)

func TestMain(m *testing.M) {
	os.Args = append(os.Args, "-rapid.seed=4", "-rapid.checks=100")
	os.Exit(m.Run())
}

const (
	target    = "dispatch-llm"
	localZone = track.AvailabilityZone("rivera")
	otherZone = track.AvailabilityZone("artigas")
	// overflow is the number of attempts that two replicas with ten slots each take
	// beyond their windows.
	overflow = 4
)

// unreachableZones is a track.Reachability with a set of unreachable zones.
type unreachableZones map[track.AvailabilityZone]bool

func (u unreachableZones) Unreachable(zone track.AvailabilityZone) bool { return u[zone] }

// fixture is a router and its replicas, all past their slow start.
type fixture struct {
	*router.Router
	clock       *clockwork.FakeClock
	unreachable unreachableZones
	servers     []track.BackendServer
}

func newFixture(seed uint64, zones ...track.AvailabilityZone) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), unreachable: unreachableZones{}}
	f.Router = router.New(f.clock, rand.New(rand.NewPCG(seed, 1)), localZone, f.unreachable)
	for i, zone := range zones {
		f.servers = append(f.servers, server(f.clock, i, zone))
	}
	f.Update(f.servers)
	return f
}

func server(clock clockwork.Clock, i int, zone track.AvailabilityZone) track.BackendServer {
	return track.BackendServer{
		Agent: track.InstanceID(fmt.Sprintf("agent-%d", i)), Incarnation: 1, Zone: zone, Target: target,
		Joined: clock.Now().Add(-time.Hour), Load: track.Load{Capacity: 10}, Reported: clock.Now(),
	}
}

// pickN makes n picks, which stay in flight, and returns their number for each
// replica.
func (f *fixture) pickN(t *testing.T, n int, q track.RoutingQuery) map[track.InstanceID]int {
	t.Helper()
	q.Target = target
	counts := map[track.InstanceID]int{}
	for range n {
		c, err := f.Pick(q)
		assert.NilError(t, err)
		counts[c.Server.Agent]++
	}
	return counts
}

func TestPrefersLocalZoneThenSpills(t *testing.T) {
	f := newFixture(1, localZone, localZone, otherZone)
	for range 200 {
		c, err := f.Pick(track.RoutingQuery{Target: target})
		assert.NilError(t, err)
		f.Done(c, track.AttemptResult{FirstByte: time.Millisecond})
	}
	counts := f.pickN(t, 14, track.RoutingQuery{})
	assert.Equal(t, counts["agent-2"], 0, "the local zone has free slots")
	counts = f.pickN(t, 10, track.RoutingQuery{})
	spilled := counts["agent-2"]
	assert.Assert(t, spilled >= 3 && spilled < 10, "only a part spills to the other zone: %v", counts)
	counts = f.pickN(t, 6, track.RoutingQuery{})
	assert.Equal(t, spilled+counts["agent-2"], 10, "all slots of both zones are used")
}

// TestSpreadsTiesOverReplicas checks that idle replicas, which are all equally
// good, get about the same number of requests.
func TestSpreadsTiesOverReplicas(t *testing.T) {
	const picks = 300
	f := newFixture(15, localZone, localZone, localZone)
	counts := map[track.InstanceID]int{}
	for i := range picks {
		c, err := f.Pick(track.RoutingQuery{Request: track.RequestID(fmt.Sprint("request-", i)), Target: target})
		assert.NilError(t, err)
		counts[c.Server.Agent]++
		f.Done(c, track.AttemptResult{FirstByte: time.Millisecond})
	}
	for agent, n := range counts {
		assert.Assert(t, n >= picks/4 && n <= picks/2, "%s: %d", agent, n)
	}
	assert.Equal(t, len(counts), 3)
}

func TestNeverPicksInCutOffZone(t *testing.T) {
	f := newFixture(2, localZone, localZone, otherZone)
	f.unreachable[otherZone] = true
	counts := f.pickN(t, 20+overflow, track.RoutingQuery{})
	assert.Equal(t, counts["agent-2"], 0)
	_, err := f.Pick(track.RoutingQuery{Target: target})
	assert.Assert(t, track.IsKind(err, router.AllFull), "%v", err)
	_, err = f.Pick(track.RoutingQuery{Target: target, Isolated: true})
	assert.NilError(t, err)
	assert.Equal(t, f.Slots(target), 20)
	empty := newFixture(2, otherZone)
	empty.unreachable[otherZone] = true
	_, err = empty.Pick(track.RoutingQuery{Target: target})
	assert.Assert(t, track.IsKind(err, router.NoReplica), "%v", err)
}

func TestEjectsFailingReplicaAndReadmitsWithSlowStart(t *testing.T) {
	f := newFixture(3, localZone, localZone, localZone, localZone, localZone, localZone)
	q := track.RoutingQuery{Target: target}
	failing := track.InstanceID("agent-0")
	// run makes n attempts and returns how many went to the failing replica.
	run := func(n int) int {
		hits := 0
		for range n {
			c, err := f.Pick(q)
			assert.NilError(t, err)
			if c.Server.Agent == failing {
				hits++
			}
			f.clock.Advance(time.Millisecond)
			f.Done(c, track.AttemptResult{ReplicaAtFault: c.Server.Agent == failing, FirstByte: time.Millisecond})
		}
		return hits
	}
	assert.Equal(t, run(500), 5, "ejected after five failures")
	f.clock.Advance(5 * time.Second)
	assert.Assert(t, run(100) <= 10, "gets few attempts during its slow start")
}

func TestEjectsAtMostHalfOfReplicas(t *testing.T) {
	f := newFixture(4, localZone, localZone, localZone, localZone)
	used := map[track.InstanceID]bool{}
	for i := range 400 {
		c, err := f.Pick(track.RoutingQuery{Target: target})
		assert.NilError(t, err)
		f.Done(c, track.AttemptResult{ReplicaAtFault: true})
		if i >= 300 {
			used[c.Server.Agent] = true
		}
	}
	assert.Equal(t, len(used), 2, "half of the replicas stay in use although all fail")
}

// TestSlowStartOfNewReplica guards against all entries sending their requests to a
// new replica at once because it looks idle. Nine entries keep ten replicas at a
// steady load when an eleventh joins.
func TestSlowStartOfNewReplica(t *testing.T) {
	const (
		entries  = 9
		inFlight = 360
		replicas = 11
	)
	clock := clockwork.NewFakeClock()
	var servers []track.BackendServer
	for i := range replicas {
		s := server(clock, i, localZone)
		s.Load = track.Load{Capacity: 200}
		servers = append(servers, s)
	}
	servers[replicas-1].Joined = clock.Now()
	var routers []*router.Router
	for i := range entries {
		r := router.New(clock, rand.New(rand.NewPCG(uint64(i), 5)), localZone, unreachableZones{})
		r.Update(servers[:replicas-1])
		routers = append(routers, r)
	}
	type attempt struct {
		entry  int
		choice track.RoutingDecision
	}
	var running []attempt
	load := map[track.InstanceID]int{}
	start := func(i int) {
		c, err := routers[i%entries].Pick(track.RoutingQuery{Target: target, Tokens: 100})
		assert.NilError(t, err)
		load[c.Server.Agent]++
		running = append(running, attempt{i % entries, c})
	}
	for i := range inFlight {
		start(i)
	}
	maxInFlight := 0
	for step := range 2000 {
		clock.Advance(5 * time.Millisecond)
		if step%200 == 0 {
			for i := range servers {
				servers[i].Load.TokensInFlight = 100 * load[servers[i].Agent]
				servers[i].Load.Running = load[servers[i].Agent]
				servers[i].Reported = clock.Now()
			}
			for _, r := range routers {
				r.Update(servers)
			}
		}
		done := running[0]
		running = running[1:]
		load[done.choice.Server.Agent]--
		routers[done.entry].Done(done.choice, track.AttemptResult{FirstByte: 100 * time.Millisecond})
		start(step)
		maxInFlight = max(maxInFlight, load[servers[replicas-1].Agent])
	}
	t.Logf("at most %d in flight on the new replica, mean of all %d", maxInFlight, inFlight/replicas)
	assert.Assert(t, maxInFlight <= inFlight/replicas, "the new replica gets more than an equal share in its first 10 s")
	assert.Assert(t, maxInFlight > 0)
}

func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	f := newFixture(6, localZone, localZone, localZone, localZone)
	for i := range f.servers {
		f.servers[i].Load.Capacity = 1000
	}
	f.Update(f.servers)
	q := track.RoutingQuery{Target: target, Tokens: 100, Prefixes: []uint64{11, 12, 13, 14, 15}}
	first, err := f.Pick(q)
	assert.NilError(t, err)
	f.Done(first, track.AttemptResult{FirstByte: time.Millisecond})
	q.Prefixes = append(q.Prefixes, 16)
	second, err := f.Pick(q)
	assert.NilError(t, err)
	assert.Equal(t, second.Server.Agent, first.Server.Agent)
	assert.Equal(t, second.Reason, router.ReasonCachedPrefix)
	counts := f.pickN(t, 20, q)
	assert.Assert(t, counts[first.Server.Agent] < 10, "one prefix must not overload a replica: %v", counts)
	assert.Assert(t, len(counts) > 1)
}

// TestEntriesAgreeOnPrefixHome checks that two routers which don't communicate send a
// prompt that neither has seen to the same replica.
func TestEntriesAgreeOnPrefixHome(t *testing.T) {
	zones := make([]track.AvailabilityZone, 40)
	for i := range zones {
		zones[i] = localZone
	}
	a, b := newFixture(7, zones...), newFixture(8, zones...)
	agreed := 0
	const prompts = 200
	for i := range uint64(prompts) {
		q := track.RoutingQuery{Target: target, Tokens: 10, Prefixes: []uint64{i*1e9 + 1, i*1e9 + 2}}
		x, _ := a.Pick(q)
		y, _ := b.Pick(q)
		if x.Server.Agent == y.Server.Agent {
			agreed++
		}
		a.Done(x, track.AttemptResult{})
		b.Done(y, track.AttemptResult{})
	}
	assert.Equal(t, agreed, prompts)
}

// TestAvoidsRankGroupWithStraggler has two rank groups: one evenly loaded, one with
// a straggler. The least loaded replica is in the straggler's group, and is slowed
// down by it.
func TestAvoidsRankGroupWithStraggler(t *testing.T) {
	f := newFixture(9, localZone, localZone, localZone, localZone)
	loads := []int{5000, 5000, 20000, 4000}
	for i := range f.servers {
		f.servers[i].Group = fmt.Sprint("group-", i/2)
		f.servers[i].Load.TokensInFlight = loads[i]
		f.servers[i].Load.Capacity = 100
	}
	f.Update(f.servers)
	counts := f.pickN(t, 12, track.RoutingQuery{Tokens: 100})
	assert.Equal(t, counts["agent-2"]+counts["agent-3"], 0, "the straggler's group gets nothing: %v", counts)
	assert.Assert(t, counts["agent-0"]-counts["agent-1"] <= 2 && counts["agent-1"]-counts["agent-0"] <= 2, "%v", counts)
}

func TestIsolatedAttemptsRunAlone(t *testing.T) {
	f := newFixture(10, localZone, localZone, localZone)
	f.pickN(t, 1, track.RoutingQuery{})
	used := map[track.InstanceID]bool{}
	var isolated []track.RoutingDecision
	for range 3 {
		c, err := f.Pick(track.RoutingQuery{Target: target, Isolated: true})
		assert.NilError(t, err)
		assert.Assert(t, c.Isolated && !used[c.Server.Agent], "isolated attempts get different replicas")
		used[c.Server.Agent] = true
		isolated = append(isolated, c)
	}
	shared, err := f.Pick(track.RoutingQuery{Target: target, Isolated: true})
	assert.NilError(t, err)
	assert.Assert(t, !shared.Isolated)
	f.Done(isolated[0], track.AttemptResult{})
	counts := f.pickN(t, 4, track.RoutingQuery{})
	assert.Equal(t, counts[isolated[0].Server.Agent], 4, "no other attempt joins an isolated one: %v", counts)
}

// TestStaleReportHasLittleWeight guards against an old report of no load attracting
// most requests to its replica.
func TestStaleReportHasLittleWeight(t *testing.T) {
	f := newFixture(11, localZone, localZone, localZone, localZone)
	for i := range f.servers {
		f.servers[i].Load.TokensInFlight = 1000 * min(i, 1)
		f.servers[i].Load.Capacity = 1000
	}
	f.Update(f.servers)
	f.clock.Advance(time.Minute)
	counts := f.pickN(t, 80, track.RoutingQuery{Tokens: 10})
	assert.Assert(t, counts["agent-0"] <= 40, "a report that is a minute old has hardly any weight: %v", counts)
}

// TestReportOlderThanLatestPicks has a load report that was made before the latest
// picks. It doesn't include them, so they must not be subtracted from it.
func TestReportOlderThanLatestPicks(t *testing.T) {
	f := newFixture(14, localZone, localZone)
	report := func(tokens int) {
		f.clock.Advance(time.Millisecond)
		f.servers[0].Load = track.Load{Capacity: 10, Running: tokens, TokensInFlight: tokens}
		f.servers[0].Reported = f.clock.Now()
		f.Update(f.servers)
	}
	pickOnly := func(n, agent int) {
		counts := f.pickN(t, n, track.RoutingQuery{Excluded: []track.InstanceID{f.servers[1-agent].Agent}})
		assert.Equal(t, counts[f.servers[agent].Agent], n)
	}
	pickOnly(3, 0)
	report(3)
	pickOnly(3, 0)
	report(8)
	pickOnly(8, 1)
	c, err := f.Pick(track.RoutingQuery{Target: target})
	assert.NilError(t, err)
	assert.Equal(t, c.Server.Agent, f.servers[1].Agent, "agent-0 has 6 own attempts and 5 of others, agent-1 has 8")
}

// TestAccountingOfAttempts makes random picks, ends attempts with and without
// failure, and repeats updates. No replica may get more attempts than its window and
// overflow allow, and in the end all slots must be free again.
func TestAccountingOfAttempts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(12, localZone, localZone, otherZone, otherZone, otherZone)
		var running []track.RoutingDecision
		inFlight := map[track.InstanceID]int{}
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1, 2:
				c, err := f.Pick(track.RoutingQuery{Target: target, Tokens: rapid.IntRange(0, 500).Draw(rt, "tokens")})
				if err == nil {
					running = append(running, c)
					inFlight[c.Server.Agent]++
					assert.Assert(rt, inFlight[c.Server.Agent] <= 10+overflow/2)
				}
			case 3, 4:
				if len(running) > 0 {
					c := running[0]
					running = running[1:]
					inFlight[c.Server.Agent]--
					f.Done(c, track.AttemptResult{ReplicaAtFault: rapid.Bool().Draw(rt, "failed"), FirstByte: time.Millisecond})
				}
			case 5:
				f.Update(f.servers)
			}
		}
		for _, c := range running {
			f.Done(c, track.AttemptResult{})
		}
		f.clock.Advance(10 * time.Minute)
		slots := f.Slots(target)
		assert.Equal(rt, slots, 50)
		taken := map[track.InstanceID]int{}
		for range slots {
			c, err := f.Pick(track.RoutingQuery{Target: target})
			assert.NilError(rt, err)
			taken[c.Server.Agent]++
			assert.Assert(rt, taken[c.Server.Agent] <= 10, "no replica exceeds its window while another has free slots")
		}
		for range len(f.servers) * overflow / 2 {
			_, err := f.Pick(track.RoutingQuery{Target: target})
			assert.NilError(rt, err)
		}
		_, err := f.Pick(track.RoutingQuery{Target: target})
		assert.Assert(rt, track.IsKind(err, router.AllFull))
	})
}

func TestPickAllocations(t *testing.T) {
	const maxAllocs = 1
	f := newFixture(13)
	run := pickLoop(f.Router, loadedServers(f.clock, 1500),
		track.RoutingQuery{Target: target, Tokens: 500, Prefixes: randomPrompt(3, 32)})
	assert.Assert(t, testing.AllocsPerRun(2000, run) <= maxAllocs)
}

// loadedServers returns n loaded replicas in rank groups of eight.
func loadedServers(clock clockwork.Clock, n int) []track.BackendServer {
	servers := make([]track.BackendServer, n)
	for i := range servers {
		servers[i] = server(clock, i, localZone)
		servers[i].Group = fmt.Sprint("group-", i/8)
		servers[i].Load = track.Load{Capacity: 200, Running: 150, TokensInFlight: 10000 + i%977}
	}
	return servers
}

// randomPrompt returns the prefix hashes of a random prompt.
func randomPrompt(seed uint64, blocks int) []uint64 {
	rng := rand.New(rand.NewPCG(seed, 9))
	prefixes := make([]uint64, blocks)
	for i := range prefixes {
		prefixes[i] = rng.Uint64()
	}
	return prefixes
}

// pickLoop updates the router and returns a function that makes one pick and ends an
// earlier one.
func pickLoop(r *router.Router, servers []track.BackendServer, q track.RoutingQuery) func() {
	r.Update(servers)
	running := make([]track.RoutingDecision, 64)
	i := 0
	return func() {
		i++
		if len(q.Prefixes) > 0 {
			q.Prefixes[len(q.Prefixes)-1-i%8] += uint64(i)
		}
		choice := &running[i%len(running)]
		if choice.Server.Agent != "" {
			r.Done(*choice, track.AttemptResult{FirstByte: 300 * time.Millisecond})
		}
		*choice, _ = r.Pick(q)
	}
}

func BenchmarkPick(b *testing.B) {
	prompts := map[string][]uint64{"Plain": nil, "Prefixes": randomPrompt(3, 32)}
	for _, n := range []int{15, 150, 1500} {
		for name, prefixes := range prompts {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				clock := clockwork.NewRealClock()
				r := router.New(clock, rand.New(rand.NewPCG(1, 1)), localZone, unreachableZones{})
				run := pickLoop(r, loadedServers(clock, n), track.RoutingQuery{Target: target, Tokens: 500, Prefixes: prefixes})
				b.ReportAllocs()
				for b.Loop() {
					run()
				}
			})
		}
	}
}

func ExampleRouter_Pick() {
	clock := clockwork.NewFakeClock()
	r := router.New(clock, rand.New(rand.NewPCG(1, 1)), "rivera", unreachableZones{})
	r.Update([]track.BackendServer{{Agent: "agent-1", Zone: "rivera", Target: "dispatch-llm"}})
	choice, err := r.Pick(track.RoutingQuery{Target: "dispatch-llm", Tokens: 100})
	fmt.Println(choice.Server.Agent, choice.Reason, err)
	// Output: agent-1 TwoChoices <nil>
}
