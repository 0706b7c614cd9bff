package permit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/cold"
	"filberttrack.example/track/permit"
)

// coldEntries is a number of entries that send to one cold replica.
type coldEntries struct {
	rng       *rand.Rand
	spec      cold.Spec
	now       time.Time
	shares    []permit.Share
	schedules []*permit.Schedule
	// clocks holds by how much the clock of each entry is ahead.
	clocks []time.Duration
	// arrivals counts the requests that reach the replica in each step.
	arrivals map[int]int
	used     int
}

const coldStep = 10 * time.Millisecond

// learn gives an entry the limit, as one that has just started or has just learned that the replica is cold.
func (c *coldEntries) learn(i int) {
	c.schedules[i] = permit.New("i-1")
	c.schedules[i].SetLimitAndKeep(c.spec.Rate(), c.spec.KeepTime(c.spec.Rate()), c.now.Add(c.clocks[i]))
}

// run sends through the entries for which sends is true, each of which uses all its permits then. The replica refuses
// the requests at once, so that no slot limits them. Requests take up to 100 ms to arrive.
func (c *coldEntries) run(d time.Duration, sends func(entry, step int) bool) {
	for range int(d / coldStep) {
		step := int(c.now.UnixMilli() / coldStep.Milliseconds())
		for i, s := range c.schedules {
			if s == nil || !sends(i, step) {
				continue
			}
			for range use(s, c.shares[i], c.now.Add(c.clocks[i])) {
				c.used++
				c.arrivals[step+c.rng.IntN(11)]++
			}
		}
		c.now = c.now.Add(coldStep)
	}
}

// most returns the most requests that arrived in one second.
func (c *coldEntries) most() int {
	most, window := 0, int(time.Second/coldStep)
	for first := range c.arrivals {
		n := 0
		for step := first; step < first+window; step++ {
			n += c.arrivals[step]
		}
		most = max(most, n)
	}
	return most
}

// Guards against a second in which a cold replica gets more requests than it can handle: as many entries as there may be
// with uneven shares, entries that send all that they may at the same moment after a silence, entries
// that restart at any moment, entries that learn late that the replica is cold, and clocks up to 0.2 s apart.
func TestEntriesTogetherStayUnderTheBreachOfAColdReplica(t *testing.T) {
	for _, entries := range []int{6, 38, 98} {
		for seed := range uint64(20) {
			c := &coldEntries{
				rng: rand.New(rand.NewPCG(31, seed)), now: time.Unix(1_790_000_000, int64(seed)*13e6),
				spec:      cold.Spec{StartTime: 3 * time.Second, PerSecond: 17, Overshoot: 1.5, Slack: 5},
				schedules: make([]*permit.Schedule, entries), clocks: make([]time.Duration, entries), arrivals: make(map[int]int),
			}
			weights := make([]float64, entries)
			for i := range weights {
				weights[i] = 0.05 + c.rng.ExpFloat64()
				c.clocks[i] = time.Duration(c.rng.Float64() * float64(200*time.Millisecond))
				if c.rng.IntN(3) > 0 {
					c.learn(i)
				}
			}
			c.shares = shares(weights)
			always := func(int, int) bool { return true }
			// All send at once, while the others learn one after the other.
			for i, s := range c.schedules {
				c.run(2*coldStep, always)
				if s == nil {
					c.learn(i)
				}
			}
			// Silent entries wake up at the same step, at intervals that exceed the time for which permits are kept.
			c.run(10*time.Second, func(i, step int) bool { return i%3 != 0 || step%29 == 0 })
			// All are silent for a while, then send all that they may and go on.
			c.run(20*time.Second, func(_, step int) bool { return step%400 > 200 })
			for range 200 {
				c.learn(c.rng.IntN(entries))
				c.run(time.Duration(1+c.rng.IntN(5))*coldStep, func(int, int) bool { return c.rng.IntN(4) > 0 })
			}
			assert.Assert(t, float64(c.most()) <= c.spec.Breach(), "%d entries, seed %d: %d in one second", entries, seed, c.most())
			// With all entries sending, no permit is lost.
			before := c.used
			c.run(10*time.Second, func(_, step int) bool { return step%5 == 0 })
			assert.Assert(t, c.used-before >= 165, "%d entries, seed %d: %d in 10 s at 17 a second", entries, seed, c.used-before)
		}
	}
}
