package permit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/permit"
)

// use takes all permits that the share has now.
func use(s *permit.Schedule, share permit.Share, now time.Time) int {
	n := 0
	for s.Available(share, now) {
		s.Use()
		n++
	}
	return n
}

// shares divides the unit interval by weights.
func shares(weights []float64) []permit.Share {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	var all []permit.Share
	from := 0.0
	for _, w := range weights {
		all = append(all, permit.Share{From: from, Width: w / sum})
		from += w / sum
	}
	return all
}

// In any 4 s the entries together use no more than the rule allows, however unequal their shares are, however many they
// are, and although their clocks differ.
func TestEntriesTogetherKeepToTheLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, entries := range []int{1, 6, 98} {
		for _, limit := range []float64{0.2, 1, 2.7, 30} {
			for _, skew := range []time.Duration{0, 2 * time.Second} {
				weights := make([]float64, entries)
				clocks := make([]time.Duration, entries)
				schedules := make([]*permit.Schedule, entries)
				start := time.Unix(1_790_000_000, 0)
				for i := range weights {
					weights[i] = 0.2 + rng.ExpFloat64()
					clocks[i] = time.Duration(rng.Float64() * float64(skew))
					schedules[i] = permit.New(track.ReplicaID("i-1"))
					schedules[i].SetLimit(limit, start.Add(clocks[i]))
				}
				all := shares(weights)
				var perStep []int
				used := 0
				const step = 50 * time.Millisecond
				for now := start; now.Sub(start) < time.Minute; now = now.Add(step) {
					n := 0
					for i, s := range schedules {
						// Entries are idle at times and then use all that they may.
						if rng.Float64() < 0.2 {
							n += use(s, all[i], now.Add(clocks[i]))
						}
					}
					used += n
					perStep = append(perStep, n)
				}
				name := fmt.Sprintf("%d entries, limit %g, clocks up to %s apart", entries, limit, skew)
				for i := range perStep {
					sum := 0
					for _, n := range perStep[i:min(i+int(4*time.Second/step), len(perStep))] {
						sum += n
					}
					assert.Assert(t, float64(sum) <= 6*limit+5, "%s: %d in 4 s", name, sum)
				}
				assert.Assert(t, float64(used) >= 0.8*limit*60-2, "%s: only %d used in a minute", name, used)
			}
		}
	}
}

// An entry with a small share gets its permits at even distances.
func TestPermitsOfOneEntryAreEvenlySpaced(t *testing.T) {
	s := permit.New("i-1")
	start := time.Unix(1_790_000_000, 0)
	s.SetLimit(10, start)
	share := permit.Share{From: 0.37, Width: 0.05}
	last, longest := start, time.Duration(0)
	n := 0
	for now := start; now.Sub(start) < time.Minute; now = now.Add(20 * time.Millisecond) {
		if k := use(s, share, now); k > 0 {
			longest, last, n = max(longest, now.Sub(last)), now, n+k
		}
	}
	assert.Assert(t, math.Abs(float64(n)-30) <= 2, "%d permits in a minute", n)
	assert.Assert(t, longest < 5*time.Second, "%s between two permits, 2 s on average", longest)
}

func TestPermitsAreNotSavedUp(t *testing.T) {
	s := permit.New("i-1")
	start := time.Unix(1_790_000_000, 0)
	whole := permit.Share{Width: 1}
	assert.Assert(t, s.Available(whole, start), "without a limit no permit is needed")
	s.SetLimit(4, start)
	assert.Equal(t, use(s, whole, start), 0, "earlier permits are lost")
	assert.Equal(t, use(s, whole, start.Add(time.Minute)), 5)
	assert.Equal(t, use(s, whole, start.Add(time.Minute+500*time.Millisecond)), 2)
	// The clock is set back by an hour.
	back := start.Add(-time.Hour)
	assert.Equal(t, use(s, whole, back), 0)
	assert.Equal(t, use(s, whole, back.Add(time.Second)), 4)
	assert.Equal(t, use(s, permit.Share{From: 0.5}, back.Add(time.Minute)), 0, "an empty share has no permits")
}
