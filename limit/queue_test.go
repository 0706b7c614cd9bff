package limit_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track/limit"
)

func push(q *limit.Queue[int], account string, weight float64, level, n int) {
	for range n {
		q.Push(&limit.Item[int]{Account: account, Weight: weight, Level: level, Cost: 1})
	}
}

func TestQueueSharesByWeight(t *testing.T) {
	q := limit.NewQueue[int]()
	push(q, "greedy", 1, 0, 1000)
	push(q, "double", 2, 0, 200)
	push(q, "small", 1, 0, 50)
	served := map[string]int{}
	for range 100 {
		served[q.Pop().Account]++
	}
	assert.DeepEqual(t, served, map[string]int{"greedy": 25, "double": 50, "small": 25})
}

func TestQueueLevels(t *testing.T) {
	q := limit.NewQueue[int]()
	push(q, "a", 1, 0, 100)
	push(q, "b", 1, 3, 100)
	served := map[int]int{}
	for range 50 {
		served[q.Pop().Level]++
	}
	assert.DeepEqual(t, served, map[int]int{3: 45, 0: 5})
}

func TestShedRefundsTheAccount(t *testing.T) {
	q := limit.NewQueue[int]()
	push(q, "a", 1, 0, 10)
	shed := q.Shed(func(_ *limit.Item[int], ahead int) bool { return true })
	assert.Equal(t, len(shed), 10)
	push(q, "a", 1, 0, 1)
	push(q, "b", 1, 0, 1)
	assert.Equal(t, q.Pop().Account, "a", "what was never served doesn't count against the account")
}

func TestShedCountsOnlyThoseWhoStay(t *testing.T) {
	q := limit.NewQueue[int]()
	push(q, "a", 1, 0, 10)
	push(q, "b", 1, 0, 10)
	shed := q.Shed(func(item *limit.Item[int], ahead int) bool { return item.Account == "b" || ahead >= 4 })
	assert.Equal(t, len(shed), 16)
	assert.Equal(t, q.Len(), 4)
}

// TestQueueKeepsAll has random requests come, go and be served: each leaves
// once, and no lower level goes before a higher one but for its tenth.
func TestQueueKeepsAll(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := limit.NewQueue[int]()
		in, out := 0, 0
		var waiting []*limit.Item[int]
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				item := &limit.Item[int]{
					Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "account"),
					Weight:  rapid.Float64Range(-1, 4).Draw(rt, "weight"),
					Level:   rapid.IntRange(0, 5).Draw(rt, "level"), Cost: 1,
				}
				q.Push(item)
				waiting = append(waiting, item)
				in++
			case 2:
				if q.Pop() != nil {
					out++
				}
			case 3:
				if len(waiting) > 0 && q.Remove(rapid.SampledFrom(waiting).Draw(rt, "gone")) {
					out++
				}
			}
			assert.Equal(rt, q.Len(), in-out)
		}
	})
}
