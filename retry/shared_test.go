package retry_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track/retry"
)

// TestEntriesTogetherKeepServiceLimit lets several entries under uneven load send all
// the retries that their budgets allow, and checks every window, wherever it begins.
func TestEntriesTogetherKeepServiceLimit(t *testing.T) {
	limit := retry.ServiceLimit{Share: 0.2, Slack: 88, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		entries := rapid.IntRange(1, 9).Draw(t, "entries")
		var budgets []*retry.ServiceBudget
		for range entries {
			budgets = append(budgets, retry.NewServiceBudget(limit, clock, func() int { return entries }))
		}
		const tick, ticks = 100 * time.Millisecond, 300
		requests, retries := make([]float64, ticks), make([]float64, ticks)
		for i := range ticks {
			for e, b := range budgets {
				for range rapid.IntRange(0, 3*e+1).Draw(t, "load") {
					b.RecordRequest()
					requests[i]++
				}
				for b.TryRetry() {
					retries[i]++
				}
			}
			clock.Advance(tick)
		}
		window := int(limit.Window / tick)
		for end := window; end <= ticks; end++ {
			sent, retried := sum(requests[end-window:end]), sum(retries[end-window:end])
			assert.Assert(t, retried <= limit.Share*sent+limit.Slack,
				"window up to tick %d: %v retries of %v requests", end, retried, sent)
		}
	})
}

func sum(counts []float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}

func TestSharedBudgetRecoversAfterWindow(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := retry.NewServiceBudget(retry.ServiceLimit{Slack: 10, Window: 10 * time.Second}, clock, func() int { return 1 })
	for b.TryRetry() {
		continue
	}
	assert.Assert(t, b.Remaining() < 1)
	clock.Advance(11 * time.Second)
	assert.Assert(t, b.Remaining() >= 1)
	assert.Assert(t, b.TryRetry())
}
