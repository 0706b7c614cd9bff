package swap_test

import (
	"context"
	"fmt"

	"filberttrack.example/track"
	"filberttrack.example/track/stand/ranks"
	"filberttrack.example/track/swap"
)

func ExampleCoordinator() {
	base := track.ExpertMap{Experts: 2, Slots: 1, Layers: [][]int32{{0, 1}}}
	group := ranks.New(ranks.Settings{Ranks: 2, Map: base})
	members := map[track.RankID]*swap.Member{}
	var ids []track.RankID
	for i := range 2 {
		id := track.RankID{Agent: "agent-1", Rank: i}
		ids = append(ids, id)
		members[id] = swap.NewMember(id, 1, group.Rank(i))
	}
	change := track.MapChange{Slots: []track.SlotChange{{Slot: 0, Expert: 1}, {Slot: 1, Expert: 0}}}
	coordinator, orders := swap.NewCoordinator(track.Ballot{Number: 1, Driver: "agent-1"}, ids, swap.Plan{Change: &change})
	for len(orders) > 0 {
		reply, err := members[orders[0].To].Order(context.Background(), orders[0])
		if err != nil {
			fmt.Println(err)
			return
		}
		orders = append(orders[1:], coordinator.Handle(reply)...)
	}
	result, _ := coordinator.Result()
	fmt.Println(result.Outcome, "at step", result.Switch.Step)
	// Output: Switched at step 9
}
