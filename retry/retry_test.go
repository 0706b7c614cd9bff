package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/retry"
)

var policy = track.RetryPolicy{Share: 0.1, FloorPerSecond: 1, MaxAttempts: 3, Backoff: 20 * time.Millisecond}

func lookup(now time.Time) *track.Call {
	return &track.Call{
		Target:   "pickup-desk",
		Profile:  track.Profile{Retry: policy, Hedge: track.HedgePolicy{After: 100 * time.Millisecond}},
		Deadline: now.Add(2 * time.Second),
	}
}

func newRetrier(seed uint64) (*retry.Retrier, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return retry.New(clock, rand.New(rand.NewPCG(seed, 1))), clock
}

func TestNext(t *testing.T) {
	cases := []struct {
		name   string
		call   func(*track.Call)
		f      retry.Failure
		again  bool
		reason retry.Reason
	}{
		{"lookup", nil, retry.Failure{Attempts: 1}, true, retry.ReasonRetry},
		{"last attempt", nil, retry.Failure{Attempts: 3}, false, retry.ReasonAttempts},
		{"no time", nil, retry.Failure{Attempts: 1, Expected: 2100 * time.Millisecond}, false, retry.ReasonDeadline},
		{"booking unknown", nonIdempotent, retry.Failure{Attempts: 1}, false, retry.ReasonMayRun},
		{"booking not run", nonIdempotent, retry.Failure{Attempts: 1, Outcome: track.NotRun}, true, retry.ReasonRetry},
		{"refused", nil, retry.Failure{Attempts: 3, Refused: true, Outcome: track.NotRun}, true, retry.ReasonReroute},
		{"refused often", nil, retry.Failure{Attempts: 3, Reroutes: 3, Refused: true}, false, retry.ReasonAttempts},
		{"refused late", nil, retry.Failure{Refused: true, Expected: time.Hour}, false, retry.ReasonDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, clock := newRetrier(1)
			call := lookup(clock.Now())
			if c.call != nil {
				c.call(call)
			}
			d := r.Next(call, c.f)
			assert.Equal(t, d.Again, c.again)
			assert.Equal(t, d.Reason, c.reason)
			assert.Equal(t, d.RetryAfter >= time.Second, !c.again, "who is given up is told when to come back")
		})
	}
}

func nonIdempotent(call *track.Call) { call.NonIdempotent = true }

// TestStorm has every attempt fail, after an hour of health that filled the
// budget, and counts the load on backend servers.
func TestStorm(t *testing.T) {
	const maxAmplification = 1.1
	for _, perSecond := range []int{1, 5, 50, 500} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			r, clock := newRetrier(7)
			for range 10000 {
				call := lookup(clock.Now())
				r.First(call)
				r.Observe(call, "agent-1", true)
			}
			const callers = 300
			load := 0
			for range callers {
				clock.Advance(time.Second / time.Duration(perSecond))
				load += run(r, lookup(clock.Now()))
			}
			amplification := float64(load) / callers
			t.Logf("callers %d/s: load %.3f times the callers'", perSecond, amplification)
			assert.Assert(t, amplification <= maxAmplification, "%.3f", amplification)
		})
	}
}

// run has each attempt at the call fail, and returns the number of attempts.
func run(r *retry.Retrier, call *track.Call) int {
	r.First(call)
	for attempts := 1; ; attempts++ {
		r.Observe(call, "agent-1", false)
		if !r.Next(call, retry.Failure{Attempts: attempts, Crashed: attempts%2 == 0}).Again {
			return attempts
		}
	}
}

func TestFloorServesQuietTarget(t *testing.T) {
	r, clock := newRetrier(3)
	call := lookup(clock.Now())
	r.First(call)
	assert.Assert(t, r.Next(call, retry.Failure{Attempts: 1}).Again)
}

// TestFloorIsARate has one in four attempts fail, one call a second: the retries
// must not exceed the share and the floor together.
func TestFloorIsARate(t *testing.T) {
	const (
		calls    = 4000
		maxSaved = 3
	)
	for _, floor := range []float64{0, 0.05} {
		r, clock := newRetrier(5)
		retries := 0
		for i := range calls {
			clock.Advance(time.Second)
			call := lookup(clock.Now())
			call.Profile.Retry.FloorPerSecond = floor
			r.First(call)
			r.Observe(call, "agent-1", i%4 != 0)
			if i%4 == 0 && r.Next(call, retry.Failure{Attempts: 1}).Again {
				retries++
			}
		}
		allowed := (policy.Share + floor) * calls
		assert.Assert(t, float64(retries) <= allowed+maxSaved, "%d retries", retries)
		assert.Assert(t, float64(retries) >= 0.95*allowed, "%d retries", retries)
	}
}

// TestCrashSparesTheInnocent has one replica of four die with thirty attempts in
// flight: all are retried, whatever the budget; but not if all replicas die.
func TestCrashSparesTheInnocent(t *testing.T) {
	const inFlight = 30
	for _, c := range []struct {
		dying, atLeast, atMost int
	}{{1, inFlight, inFlight}, {4, 0, inFlight/2 + 8}} {
		r, clock := newRetrier(8)
		call := lookup(clock.Now())
		retried := 0
		for i := range inFlight {
			r.First(call)
			r.Observe(call, track.InstanceID(fmt.Sprint(i%c.dying)), false)
			if r.Next(call, retry.Failure{Attempts: 1, Crashed: true, Replicas: 4}).Again {
				retried++
			}
		}
		assert.Assert(t, retried >= c.atLeast && retried <= c.atMost, "%d of 4 die: %d retried", c.dying, retried)
	}
}

func TestBackoffIsJittered(t *testing.T) {
	r, clock := newRetrier(2)
	var sum [2]time.Duration
	const draws = 500
	for range draws {
		for i := range sum {
			call := lookup(clock.Now())
			for range 20 {
				r.First(call)
				r.Observe(call, "agent-1", true)
			}
			d := r.Next(call, retry.Failure{Attempts: i + 1})
			assert.Assert(t, d.Delay >= 0 && d.Delay < policy.Backoff<<(i+1))
			sum[i] += d.Delay
		}
	}
	assert.Assert(t, sum[0] > draws*15*time.Millisecond && sum[0] < draws*25*time.Millisecond)
	assert.Assert(t, sum[1] > draws*30*time.Millisecond && sum[1] < draws*50*time.Millisecond)
}

func TestHedge(t *testing.T) {
	const slow = 150 * time.Millisecond
	r, clock := newRetrier(4)
	call := lookup(clock.Now())
	ok, reason := r.Hedge(call, 1, slow)
	assert.Assert(t, ok, reason)
	ok, _ = r.Hedge(call, 1, 10*time.Millisecond)
	assert.Assert(t, !ok, "too early")
	ok, _ = r.Hedge(call, policy.MaxAttempts, slow)
	assert.Assert(t, !ok, "no attempts left")
	booking := lookup(clock.Now())
	booking.NonIdempotent = true
	ok, reason = r.Hedge(booking, 1, slow)
	assert.Assert(t, !ok)
	assert.Equal(t, reason, retry.ReasonMayRun)
	for range 50 {
		r.Observe(call, "agent-1", false)
	}
	ok, reason = r.Hedge(call, 1, slow)
	assert.Assert(t, !ok)
	assert.Equal(t, reason, retry.ReasonUnhealthy)
}

func ExampleRetrier_Next() {
	clock := clockwork.NewFakeClock()
	r := retry.New(clock, rand.New(rand.NewPCG(1, 1)))
	call := lookup(clock.Now())
	r.First(call)
	fmt.Println(r.Next(call, retry.Failure{Attempts: 1}).Reason)
	fmt.Println(r.Next(call, retry.Failure{Attempts: 3}).Reason)
	// Output:
	// Retry
	// NoAttemptsLeft
}
