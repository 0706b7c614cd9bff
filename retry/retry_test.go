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

// lookup returns an idempotent request with a timeout of 2 s.
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
		{"last attempt", nil, retry.Failure{Attempts: 3}, false, retry.ReasonNoAttemptsLeft},
		{
			"no time left", nil,
			retry.Failure{Attempts: 1, ExpectedDuration: 2100 * time.Millisecond},
			false, retry.ReasonNoTimeLeft,
		},
		{"non-idempotent may have run", nonIdempotent, retry.Failure{Attempts: 1}, false, retry.ReasonMayHaveRun},
		{"non-idempotent not run", nonIdempotent, retry.Failure{Attempts: 1, Outcome: track.NotRun}, true, retry.ReasonRetry},
		{"refused", nil, retry.Failure{Attempts: 3, Refused: true, Outcome: track.NotRun}, true, retry.ReasonReroute},
		{"refused too often", nil, retry.Failure{Attempts: 3, Reroutes: 3, Refused: true}, false, retry.ReasonNoAttemptsLeft},
		{
			"refused without time left", nil,
			retry.Failure{Refused: true, ExpectedDuration: time.Hour},
			false, retry.ReasonNoTimeLeft,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, clock := newRetrier(1)
			call := lookup(clock.Now())
			if c.call != nil {
				c.call(call)
			}
			d := r.AfterFailure(call, c.f)
			assert.Equal(t, d.Retry, c.again)
			assert.Equal(t, d.Reason, c.reason)
			assert.Equal(t, d.RetryAfter >= time.Second, !c.again, "only a request that is given up has a retry delay")
		})
	}
}

func nonIdempotent(call *track.Call) { call.NonIdempotent = true }

// TestRetriesDoNotAmplifyLoad guards against retries that multiply the load on
// backend servers when they already fail. Every attempt fails, after many successful
// ones that filled the budget.
func TestRetriesDoNotAmplifyLoad(t *testing.T) {
	const maxAmplification = 1.1
	for _, perSecond := range []int{1, 5, 50, 500} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			r, clock := newRetrier(7)
			for range 10000 {
				call := lookup(clock.Now())
				r.RecordFirstAttempt(call)
				r.RecordResult(call, "agent-1", true)
			}
			const requests = 300
			attempts := 0
			for range requests {
				clock.Advance(time.Second / time.Duration(perSecond))
				attempts += attemptUntilGivenUp(r, lookup(clock.Now()))
			}
			amplification := float64(attempts) / requests
			t.Logf("%d requests/s: %.3f attempts per request", perSecond, amplification)
			assert.Assert(t, amplification <= maxAmplification, "%.3f", amplification)
		})
	}
}

// attemptUntilGivenUp lets each attempt at a request fail until it is given up, and
// returns the number of attempts.
func attemptUntilGivenUp(r *retry.Retrier, call *track.Call) int {
	r.RecordFirstAttempt(call)
	for attempts := 1; ; attempts++ {
		r.RecordResult(call, "agent-1", false)
		if !r.AfterFailure(call, retry.Failure{Attempts: attempts, Crashed: attempts%2 == 0}).Retry {
			return attempts
		}
	}
}

func TestFloorAllowsRetryAtLowTraffic(t *testing.T) {
	r, clock := newRetrier(3)
	call := lookup(clock.Now())
	r.RecordFirstAttempt(call)
	assert.Assert(t, r.AfterFailure(call, retry.Failure{Attempts: 1}).Retry)
}

// TestRetryRateMatchesShareAndFloor sends one request per second, of which one in
// four fails. The number of retries must match the share and the floor together.
func TestRetryRateMatchesShareAndFloor(t *testing.T) {
	const (
		requests = 4000
		// maxSaved is the number of retries saved up before the first request.
		maxSaved = 3
	)
	for _, floor := range []float64{0, 0.05} {
		r, clock := newRetrier(5)
		retries := 0
		for i := range requests {
			clock.Advance(time.Second)
			call := lookup(clock.Now())
			call.Profile.Retry.FloorPerSecond = floor
			r.RecordFirstAttempt(call)
			r.RecordResult(call, "agent-1", i%4 != 0)
			if i%4 == 0 && r.AfterFailure(call, retry.Failure{Attempts: 1}).Retry {
				retries++
			}
		}
		allowed := (policy.Share + floor) * requests
		assert.Assert(t, float64(retries) <= allowed+maxSaved, "%d retries", retries)
		assert.Assert(t, float64(retries) >= 0.95*allowed, "%d retries", retries)
	}
}

// TestCrashRetriesIgnoreBudget crashes one replica of four with thirty attempts in
// flight. All are retried regardless of the budget. If all replicas crash, the
// budget applies.
func TestCrashRetriesIgnoreBudget(t *testing.T) {
	const inFlight = 30
	for _, c := range []struct {
		crashing, atLeast, atMost int
	}{{1, inFlight, inFlight}, {4, 0, inFlight/2 + 8}} {
		r, clock := newRetrier(8)
		call := lookup(clock.Now())
		retried := 0
		for i := range inFlight {
			r.RecordFirstAttempt(call)
			r.RecordResult(call, track.InstanceID(fmt.Sprint(i%c.crashing)), false)
			if r.AfterFailure(call, retry.Failure{Attempts: 1, Crashed: true, Replicas: 4}).Retry {
				retried++
			}
		}
		assert.Assert(t, retried >= c.atLeast && retried <= c.atMost, "%d of 4 crash: %d retried", c.crashing, retried)
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
				r.RecordFirstAttempt(call)
				r.RecordResult(call, "agent-1", true)
			}
			d := r.AfterFailure(call, retry.Failure{Attempts: i + 1})
			assert.Assert(t, d.Delay >= 0 && d.Delay < policy.Backoff<<(i+1))
			sum[i] += d.Delay
		}
	}
	assert.Assert(t, sum[0] > draws*15*time.Millisecond && sum[0] < draws*25*time.Millisecond)
	assert.Assert(t, sum[1] > draws*30*time.Millisecond && sum[1] < draws*50*time.Millisecond)
}

func TestShouldHedge(t *testing.T) {
	const slow = 150 * time.Millisecond
	r, clock := newRetrier(4)
	call := lookup(clock.Now())
	hedge, reason := r.ShouldHedge(call, 1, slow)
	assert.Assert(t, hedge, reason)
	hedge, _ = r.ShouldHedge(call, 1, 10*time.Millisecond)
	assert.Assert(t, !hedge, "too early")
	hedge, _ = r.ShouldHedge(call, policy.MaxAttempts, slow)
	assert.Assert(t, !hedge, "no attempts left")
	booking := lookup(clock.Now())
	booking.NonIdempotent = true
	hedge, reason = r.ShouldHedge(booking, 1, slow)
	assert.Assert(t, !hedge)
	assert.Equal(t, reason, retry.ReasonMayHaveRun)
	for range 50 {
		r.RecordResult(call, "agent-1", false)
	}
	hedge, reason = r.ShouldHedge(call, 1, slow)
	assert.Assert(t, !hedge)
	assert.Equal(t, reason, retry.ReasonTargetUnhealthy)
}

func ExampleRetrier_AfterFailure() {
	clock := clockwork.NewFakeClock()
	r := retry.New(clock, rand.New(rand.NewPCG(1, 1)))
	call := lookup(clock.Now())
	r.RecordFirstAttempt(call)
	fmt.Println(r.AfterFailure(call, retry.Failure{Attempts: 1}).Reason)
	fmt.Println(r.AfterFailure(call, retry.Failure{Attempts: 3}).Reason)
	// Output:
	// Retry
	// NoAttemptsLeft
}
