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

// bus delivers digests late and loses some. It joins the entries of a zone.
type bus struct {
	handlers []func(track.Notice)
	summary  func() []byte
	held     []track.Notice
	lost     func() bool
	bytes    int
}

func (b *bus) Publish(d track.Notice) {
	b.bytes += len(d.Data)
	d.Data = bytes.Clone(d.Data)
	b.held = append(b.held, d)
}

func (b *bus) Subscribe(_ track.Topic, handle func(track.Notice)) {
	b.handlers = append(b.handlers, handle)
}

// Summarize keeps the summary of the entry that joined last.
func (b *bus) Summarize(_ track.Topic, summary func() []byte) { b.summary = summary }

// tell hands the summary of the zone to the entries of another.
func (b *bus) tell(zone track.AvailabilityZone, other *bus) {
	data := b.summary()
	for _, handle := range other.handlers {
		if b.lost == nil || !b.lost() {
			handle(track.Notice{Zone: zone, Data: data})
		}
	}
}

func (b *bus) deliver() {
	for _, d := range b.held {
		for _, handle := range b.handlers {
			if b.lost == nil || !b.lost() {
				handle(d)
			}
		}
	}
	b.held = nil
}

// asking is the time between two questions of an entry to another zone.
const asking = 1500 * time.Millisecond

// newZones returns entries spread over zones, and the buses of the zones.
func newZones(n, zones int, clock clockwork.Clock, lost func() bool) ([]*limit.Limiter, []*bus) {
	buses := make([]*bus, zones)
	var entries []*limit.Limiter
	for z := range buses {
		buses[z] = &bus{lost: lost}
		entries = append(entries, newEntries(n/zones, clock, buses[z])...)
	}
	return entries, buses
}

func newEntries(n int, clock clockwork.Clock, b *bus) []*limit.Limiter {
	entries := make([]*limit.Limiter, n)
	for i := range entries {
		id := track.InstanceID(fmt.Sprintf("entry-%d", i))
		entries[i] = limit.New(clock, id, b, zap.NewNop(), metrics.NewSet())
	}
	return entries
}

// zipf returns how demand is spread over n entries.
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
	entries = 9
	rate    = 200.0
	// slowRate is about one request a second and entry.
	slowRate = 10.0
	window   = 10
	warmUp   = 10
	length   = 120
	tokens   = 50
)

// offered runs an account's demand, a multiple of the set rate, over nine entries and returns what each
// window of ten seconds admitted, as a part of what the limit allows.
func offered(seed uint64, client track.ClientAccount, set, demand, exponent float64, shift bool, zones int) []float64 {
	rng := rand.New(rand.NewPCG(seed, 2))
	clock := clockwork.NewFakeClock()
	limiters, buses := newZones(entries, zones, clock, func() bool { return rng.Float64() < 0.1 })
	shares := zipf(entries, exponent)
	const tick = 10 * time.Millisecond
	var windows []float64
	admitted := 0
	for step := range int(length * time.Second / tick) {
		clock.Advance(tick)
		now := time.Duration(step) * tick
		if shift && now == length/2*time.Second {
			for i := range entries / 2 {
				shares[i], shares[entries-1-i] = shares[entries-1-i], shares[i]
			}
		}
		for i, limiter := range limiters {
			if now%limit.Interval == time.Duration(i)*tick {
				limiter.Publish()
			}
			for range poisson(rng, demand*set*shares[i]*tick.Seconds()) {
				if limiter.Admit(client, tokens).Admitted {
					admitted++
				}
			}
		}
		if now%(300*time.Millisecond) == 0 {
			for _, b := range buses {
				b.deliver()
			}
		}
		if now%asking == 0 {
			tellAll(buses)
		}
		if (now+tick)%(window*time.Second) == 0 {
			windows = append(windows, float64(admitted)/(set*window))
			admitted = 0
		}
	}
	return windows[warmUp/window:]
}

// tellAll has each zone hear the summaries of all others.
func tellAll(buses []*bus) {
	for from, b := range buses {
		for to, other := range buses {
			if from != to {
				b.tell(track.AvailabilityZone(fmt.Sprint("zone-", from)), other)
			}
		}
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for p := rng.Float64(); p > math.Exp(-mean); p *= rng.Float64() {
		n++
	}
	return n
}

func TestRateHoldsOverSkewedEntries(t *testing.T) {
	const tolerance = 0.1
	byRequests := track.ClientAccount{Name: "large", RequestsPerSecond: rate}
	slow := track.ClientAccount{Name: "slow", RequestsPerSecond: slowRate}
	byTokens := track.ClientAccount{Name: "large", TokensPerSecond: rate * tokens}
	cases := []struct {
		name     string
		client   track.ClientAccount
		set      float64
		demand   float64
		exponent float64
		shift    bool
	}{
		{"even", byRequests, rate, 3, 0, false},
		{"skewed", byRequests, rate, 3, 1.2, false},
		{"one entry", byRequests, rate, 3, 8, false},
		{"just above", byRequests, rate, 1.2, 1.2, false},
		{"shift", byRequests, rate, 3, 1.2, true},
		{"tokens", byTokens, rate, 3, 1.2, false},
		{"slow", slow, slowRate, 3, 1.2, false},
	}
	for _, c := range cases {
		for _, zones := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s/%d zones", c.name, zones), func(t *testing.T) {
				windows := offered(11, c.client, c.set, c.demand, c.exponent, c.shift, zones)
				t.Logf("admitted / limit in windows of %d s: %.3f", window, windows)
				for _, w := range windows {
					assert.Check(t, math.Abs(w-1) <= tolerance, "%.3f", w)
				}
			})
		}
	}
}

func TestBelowLimitNothingIsRefused(t *testing.T) {
	const demand = 0.7
	client := track.ClientAccount{Name: "large", RequestsPerSecond: rate}
	windows := offered(12, client, rate, demand, 1.2, false, 1)
	t.Logf("admitted / limit at a demand of %.1f: %.3f", demand, windows)
	sum := 0.0
	for _, w := range windows {
		sum += w
	}
	assert.Assert(t, sum/float64(len(windows)) >= 0.98*demand)
}

func TestCutOffEntryGoesOn(t *testing.T) {
	clock, b := clockwork.NewFakeClock(), &bus{}
	limiters := newEntries(2, clock, b)
	client := track.ClientAccount{Name: "a", RequestsPerSecond: 10}
	for range 20 {
		clock.Advance(limit.Interval)
		for _, l := range limiters {
			l.Admit(client, 0)
			l.Publish()
		}
		b.held = nil
	}
	admitted := 0
	for range 100 {
		clock.Advance(100 * time.Millisecond)
		if limiters[0].Admit(client, 0).Admitted {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 90, "alone, an entry grants the whole rate: %d", admitted)
}

// TestDeadEntryFreesItsShare has one of two entries fall silent.
func TestDeadEntryFreesItsShare(t *testing.T) {
	clock, b := clockwork.NewFakeClock(), &bus{}
	limiters := newEntries(2, clock, b)
	client := track.ClientAccount{Name: "a", RequestsPerSecond: 10}
	run := func(alive int, length time.Duration) int {
		admitted := 0
		for i := range int(length / (50 * time.Millisecond)) {
			clock.Advance(50 * time.Millisecond)
			for _, l := range limiters[:alive] {
				if l.Admit(client, 0).Admitted {
					admitted++
				}
				if i%40 == 0 {
					l.Publish()
				}
			}
			b.deliver()
		}
		return admitted
	}
	run(2, 20*time.Second)
	assert.Assert(t, run(1, 8*time.Second) <= 48, "it may be back any moment")
	run(1, 8*time.Second)
	assert.Assert(t, run(1, 10*time.Second) >= 90, "it is gone")
}

func TestTokensAreSettled(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newEntries(1, clock, &bus{})[0]
	client := track.ClientAccount{Name: "a", TokensPerSecond: 100}
	assert.Assert(t, l.Admit(client, 10).Admitted)
	l.Settle(client, 10, 400)
	v := l.Admit(client, 10)
	assert.Assert(t, !v.Admitted)
	assert.Equal(t, v.Reason, limit.OverTokens)
	assert.Equal(t, v.RetryAfter, 3*time.Second)
	clock.Advance(v.RetryAfter)
	assert.Assert(t, l.Admit(client, 10).Admitted)
}

// TestBudgets has 21,000 accounts in use at one entry.
func TestBudgets(t *testing.T) {
	const (
		accounts      = 21000
		maxBytes      = 16 << 20
		maxDigest     = 1024
		perSecondPeer = 512
	)
	before := heap()
	clock, b := clockwork.NewFakeClock(), &bus{}
	l := newEntries(1, clock, b)[0]
	for i := range accounts {
		l.Admit(track.ClientAccount{Name: fmt.Sprint(i), RequestsPerSecond: float64(i%50 + 1)}, 100)
	}
	used := heap() - before
	l.Publish()
	t.Logf("%d accounts: %d bytes, %d an account; digest %d bytes", accounts, used, used/accounts, b.bytes)
	assert.Assert(t, used <= maxBytes)
	assert.Assert(t, b.bytes <= maxDigest)
	assert.Assert(t, float64(b.bytes)/limit.Interval.Seconds() <= perSecondPeer)
	clock.Advance(2 * time.Minute)
	l.Publish()
	runtime.KeepAlive(l)
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func FuzzDigest(f *testing.F) {
	f.Add([]byte("short"))
	f.Add(bytes.Repeat([]byte{0xff}, 32))
	f.Fuzz(func(t *testing.T, data []byte) {
		clock, b := clockwork.NewFakeClock(), &bus{}
		l := newEntries(1, clock, b)[0]
		client := track.ClientAccount{Name: "a", RequestsPerSecond: 10}
		l.Admit(client, 1)
		b.handlers[0](track.Notice{From: "other", Data: data})
		clock.Advance(limit.Interval)
		l.Publish()
		clock.Advance(time.Minute)
		assert.Assert(t, l.Admit(client, 1).Admitted, "no digest may shut an account out")
	})
}

func ExampleLimiter_Admit() {
	clock := clockwork.NewFakeClock()
	l := limit.New(clock, "entry-1", &bus{}, zap.NewNop(), metrics.NewSet())
	client := track.ClientAccount{Name: "rivera-mills", RequestsPerSecond: 1}
	fmt.Println(l.Admit(client, 0).Admitted)
	fmt.Println(l.Admit(client, 0))
	// Output:
	// true
	// {false RequestsPerSecond 1s}
}
