package retry_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track/retry"
)

// Guards against a hedge that one of the rules forbids: each case breaks one rule.
func TestDecideHedge(t *testing.T) {
	slow := retry.SlowAttempt{
		Enabled: true, Repeatable: true, Waited: 300 * time.Millisecond, After: 200 * time.Millisecond,
		Attempts: 1, MaxAttempts: 2,
	}
	assert.Equal(t, retry.DecideHedge(slow), retry.ReasonHedge)
	for reason, change := range map[retry.Reason]func(*retry.SlowAttempt){
		retry.ReasonHedgingOff:      func(a *retry.SlowAttempt) { a.Enabled = false },
		retry.ReasonMayHaveRun:      func(a *retry.SlowAttempt) { a.Repeatable = false },
		retry.ReasonHedgedBefore:    func(a *retry.SlowAttempt) { a.Hedged = true },
		retry.ReasonTooFewSamples:   func(a *retry.SlowAttempt) { a.After = 0 },
		retry.ReasonTooEarly:        func(a *retry.SlowAttempt) { a.Waited = a.After - 1 },
		retry.ReasonNoAttemptsLeft:  func(a *retry.SlowAttempt) { a.MaxAttempts = 1 },
		retry.ReasonNoTimeLeft:      func(a *retry.SlowAttempt) { a.OutOfTime = true },
		retry.ReasonMayCrash:        func(a *retry.SlowAttempt) { a.MayCrash = true },
		retry.ReasonTargetUnhealthy: func(a *retry.SlowAttempt) { a.Unhealthy = true },
		retry.ReasonNoShareLeft:     func(a *retry.SlowAttempt) { a.NoShareLeft = true },
		retry.ReasonNoBudgetLeft:    func(a *retry.SlowAttempt) { a.NoBudgetLeft = true },
	} {
		a := slow
		change(&a)
		assert.Equal(t, retry.DecideHedge(a), reason)
	}
}

// Guards against hedges that multiply the load of a service whose replicas are all slow, while its entries can't hear
// each other and each one takes itself for one of fewer entries. Every request asks for a hedge.
func TestEntriesApartKeepTheShareOfHedges(t *testing.T) {
	const (
		tick   = 100 * time.Millisecond
		ticks  = 400
		window = 100
	)
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.001, retry.MaxHedgeShare).Draw(t, "share")
		entries := rapid.IntRange(1, 9).Draw(t, "entries")
		clock := clockwork.NewFakeClock()
		limit := retry.ServiceLimit{Share: 0.2, Slack: 88, Window: 10 * time.Second}
		total, totalHedges := make([]float64, ticks), make([]float64, ticks)
		requests, hedges := make([][]float64, entries), make([][]float64, entries)
		var shares, budgets []*retry.ServiceBudget
		for e := range entries {
			heard := rapid.IntRange(1, entries).Draw(t, "heard")
			shares = append(shares, retry.NewHedgeShare(share, clock))
			budgets = append(budgets, retry.NewServiceBudget(limit, clock, func() int { return heard }))
			requests[e], hedges[e] = make([]float64, ticks), make([]float64, ticks)
		}
		for i := range ticks {
			for e := range entries {
				for range rapid.IntRange(0, 3*e+1).Draw(t, "load") {
					shares[e].RecordRequest()
					budgets[e].RecordRequest()
					requests[e][i]++
					total[i]++
					if shares[e].TryRetry() && budgets[e].TryRetry() {
						hedges[e][i]++
						totalHedges[i]++
						from := max(i+1-window, 0)
						sent, allowed := sum(hedges[e][from:i+1]), share*sum(requests[e][from:i+1])
						assert.Assert(t, sent <= allowed+1e-9, "entry %d, tick %d: %v hedges, %v allowed", e, i, sent, allowed)
					}
				}
			}
			clock.Advance(tick)
		}
		for end := window; end <= ticks; end++ {
			// An entry's hedges belong to requests of the 10 s before them.
			sent, allowed := sum(totalHedges[end-window:end]), share*sum(total[max(end-2*window, 0):end])
			assert.Assert(t, sent <= allowed+1e-9, "window up to tick %d: %v hedges, %v allowed", end, sent, allowed)
		}
	})
}

// Guards against a share that stays used up after its window.
func TestShareOfHedgesRecovers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	share := retry.NewHedgeShare(0.1, clock)
	for range 25 {
		share.RecordRequest()
	}
	assert.Assert(t, share.TryRetry())
	assert.Assert(t, share.TryRetry())
	assert.Assert(t, !share.TryRetry(), "25 requests allow two hedges")
	clock.Advance(11 * time.Second)
	assert.Assert(t, !share.TryRetry(), "requests of the window before allow no hedge")
	for range 11 {
		share.RecordRequest()
	}
	assert.Assert(t, share.TryRetry())
}
