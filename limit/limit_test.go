package limit_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/limit"
)

func TestMain(m *testing.M) {
	os.Args = append(os.Args, "-rapid.seed=4", "-rapid.checks=100")
	os.Exit(m.Run())
}

// fakeGossip connects the entries of one zone. It holds digests back until deliver is
// called and drops some of them.
type fakeGossip struct {
	handlers []func(track.Notice)
	summary  func() []byte
	pending  []track.Notice
	// drop reports whether to drop the next delivery; nil drops none.
	drop func() bool
	// bytes counts the published data.
	bytes int
}

func (g *fakeGossip) Publish(notice track.Notice) {
	g.bytes += len(notice.Data)
	notice.Data = bytes.Clone(notice.Data)
	g.pending = append(g.pending, notice)
}

func (g *fakeGossip) Subscribe(_ track.Topic, handle func(track.Notice)) {
	g.handlers = append(g.handlers, handle)
}

// Summarize keeps the summary of the entry that joined last.
func (g *fakeGossip) Summarize(_ track.Topic, summary func() []byte) { g.summary = summary }

// sendSummary sends the summary of this zone to the entries of another zone.
func (g *fakeGossip) sendSummary(zone track.AvailabilityZone, other *fakeGossip) {
	data := g.summary()
	for _, handle := range other.handlers {
		if g.drop == nil || !g.drop() {
			handle(track.Notice{Zone: zone, Data: data})
		}
	}
}

func (g *fakeGossip) deliver() {
	for _, notice := range g.pending {
		for _, handle := range g.handlers {
			if g.drop == nil || !g.drop() {
				handle(notice)
			}
		}
	}
	g.pending = nil
}

// summaryInterval is the time between two requests of an entry for the summary of
// another zone.
const summaryInterval = 1500 * time.Millisecond

// newZones returns the limiters of n entries spread evenly over zones, and the gossip of
// each zone.
func newZones(n, zones int, clock clockwork.Clock, drop func() bool) ([]*limit.Limiter, []*fakeGossip) {
	gossips := make([]*fakeGossip, zones)
	var limiters []*limit.Limiter
	for zone := range gossips {
		gossips[zone] = &fakeGossip{drop: drop}
		limiters = append(limiters, newLimiters(n/zones, clock, gossips[zone])...)
	}
	return limiters, gossips
}

func newLimiters(n int, clock clockwork.Clock, gossip *fakeGossip) []*limit.Limiter {
	limiters := make([]*limit.Limiter, n)
	for i := range limiters {
		id := track.InstanceID(fmt.Sprintf("entry-%d", i))
		limiters[i] = limit.New(clock, id, gossip, zap.NewNop(), metrics.NewSet())
	}
	return limiters
}

// zipf returns the shares of n entries in a Zipf distribution of the demand. An exponent
// of 0 spreads it evenly.
func zipf(n int, exponent float64) []float64 {
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -exponent)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

const (
	entryCount = 9
	// rate is a limit in requests per second.
	rate = 200.0
	// lowRate is a limit of about one request per second and entry.
	lowRate         = 10.0
	windowSeconds   = 10
	warmUpSeconds   = 10
	totalSeconds    = 120
	requestedTokens = 50
)

// admittedRatios sends an account's demand, a multiple of its limit in requests per
// second, to the entries. It returns the admitted requests of each window after the
// warm-up as a fraction of what the limit allows. With shift, the busiest and the idlest
// entries swap their demand after half of the time.
func admittedRatios(
	seed uint64, client track.ClientAccount, requestLimit, demand, exponent float64, shift bool, zones int,
) []float64 {
	rng := rand.New(rand.NewPCG(seed, 2))
	clock := clockwork.NewFakeClock()
	limiters, gossips := newZones(entryCount, zones, clock, func() bool { return rng.Float64() < 0.1 })
	shares := zipf(entryCount, exponent)
	const tick = 10 * time.Millisecond
	var ratios []float64
	admitted := 0
	for step := range int(totalSeconds * time.Second / tick) {
		clock.Advance(tick)
		now := time.Duration(step) * tick
		if shift && now == totalSeconds/2*time.Second {
			for i := range entryCount / 2 {
				shares[i], shares[entryCount-1-i] = shares[entryCount-1-i], shares[i]
			}
		}
		for i, limiter := range limiters {
			if now%limit.PublishInterval == time.Duration(i)*tick {
				limiter.Publish()
			}
			for range poisson(rng, demand*requestLimit*shares[i]*tick.Seconds()) {
				if limiter.Admit(client, requestedTokens).Admitted {
					admitted++
				}
			}
		}
		if now%(300*time.Millisecond) == 0 {
			for _, gossip := range gossips {
				gossip.deliver()
			}
		}
		if now%summaryInterval == 0 {
			exchangeSummaries(gossips)
		}
		if (now+tick)%(windowSeconds*time.Second) == 0 {
			ratios = append(ratios, float64(admitted)/(requestLimit*windowSeconds))
			admitted = 0
		}
	}
	return ratios[warmUpSeconds/windowSeconds:]
}

// exchangeSummaries sends the summary of each zone to all other zones.
func exchangeSummaries(gossips []*fakeGossip) {
	for from, gossip := range gossips {
		for to, other := range gossips {
			if from != to {
				gossip.sendSummary(track.AvailabilityZone(fmt.Sprint("zone-", from)), other)
			}
		}
	}
}

// poisson draws a number of arrivals from a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for p := rng.Float64(); p > math.Exp(-mean); p *= rng.Float64() {
		n++
	}
	return n
}

func TestLimitHoldsWithSkewedDemand(t *testing.T) {
	const tolerance = 0.1
	byRequests := track.ClientAccount{Name: "large", RequestsPerSecond: rate}
	slow := track.ClientAccount{Name: "slow", RequestsPerSecond: lowRate}
	byTokens := track.ClientAccount{Name: "large", TokensPerSecond: rate * requestedTokens}
	cases := []struct {
		name         string
		client       track.ClientAccount
		requestLimit float64
		demand       float64
		exponent     float64
		shift        bool
	}{
		{"even", byRequests, rate, 3, 0, false},
		{"skewed", byRequests, rate, 3, 1.2, false},
		{"one entry", byRequests, rate, 3, 8, false},
		{"just above", byRequests, rate, 1.2, 1.2, false},
		{"shift", byRequests, rate, 3, 1.2, true},
		{"tokens", byTokens, rate, 3, 1.2, false},
		{"slow", slow, lowRate, 3, 1.2, false},
	}
	for _, c := range cases {
		for _, zones := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s/%d zones", c.name, zones), func(t *testing.T) {
				ratios := admittedRatios(11, c.client, c.requestLimit, c.demand, c.exponent, c.shift, zones)
				t.Logf("admitted / limit in windows of %d s: %.3f", windowSeconds, ratios)
				for _, ratio := range ratios {
					assert.Check(t, math.Abs(ratio-1) <= tolerance, "%.3f", ratio)
				}
			})
		}
	}
}

// TestDemandBelowLimitIsAdmitted checks that at least 98% of the requests are admitted.
func TestDemandBelowLimitIsAdmitted(t *testing.T) {
	const demand = 0.7
	client := track.ClientAccount{Name: "large", RequestsPerSecond: rate}
	ratios := admittedRatios(12, client, rate, demand, 1.2, false, 1)
	t.Logf("admitted / limit at a demand of %.1f: %.3f", demand, ratios)
	sum := 0.0
	for _, ratio := range ratios {
		sum += ratio
	}
	assert.Assert(t, sum/float64(len(ratios)) >= 0.98*demand)
}

// TestCutOffEntryGrantsFullRate drops all digests between two entries.
func TestCutOffEntryGrantsFullRate(t *testing.T) {
	clock, gossip := clockwork.NewFakeClock(), &fakeGossip{}
	limiters := newLimiters(2, clock, gossip)
	client := track.ClientAccount{Name: "a", RequestsPerSecond: 10}
	for range 20 {
		clock.Advance(limit.PublishInterval)
		for _, l := range limiters {
			l.Admit(client, 0)
			l.Publish()
		}
		gossip.pending = nil
	}
	admitted := 0
	for range 100 {
		clock.Advance(100 * time.Millisecond)
		if limiters[0].Admit(client, 0).Admitted {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 90, "a cut-off entry must grant the whole limit, but admitted %d", admitted)
}

// TestSilentEntryLosesItsShare stops one of two entries. The other may use the whole limit
// only after the stopped entry has timed out.
func TestSilentEntryLosesItsShare(t *testing.T) {
	clock, gossip := clockwork.NewFakeClock(), &fakeGossip{}
	limiters := newLimiters(2, clock, gossip)
	client := track.ClientAccount{Name: "a", RequestsPerSecond: 10}
	run := func(running int, duration time.Duration) int {
		admitted := 0
		for i := range int(duration / (50 * time.Millisecond)) {
			clock.Advance(50 * time.Millisecond)
			for _, l := range limiters[:running] {
				if l.Admit(client, 0).Admitted {
					admitted++
				}
				if i%40 == 0 {
					l.Publish()
				}
			}
			gossip.deliver()
		}
		return admitted
	}
	run(2, 20*time.Second)
	assert.Assert(t, run(1, 8*time.Second) <= 48, "a silent entry must keep its share until its timeout, as it may return")
	run(1, 8*time.Second)
	assert.Assert(t, run(1, 10*time.Second) >= 90, "after the timeout the other entry must grant the whole limit")
}

func TestAdjustTokensChargesActualTokens(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLimiters(1, clock, &fakeGossip{})[0]
	client := track.ClientAccount{Name: "a", TokensPerSecond: 100}
	assert.Assert(t, l.Admit(client, 10).Admitted)
	l.AdjustTokens(client, 10, 400)
	decision := l.Admit(client, 10)
	assert.Assert(t, !decision.Admitted)
	assert.Equal(t, decision.Reason, limit.TokenLimitExceeded)
	assert.Equal(t, decision.RetryAfter, 3*time.Second)
	clock.Advance(decision.RetryAfter)
	assert.Assert(t, l.Admit(client, 10).Admitted)
}

// TestMemoryAndDigestSize bounds the heap and the published bytes with 21,000 accounts in
// use at one entry.
func TestMemoryAndDigestSize(t *testing.T) {
	const (
		accounts          = 21000
		maxHeapBytes      = 16 << 20
		maxDigestBytes    = 1024
		maxBytesPerSecond = 512
	)
	before := heapBytes()
	clock, gossip := clockwork.NewFakeClock(), &fakeGossip{}
	l := newLimiters(1, clock, gossip)[0]
	for i := range accounts {
		l.Admit(track.ClientAccount{Name: fmt.Sprint(i), RequestsPerSecond: float64(i%50 + 1)}, 100)
	}
	used := heapBytes() - before
	l.Publish()
	t.Logf("%d accounts: %d bytes, %d per account; digest: %d bytes", accounts, used, used/accounts, gossip.bytes)
	assert.Assert(t, used <= maxHeapBytes)
	assert.Assert(t, gossip.bytes <= maxDigestBytes)
	assert.Assert(t, float64(gossip.bytes)/limit.PublishInterval.Seconds() <= maxBytesPerSecond)
	clock.Advance(2 * time.Minute)
	l.Publish()
	runtime.KeepAlive(l)
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func FuzzDigest(f *testing.F) {
	f.Add([]byte("short"))
	f.Add(bytes.Repeat([]byte{0xff}, 32))
	f.Fuzz(func(t *testing.T, data []byte) {
		clock, gossip := clockwork.NewFakeClock(), &fakeGossip{}
		l := newLimiters(1, clock, gossip)[0]
		client := track.ClientAccount{Name: "a", RequestsPerSecond: 10}
		l.Admit(client, 1)
		gossip.handlers[0](track.Notice{From: "other", Data: data})
		clock.Advance(limit.PublishInterval)
		l.Publish()
		clock.Advance(time.Minute)
		assert.Assert(t, l.Admit(client, 1).Admitted, "no digest may lock an account out")
	})
}

func ExampleLimiter_Admit() {
	clock := clockwork.NewFakeClock()
	l := limit.New(clock, "entry-1", &fakeGossip{}, zap.NewNop(), metrics.NewSet())
	client := track.ClientAccount{Name: "rivera-mills", RequestsPerSecond: 1}
	fmt.Println(l.Admit(client, 0).Admitted)
	fmt.Println(l.Admit(client, 0))
	// Output:
	// true
	// {false RequestsPerSecond 1s}
}
