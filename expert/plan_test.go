package expert_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
	"filberttrack.example/track/gauge"
)

var (
	small   = expert.Shape{Ranks: 8, Layers: 4, Experts: 64, Slots: 10}
	large   = expert.Shape{Ranks: 64, Layers: 60, Experts: 64, Slots: 3}
	eager   = track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.003}
	ample   = expert.Budget{Moves: 1 << 20, MovesPerRank: 1 << 20}
	weights = []track.ExpertPolicy{eager, {SkewWeight: 1, MoveWeight: 0.3}}
)

// randomLoads returns lognormal loads, and turns those of a former call by an
// angle: 0 changes nothing, a right angle changes everything.
func randomLoads(s expert.Shape, rng *rand.Rand) (at func(angle float64) expert.Loads) {
	a, b := expert.NewLoads(s), expert.NewLoads(s)
	for layer := range a {
		for e := range a[layer] {
			a[layer][e], b[layer][e] = rng.NormFloat64(), rng.NormFloat64()
		}
	}
	return func(angle float64) expert.Loads {
		out := expert.NewLoads(s)
		for layer := range out {
			for e := range out[layer] {
				z := math.Cos(angle)*a[layer][e] + math.Sin(angle)*b[layer][e]
				out[layer][e] = math.Round(10000 * math.Exp(0.7*z))
			}
		}
		return out
	}
}

func observe(t *testing.T, p *expert.Planner, loads expert.Loads, windows int) {
	t.Helper()
	for range windows {
		assert.NilError(t, p.Observe(loads))
	}
}

func TestPlanKeepsPlacementsValidWithinBudget(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, shape := range []expert.Shape{
		small,
		{Ranks: 16, Layers: 3, Experts: 64, Slots: 6},
		{Ranks: 64, Layers: 2, Experts: 64, Slots: 3},
		{Ranks: 4, Layers: 2, Experts: 8, Slots: 2},
		{Ranks: 3, Layers: 2, Experts: 4, Slots: 4},
	} {
		for _, policy := range weights {
			at := randomLoads(shape, rng)
			now := expert.Repack(shape, at(0))
			assert.NilError(t, now.Check())
			planner, err := expert.New(shape, policy)
			assert.NilError(t, err)
			budget := expert.Budget{Moves: 40, MovesPerRank: 2}
			for i := range 20 {
				observe(t, planner, at(float64(i)*0.3), 1)
				plan, err := planner.Plan(now, budget)
				assert.NilError(t, err)
				next := now.Apply(plan.Moves)
				assert.NilError(t, next.Check())
				assert.Assert(t, now.Fetches(next) <= budget.Moves)
				perRank := map[int]int{}
				for _, m := range plan.Moves {
					perRank[m.Rank]++
					assert.Assert(t, perRank[m.Rank] <= budget.MovesPerRank)
				}
				now = next
			}
		}
	}
}

func TestPlanEvensAJumpAtOnce(t *testing.T) {
	at := randomLoads(small, rand.New(rand.NewPCG(2, 1)))
	now := expert.Repack(small, at(0))
	planner, err := expert.New(small, eager)
	assert.NilError(t, err)
	observe(t, planner, at(0), 20)
	plan, err := planner.Plan(now, ample)
	assert.NilError(t, err)
	now = now.Apply(plan.Moves)

	jumped := at(1.3)
	before := now.Skew(jumped)
	observe(t, planner, jumped, 1)
	plan, err = planner.Plan(now, ample)
	assert.NilError(t, err)
	assert.Equal(t, plan.Reason, expert.ReasonJump)
	after := now.Apply(plan.Moves).Skew(jumped)
	assert.Assert(t, before > 1.3 && after < 1.10, "skew %v before, %v after", before, after)
	assert.Assert(t, math.Abs(plan.Expected-after) < 1e-6, "expected %v, was %v", plan.Expected, after)
}

func TestPlanDoesNotFlap(t *testing.T) {
	for _, policy := range weights {
		rng := rand.New(rand.NewPCG(3, 1))
		loads := randomLoads(small, rng)(0)
		now := expert.Repack(small, loads)
		planner, err := expert.New(small, policy)
		assert.NilError(t, err)
		moves := 0
		for window := range 200 {
			noisy := expert.NewLoads(small)
			for layer := range noisy {
				for e := range noisy[layer] {
					noisy[layer][e] = loads[layer][e] * math.Exp(0.1*rng.NormFloat64())
				}
			}
			observe(t, planner, noisy, 1)
			plan, err := planner.Plan(now, ample)
			assert.NilError(t, err)
			now = now.Apply(plan.Moves)
			if window >= 50 {
				moves += len(plan.Moves)
				assert.Assert(t, plan.Reason != expert.ReasonJump, "noise taken for a jump in window %d", window)
			}
		}
		// Under 1 in 100 slots for each window.
		assert.Assert(t, moves < 150*len(now.Layer(0))*small.Layers/100, "%d moves while nothing changed", moves)
	}
}

func TestPlanIsDeterministic(t *testing.T) {
	at := randomLoads(large, rand.New(rand.NewPCG(4, 1)))
	now := expert.Repack(large, at(0))
	var plans []expert.Plan
	for range 2 {
		planner, err := expert.New(large, eager)
		assert.NilError(t, err)
		observe(t, planner, at(0.5), 1)
		plan, err := planner.Plan(now, expert.Budget{Moves: 500, MovesPerRank: 20})
		assert.NilError(t, err)
		plans = append(plans, plan)
	}
	assert.Assert(t, len(plans[0].Moves) > 0 && plans[0].Deferred > 0)
	assert.DeepEqual(t, plans[0], plans[1])
}

func TestPlanReasons(t *testing.T) {
	at := randomLoads(small, rand.New(rand.NewPCG(5, 1)))
	now := expert.Repack(small, at(0))
	planner, err := expert.New(small, eager)
	assert.NilError(t, err)
	for _, test := range []struct {
		name   string
		counts expert.Loads
		budget expert.Budget
		want   expert.Reason
	}{
		{"no counts", expert.NewLoads(small), ample, expert.ReasonNoData},
		{"no budget", at(1.5), expert.Budget{}, expert.ReasonNoBudget},
		{"first counts", expert.NewLoads(small), ample, expert.ReasonJump},
	} {
		observe(t, planner, test.counts, 1)
		plan, err := planner.Plan(now, test.budget)
		assert.NilError(t, err)
		assert.Equal(t, plan.Reason, test.want, test.name)
	}
	assert.Assert(t, track.IsKind(planner.Observe(expert.Loads{}), expert.Invalid))
}

func TestLowerBoundHoldsForAnyPlacement(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 1))
	for range 50 {
		at := randomLoads(small, rng)
		// An expert that takes half of all tokens.
		loads := at(1)
		loads[0][0] = 64 * 10000
		bound := expert.LowerBound(small, loads)
		assert.Assert(t, bound >= 1)
		for _, p := range []expert.Placement{expert.Repack(small, loads), expert.Repack(small, at(0))} {
			assert.Assert(t, p.Skew(loads) >= bound-1e-9)
		}
	}
	// Two slots for two ranks: the hot expert can't be split.
	tight := expert.Shape{Ranks: 2, Layers: 1, Experts: 2, Slots: 1}
	assert.Equal(t, expert.LowerBound(tight, expert.Loads{{3, 1}}), 1.5)
}

func BenchmarkPlan(b *testing.B) {
	at := randomLoads(large, rand.New(rand.NewPCG(7, 1)))
	now := expert.Repack(large, at(0))
	jumped := at(1.3)
	before, err := gauge.ProcessorTime()
	assert.NilError(b, err)
	for b.Loop() {
		planner, err := expert.New(large, eager)
		assert.NilError(b, err)
		assert.NilError(b, planner.Observe(jumped))
		_, err = planner.Plan(now, ample)
		assert.NilError(b, err)
	}
	// On a shared machine the processor time says more than the time.
	after, err := gauge.ProcessorTime()
	assert.NilError(b, err)
	b.ReportMetric((after-before).Seconds()*1000/float64(b.N), "cpu-ms/op")
}
