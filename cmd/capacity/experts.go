package main

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
)

// The shape of the rank groups. The number of layers and of redundant expert copies is assumed.
const (
	plannedRanks = 64
	todayRanks   = 8
	groupExperts = 64
	groupLayers  = 60
	expertCopies = 128
	windowTokens = 1e6
	// zipfExponent is the exponent of the Zipf distribution of the expert loads.
	zipfExponent = 1.1
)

func expertBenchmarks() []benchmark {
	rankCost := func(name, unit string) cost {
		return cost{name: name, unit: unit, today: todayRanks, planned: plannedRanks}
	}
	return []benchmark{{
		name: "agent that drives a group, expert map", variable: "ranks",
		sizes: []int{todayRanks, 16, 32, plannedRanks},
		costs: []cost{
			rankCost("plan after a jump", "processor us"), rankCost("plan in a quiet window", "processor us"),
			rankCost("map", "bytes of JSON"),
		},
		measure: measurePlanner,
	}}
}

// measurePlanner measures the plans for a group before and after its popular experts change, and
// the size of the expert map.
func measurePlanner(_ context.Context, ranks int) ([]float64, error) {
	shape := expert.Shape{Ranks: ranks, Layers: groupLayers, Experts: groupExperts, Slots: expertCopies / ranks}
	planner, err := expert.New(shape, track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.1})
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(7, uint64(ranks)))
	before, after := zipfLoads(shape, rng), zipfLoads(shape, rng)
	placement := expert.Repack(shape, before)
	budget := expert.Budget{Moves: math.MaxInt32, MovesPerRank: math.MaxInt32}
	plan := func(loads expert.Loads) (float64, error) {
		return cpuMicros(func() error {
			if err := planner.Observe(loads); err != nil {
				return err
			}
			plan, err := planner.Plan(placement, budget)
			placement = placement.Apply(plan.Moves)
			return err
		})
	}
	quiet := 0.0
	for range averagedRounds {
		if quiet, err = plan(before); err != nil {
			return nil, err
		}
	}
	jump, err := plan(after)
	if err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(placement.Map())
	return []float64{jump, quiet, float64(len(encoded))}, err
}

// zipfLoads returns loads that follow a Zipf distribution over the experts of each layer, in a
// random order of popularity.
func zipfLoads(shape expert.Shape, rng *rand.Rand) expert.Loads {
	loads := expert.NewLoads(shape)
	for _, layer := range loads {
		for rank, e := range rng.Perm(shape.Experts) {
			layer[e] = windowTokens / math.Pow(float64(rank+1), zipfExponent)
		}
	}
	return loads
}
