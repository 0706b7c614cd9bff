package expert_test

import (
	"fmt"

	"filberttrack.example/track"
	"filberttrack.example/track/expert"
)

func ExamplePlanner() {
	// Two ranks with three slots each hold four experts, so two slots are spare.
	shape := expert.Shape{Ranks: 2, Layers: 1, Experts: 4, Slots: 3}
	placement := expert.Uniform(shape)
	planner, err := expert.New(shape, track.ExpertPolicy{SkewWeight: 1, MoveWeight: 0.01})
	if err != nil {
		fmt.Println(err)
		return
	}
	// The last expert is hot and has one copy only.
	if err := planner.Observe(expert.Loads{{100, 100, 100, 500}}); err != nil {
		fmt.Println(err)
		return
	}
	plan, err := planner.Plan(placement, expert.Budget{Moves: 10, MovesPerRank: 10})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s: skew %.3f, %.3f after %d move\n", plan.Reason, plan.Skew, plan.ExpectedSkew, len(plan.Moves))
	// Output: Jump: skew 1.500, 1.000 after 1 move
}
