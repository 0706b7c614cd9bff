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
	target = "dispatch-llm"
	home   = track.AvailabilityZone("rivera")
	away   = track.AvailabilityZone("artigas")
	// overflow is what two replicas of ten slots take beyond their windows.
	overflow = 4
)

// cutOff is a set of zones out of reach.
type cutOff map[track.AvailabilityZone]bool

func (c cutOff) CutOff(zone track.AvailabilityZone) bool { return c[zone] }

// fixture is a router and its replicas, which have long been up.
type fixture struct {
	*router.Router
	clock   *clockwork.FakeClock
	cut     cutOff
	servers []track.BackendServer
}

func newFixture(seed uint64, zones ...track.AvailabilityZone) *fixture {
	f := &fixture{clock: clockwork.NewFakeClock(), cut: cutOff{}}
	f.Router = router.New(f.clock, rand.New(rand.NewPCG(seed, 1)), home, f.cut)
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

// picks counts the choices of n picks, which stay in flight.
func (f *fixture) picks(t *testing.T, n int, q track.Query) map[track.InstanceID]int {
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

func TestZoneFirstThenSpill(t *testing.T) {
	f := newFixture(1, home, home, away)
	for range 200 {
		c, err := f.Pick(track.Query{Target: target})
		assert.NilError(t, err)
		f.Done(c, track.Result{FirstByte: time.Millisecond})
	}
	counts := f.picks(t, 14, track.Query{})
	assert.Equal(t, counts["agent-2"], 0, "the local zone has room")
	counts = f.picks(t, 10, track.Query{})
	away := counts["agent-2"]
	assert.Assert(t, away >= 3 && away < 10, "a part goes to the other zone: %v", counts)
	counts = f.picks(t, 6, track.Query{})
	assert.Equal(t, away+counts["agent-2"], 10, "all slots of both zones are used")
}

// TestTiesAreSpread has a few idle replicas.
func TestTiesAreSpread(t *testing.T) {
	const picks = 300
	f := newFixture(15, home, home, home)
	counts := map[track.InstanceID]int{}
	for i := range picks {
		c, err := f.Pick(track.Query{Request: track.RequestID(fmt.Sprint("request-", i)), Target: target})
		assert.NilError(t, err)
		counts[c.Server.Agent]++
		f.Done(c, track.Result{FirstByte: time.Millisecond})
	}
	for agent, n := range counts {
		assert.Assert(t, n >= picks/4 && n <= picks/2, "%s: %d", agent, n)
	}
	assert.Equal(t, len(counts), 3)
}

func TestNeverIntoCutOffZone(t *testing.T) {
	f := newFixture(2, home, home, away)
	f.cut[away] = true
	counts := f.picks(t, 20+overflow, track.Query{})
	assert.Equal(t, counts["agent-2"], 0)
	_, err := f.Pick(track.Query{Target: target})
	assert.Assert(t, track.IsKind(err, router.Full), "%v", err)
	_, err = f.Pick(track.Query{Target: target, Isolated: true})
	assert.NilError(t, err)
	assert.Equal(t, f.Slots(target), 20)
	empty := newFixture(2, away)
	empty.cut[away] = true
	_, err = empty.Pick(track.Query{Target: target})
	assert.Assert(t, track.IsKind(err, router.NoReplica), "%v", err)
}

func TestEjectsOutlierAndLetsItBackSlowly(t *testing.T) {
	f := newFixture(3, home, home, home, home, home, home)
	q := track.Query{Target: target}
	failing := track.InstanceID("agent-0")
	spread := func(n int) int {
		hits := 0
		for range n {
			c, err := f.Pick(q)
			assert.NilError(t, err)
			if c.Server.Agent == failing {
				hits++
			}
			f.clock.Advance(time.Millisecond)
			f.Done(c, track.Result{Failed: c.Server.Agent == failing, FirstByte: time.Millisecond})
		}
		return hits
	}
	assert.Equal(t, spread(500), 5, "out after five failures")
	f.clock.Advance(5 * time.Second)
	assert.Assert(t, spread(100) <= 10, "on its return it is tried with care")
}

func TestEjectsHalfAtMost(t *testing.T) {
	f := newFixture(4, home, home, home, home)
	seen := map[track.InstanceID]bool{}
	for i := range 400 {
		c, err := f.Pick(track.Query{Target: target})
		assert.NilError(t, err)
		f.Done(c, track.Result{Failed: true})
		if i >= 300 {
			seen[c.Server.Agent] = true
		}
	}
	assert.Equal(t, len(seen), 2, "with all failing, half stay in")
}

// TestNoHerdOntoFreshReplica has nine entries that keep ten replicas at a steady
// load when an eleventh joins.
func TestNoHerdOntoFreshReplica(t *testing.T) {
	const (
		entries  = 9
		inFlight = 360
		replicas = 11
	)
	clock := clockwork.NewFakeClock()
	var servers []track.BackendServer
	for i := range replicas {
		s := server(clock, i, home)
		s.Load = track.Load{Capacity: 200}
		servers = append(servers, s)
	}
	servers[replicas-1].Joined = clock.Now()
	var routers []*router.Router
	for i := range entries {
		r := router.New(clock, rand.New(rand.NewPCG(uint64(i), 5)), home, cutOff{})
		r.Update(servers[:replicas-1])
		routers = append(routers, r)
	}
	type open struct {
		entry  int
		choice track.Choice
	}
	var running []open
	load := map[track.InstanceID]int{}
	start := func(i int) {
		c, err := routers[i%entries].Pick(track.Query{Target: target, Tokens: 100})
		assert.NilError(t, err)
		load[c.Server.Agent]++
		running = append(running, open{i % entries, c})
	}
	for i := range inFlight {
		start(i)
	}
	most := 0
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
		routers[done.entry].Done(done.choice, track.Result{FirstByte: 100 * time.Millisecond})
		start(step)
		most = max(most, load[servers[replicas-1].Agent])
	}
	t.Logf("at most %d in flight on the fresh replica, mean %d", most, inFlight/replicas)
	assert.Assert(t, most <= inFlight/replicas, "more than a mature replica's share in its first 10 s")
	assert.Assert(t, most > 0)
}

func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	f := newFixture(6, home, home, home, home)
	for i := range f.servers {
		f.servers[i].Load.Capacity = 1000
	}
	f.Update(f.servers)
	q := track.Query{Target: target, Tokens: 100, Prefixes: []uint64{11, 12, 13, 14, 15}}
	first, err := f.Pick(q)
	assert.NilError(t, err)
	f.Done(first, track.Result{FirstByte: time.Millisecond})
	q.Prefixes = append(q.Prefixes, 16)
	second, err := f.Pick(q)
	assert.NilError(t, err)
	assert.Equal(t, second.Server.Agent, first.Server.Agent)
	assert.Equal(t, second.Reason, router.ReasonCached)
	counts := f.picks(t, 20, q)
	assert.Assert(t, counts[first.Server.Agent] < 10, "one prefix must not overload its holder: %v", counts)
	assert.Assert(t, len(counts) > 1)
}

func TestEntriesAgreeOnHome(t *testing.T) {
	zones := make([]track.AvailabilityZone, 40)
	for i := range zones {
		zones[i] = home
	}
	a, b := newFixture(7, zones...), newFixture(8, zones...)
	agreed := 0
	const prompts = 200
	for i := range uint64(prompts) {
		q := track.Query{Target: target, Tokens: 10, Prefixes: []uint64{i*1e9 + 1, i*1e9 + 2}}
		x, _ := a.Pick(q)
		y, _ := b.Pick(q)
		if x.Server.Agent == y.Server.Agent {
			agreed++
		}
		a.Done(x, track.Result{})
		b.Done(y, track.Result{})
	}
	assert.Equal(t, agreed, prompts)
}

// TestLockStep has two groups: one evenly loaded, one with a straggler. The least
// loaded replica belongs to the straggler's group, and is held back by it.
func TestLockStep(t *testing.T) {
	f := newFixture(9, home, home, home, home)
	loads := []int{5000, 5000, 20000, 4000}
	for i := range f.servers {
		f.servers[i].Group = fmt.Sprint("group-", i/2)
		f.servers[i].Load.TokensInFlight = loads[i]
		f.servers[i].Load.Capacity = 100
	}
	f.Update(f.servers)
	counts := f.picks(t, 12, track.Query{Tokens: 100})
	assert.Equal(t, counts["agent-2"]+counts["agent-3"], 0, "the straggler's group gets nothing: %v", counts)
	assert.Assert(t, counts["agent-0"]-counts["agent-1"] <= 2 && counts["agent-1"]-counts["agent-0"] <= 2, "%v", counts)
}

func TestIsolated(t *testing.T) {
	f := newFixture(10, home, home, home)
	f.picks(t, 1, track.Query{})
	seen := map[track.InstanceID]bool{}
	var suspects []track.Choice
	for range 3 {
		c, err := f.Pick(track.Query{Target: target, Isolated: true})
		assert.NilError(t, err)
		assert.Assert(t, c.Isolated && !seen[c.Server.Agent], "suspects run apart")
		seen[c.Server.Agent] = true
		suspects = append(suspects, c)
	}
	crowded, err := f.Pick(track.Query{Target: target, Isolated: true})
	assert.NilError(t, err)
	assert.Assert(t, !crowded.Isolated)
	f.Done(suspects[0], track.Result{})
	counts := f.picks(t, 4, track.Query{})
	assert.Equal(t, counts[suspects[0].Server.Agent], 4, "nothing new beside a suspect: %v", counts)
}

func TestStaleReportAttractsNoHerd(t *testing.T) {
	f := newFixture(11, home, home, home, home)
	for i := range f.servers {
		f.servers[i].Load.TokensInFlight = 1000 * min(i, 1)
		f.servers[i].Load.Capacity = 1000
	}
	f.Update(f.servers)
	f.clock.Advance(time.Minute)
	counts := f.picks(t, 80, track.Query{Tokens: 10})
	assert.Assert(t, counts["agent-0"] <= 40, "a minute old, the report is hardly worth anything: %v", counts)
}

// TestLateReport has a report that was made before the latest picks: these must
// not be subtracted from it.
func TestLateReport(t *testing.T) {
	f := newFixture(14, home, home)
	report := func(tokens int) {
		f.clock.Advance(time.Millisecond)
		f.servers[0].Load = track.Load{Capacity: 10, Running: tokens, TokensInFlight: tokens}
		f.servers[0].Reported = f.clock.Now()
		f.Update(f.servers)
	}
	onlyOn := func(n, agent int) {
		counts := f.picks(t, n, track.Query{Excluded: []track.InstanceID{f.servers[1-agent].Agent}})
		assert.Equal(t, counts[f.servers[agent].Agent], n)
	}
	onlyOn(3, 0)
	report(3)
	onlyOn(3, 0)
	report(8)
	onlyOn(8, 1)
	c, err := f.Pick(track.Query{Target: target})
	assert.NilError(t, err)
	assert.Equal(t, c.Server.Agent, f.servers[1].Agent, "6 own and 5 foreign there, 8 here")
}

// TestAccounts has random picks, ends, restarts and failures: no replica is
// charged above its window, and in the end nothing stays charged.
func TestAccounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(12, home, home, away, away, away)
		var open []track.Choice
		inFlight := map[track.InstanceID]int{}
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1, 2:
				c, err := f.Pick(track.Query{Target: target, Tokens: rapid.IntRange(0, 500).Draw(rt, "tokens")})
				if err == nil {
					open = append(open, c)
					inFlight[c.Server.Agent]++
					assert.Assert(rt, inFlight[c.Server.Agent] <= 10+overflow/2)
				}
			case 3, 4:
				if len(open) > 0 {
					c := open[0]
					open = open[1:]
					inFlight[c.Server.Agent]--
					f.Done(c, track.Result{Failed: rapid.Bool().Draw(rt, "failed"), FirstByte: time.Millisecond})
				}
			case 5:
				f.Update(f.servers)
			}
		}
		for _, c := range open {
			f.Done(c, track.Result{})
		}
		f.clock.Advance(10 * time.Minute)
		slots := f.Slots(target)
		assert.Equal(rt, slots, 50)
		taken := map[track.InstanceID]int{}
		for range slots {
			c, err := f.Pick(track.Query{Target: target})
			assert.NilError(rt, err)
			taken[c.Server.Agent]++
			assert.Assert(rt, taken[c.Server.Agent] <= 10, "no replica is filled beyond its window while another has room")
		}
		for range len(f.servers) * overflow / 2 {
			_, err := f.Pick(track.Query{Target: target})
			assert.NilError(rt, err)
		}
		_, err := f.Pick(track.Query{Target: target})
		assert.Assert(rt, track.IsKind(err, router.Full))
	})
}

func TestPickAllocates(t *testing.T) {
	const maxAllocs = 1
	f := newFixture(13)
	run := cycle(f.Router, fleet(f.clock, 1500), track.Query{Target: target, Tokens: 500, Prefixes: prompt(3, 32)})
	assert.Assert(t, testing.AllocsPerRun(2000, run) <= maxAllocs)
}

// fleet returns n replicas with some load, in groups of eight.
func fleet(clock clockwork.Clock, n int) []track.BackendServer {
	servers := make([]track.BackendServer, n)
	for i := range servers {
		servers[i] = server(clock, i, home)
		servers[i].Group = fmt.Sprint("group-", i/8)
		servers[i].Load = track.Load{Capacity: 200, Running: 150, TokensInFlight: 10000 + i%977}
	}
	return servers
}

func prompt(seed uint64, blocks int) []uint64 {
	rng := rand.New(rand.NewPCG(seed, 9))
	prefixes := make([]uint64, blocks)
	for i := range prefixes {
		prefixes[i] = rng.Uint64()
	}
	return prefixes
}

// cycle returns one decision, with the end of an earlier one.
func cycle(r *router.Router, servers []track.BackendServer, q track.Query) func() {
	r.Update(servers)
	open := make([]track.Choice, 64)
	i := 0
	return func() {
		i++
		if len(q.Prefixes) > 0 {
			q.Prefixes[len(q.Prefixes)-1-i%8] += uint64(i)
		}
		slot := &open[i%len(open)]
		if slot.Server.Agent != "" {
			r.Done(*slot, track.Result{FirstByte: 300 * time.Millisecond})
		}
		*slot, _ = r.Pick(q)
	}
}

func BenchmarkPick(b *testing.B) {
	kinds := map[string][]uint64{"Plain": nil, "Prefixes": prompt(3, 32)}
	for _, n := range []int{15, 150, 1500} {
		for name, prefixes := range kinds {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				clock := clockwork.NewRealClock()
				r := router.New(clock, rand.New(rand.NewPCG(1, 1)), home, cutOff{})
				run := cycle(r, fleet(clock, n), track.Query{Target: target, Tokens: 500, Prefixes: prefixes})
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
	r := router.New(clock, rand.New(rand.NewPCG(1, 1)), "rivera", cutOff{})
	r.Update([]track.BackendServer{{Agent: "agent-1", Zone: "rivera", Target: "dispatch-llm"}})
	choice, err := r.Pick(track.Query{Target: "dispatch-llm", Tokens: 100})
	fmt.Println(choice.Server.Agent, choice.Reason, err)
	// Output: agent-1 TwoChoices <nil>
}
