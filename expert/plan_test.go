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
	smallShape  = expert.Shape{Ranks: 8, Layers: 4, Experts: 64, Slots: 10}
	largeShape  = expert.Shape{Ranks: 64, Layers: 60, Experts: 64, Slots: 3}
	lowMoveCost = track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.003}
	unlimited   = expert.Budget{Moves: 1 << 20, MovesPerRank: 1 << 20}
	policies    = []track.ExpertPolicy{lowMoveCost, {SkewWeight: 1, MoveWeight: 0.3}}
)

// randomLoads returns a function that gives lognormal loads for an angle in radians.
// The loads for angle 0 and for a right angle are independent; angles in between
// interpolate, so that close angles have similar loads.
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

func TestPlanIsValidAndWithinBudget(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, shape := range []expert.Shape{
		smallShape,
		{Ranks: 16, Layers: 3, Experts: 64, Slots: 6},
		{Ranks: 64, Layers: 2, Experts: 64, Slots: 3},
		{Ranks: 4, Layers: 2, Experts: 8, Slots: 2},
		{Ranks: 3, Layers: 2, Experts: 4, Slots: 4},
	} {
		for _, policy := range policies {
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
				assert.Assert(t, now.CountFetches(next) <= budget.Moves)
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

func TestPlanReducesSkewAfterJump(t *testing.T) {
	at := randomLoads(smallShape, rand.New(rand.NewPCG(2, 1)))
	now := expert.Repack(smallShape, at(0))
	planner, err := expert.New(smallShape, lowMoveCost)
	assert.NilError(t, err)
	observe(t, planner, at(0), 20)
	plan, err := planner.Plan(now, unlimited)
	assert.NilError(t, err)
	now = now.Apply(plan.Moves)

	jumped := at(1.3)
	before := now.Skew(jumped)
	observe(t, planner, jumped, 1)
	plan, err = planner.Plan(now, unlimited)
	assert.NilError(t, err)
	assert.Equal(t, plan.Reason, expert.ReasonJump)
	after := now.Apply(plan.Moves).Skew(jumped)
	assert.Assert(t, before > 1.3 && after < 1.10, "skew %v before the moves, %v after", before, after)
	assert.Assert(t, math.Abs(plan.ExpectedSkew-after) < 1e-6, "expected skew %v, got %v", plan.ExpectedSkew, after)
}

func TestPlanIsStableUnderNoise(t *testing.T) {
	for _, policy := range policies {
		rng := rand.New(rand.NewPCG(3, 1))
		loads := randomLoads(smallShape, rng)(0)
		now := expert.Repack(smallShape, loads)
		planner, err := expert.New(smallShape, policy)
		assert.NilError(t, err)
		moves := 0
		for window := range 200 {
			noisy := expert.NewLoads(smallShape)
			for layer := range noisy {
				for e := range noisy[layer] {
					noisy[layer][e] = loads[layer][e] * math.Exp(0.1*rng.NormFloat64())
				}
			}
			observe(t, planner, noisy, 1)
			plan, err := planner.Plan(now, unlimited)
			assert.NilError(t, err)
			now = now.Apply(plan.Moves)
			if window >= 50 {
				moves += len(plan.Moves)
				assert.Assert(t, plan.Reason != expert.ReasonJump, "noise was detected as a jump in window %d", window)
			}
		}
		// Less than one move for 100 slots in each window.
		assert.Assert(t, moves < 150*len(now.Layer(0))*smallShape.Layers/100,
			"%d moves although only noise changed the counts", moves)
	}
}

func TestPlanIsDeterministic(t *testing.T) {
	at := randomLoads(largeShape, rand.New(rand.NewPCG(4, 1)))
	now := expert.Repack(largeShape, at(0))
	var plans []expert.Plan
	for range 2 {
		planner, err := expert.New(largeShape, lowMoveCost)
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
	at := randomLoads(smallShape, rand.New(rand.NewPCG(5, 1)))
	now := expert.Repack(smallShape, at(0))
	planner, err := expert.New(smallShape, lowMoveCost)
	assert.NilError(t, err)
	for _, test := range []struct {
		name   string
		counts expert.Loads
		budget expert.Budget
		want   expert.Reason
	}{
		{"no counts", expert.NewLoads(smallShape), unlimited, expert.ReasonNoData},
		{"no budget", at(1.5), expert.Budget{}, expert.ReasonNoBudget},
		{"first counts", expert.NewLoads(smallShape), unlimited, expert.ReasonJump},
	} {
		observe(t, planner, test.counts, 1)
		plan, err := planner.Plan(now, test.budget)
		assert.NilError(t, err)
		assert.Equal(t, plan.Reason, test.want, test.name)
	}
	assert.Assert(t, track.IsKind(planner.Observe(expert.Loads{}), expert.Invalid))
}

func TestSkewIsNeverBelowLowerBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 1))
	for range 50 {
		at := randomLoads(smallShape, rng)
		// One expert takes about half of the tokens of the first layer.
		loads := at(1)
		loads[0][0] = 64 * 10000
		bound := expert.LowerBound(smallShape, loads)
		assert.Assert(t, bound >= 1)
		for _, p := range []expert.Placement{expert.Repack(smallShape, loads), expert.Repack(smallShape, at(0))} {
			assert.Assert(t, p.Skew(loads) >= bound-1e-9)
		}
	}
	// With two slots for two experts, the hot expert can't have a second copy.
	tight := expert.Shape{Ranks: 2, Layers: 1, Experts: 2, Slots: 1}
	assert.Equal(t, expert.LowerBound(tight, expert.Loads{{3, 1}}), 1.5)
}

func BenchmarkPlan(b *testing.B) {
	at := randomLoads(largeShape, rand.New(rand.NewPCG(7, 1)))
	now := expert.Repack(largeShape, at(0))
	jumped := at(1.3)
	before, err := gauge.CPUTime()
	assert.NilError(b, err)
	for b.Loop() {
		planner, err := expert.New(largeShape, lowMoveCost)
		assert.NilError(b, err)
		assert.NilError(b, planner.Observe(jumped))
		_, err = planner.Plan(now, unlimited)
		assert.NilError(b, err)
	}
	// On a shared machine, processor time is more reliable than elapsed time.
	after, err := gauge.CPUTime()
	assert.NilError(b, err)
	b.ReportMetric((after-before).Seconds()*1000/float64(b.N), "cpu-ms/op")
}
