package retry_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track/retry"
)

// TestEntriesTogetherKeepTheLimit lets several entries repeat whatever their budgets
// allow, with uneven load, and looks at windows wherever they begin.
func TestEntriesTogetherKeepTheLimit(t *testing.T) {
	limit := retry.SharedLimit{Share: 0.2, Slack: 88, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		entries := rapid.IntRange(1, 9).Draw(t, "entries")
		var budgets []*retry.Shared
		for range entries {
			budgets = append(budgets, retry.NewShared(limit, clock, func() int { return entries }))
		}
		const tick, ticks = 100 * time.Millisecond, 300
		requests, repeats := make([]float64, ticks), make([]float64, ticks)
		for i := range ticks {
			for e, b := range budgets {
				for range rapid.IntRange(0, 3*e+1).Draw(t, "load") {
					b.Request()
					requests[i]++
				}
				for b.Repeat() {
					repeats[i]++
				}
			}
			clock.Advance(tick)
		}
		window := int(limit.Window / tick)
		for end := window; end <= ticks; end++ {
			asked, again := sum(requests[end-window:end]), sum(repeats[end-window:end])
			assert.Assert(t, again <= limit.Share*asked+limit.Slack, "window up to tick %d: %v repeats of %v requests", end, again, asked)
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

func TestTheBudgetComesBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := retry.NewShared(retry.SharedLimit{Slack: 10, Window: 10 * time.Second}, clock, func() int { return 1 })
	for b.Repeat() {
		continue
	}
	assert.Assert(t, b.Left() < 1)
	clock.Advance(11 * time.Second)
	assert.Assert(t, b.Left() >= 1)
	assert.Assert(t, b.Repeat())
}
