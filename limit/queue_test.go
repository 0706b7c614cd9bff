package limit_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track/limit"
)

// pushItems adds n requests of one account at one level, each with a cost of 1.
func pushItems(q *limit.Queue[int], account string, weight float64, level, n int) {
	for range n {
		q.Push(&limit.Item[int]{Account: account, Weight: weight, Priority: level, Cost: 1})
	}
}

func TestQueueSharesByWeight(t *testing.T) {
	q := limit.NewQueue[int]()
	pushItems(q, "greedy", 1, 0, 1000)
	pushItems(q, "double", 2, 0, 200)
	pushItems(q, "small", 1, 0, 50)
	served := map[string]int{}
	for range 100 {
		served[q.Pop().Account]++
	}
	assert.DeepEqual(t, served, map[string]int{"greedy": 25, "double": 50, "small": 25})
}

func TestQueueServesLowestLevelEveryTenthPop(t *testing.T) {
	q := limit.NewQueue[int]()
	pushItems(q, "a", 1, 0, 100)
	pushItems(q, "b", 1, 3, 100)
	served := map[int]int{}
	for range 50 {
		served[q.Pop().Priority]++
	}
	assert.DeepEqual(t, served, map[int]int{3: 45, 0: 5})
}

func TestShedRefundsAccount(t *testing.T) {
	q := limit.NewQueue[int]()
	pushItems(q, "a", 1, 0, 10)
	shed := q.Shed(func(_ *limit.Item[int], ahead int) bool { return true })
	assert.Equal(t, len(shed), 10)
	pushItems(q, "a", 1, 0, 1)
	pushItems(q, "b", 1, 0, 1)
	assert.Equal(t, q.Pop().Account, "a", "requests that were never served must not be charged to the account")
}

func TestShedCountsOnlyKeptRequests(t *testing.T) {
	q := limit.NewQueue[int]()
	pushItems(q, "a", 1, 0, 10)
	pushItems(q, "b", 1, 0, 10)
	shed := q.Shed(func(item *limit.Item[int], ahead int) bool { return item.Account == "b" || ahead >= 4 })
	assert.Equal(t, len(shed), 16)
	assert.Equal(t, q.Len(), 4)
}

// TestQueueLosesNoRequest pushes, pops and removes random requests. It checks after each
// step that the queue holds as many requests as were pushed and not yet taken out, so that
// each leaves the queue exactly once.
func TestQueueLosesNoRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := limit.NewQueue[int]()
		pushed, taken := 0, 0
		var all []*limit.Item[int]
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				item := &limit.Item[int]{
					Account:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "account"),
					Weight:   rapid.Float64Range(-1, 4).Draw(rt, "weight"),
					Priority: rapid.IntRange(0, 5).Draw(rt, "level"), Cost: 1,
				}
				q.Push(item)
				all = append(all, item)
				pushed++
			case 2:
				if q.Pop() != nil {
					taken++
				}
			case 3:
				if len(all) > 0 && q.Remove(rapid.SampledFrom(all).Draw(rt, "gone")) {
					taken++
				}
			}
			assert.Equal(rt, q.Len(), pushed-taken)
		}
	})
}
