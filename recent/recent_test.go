package recent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track/recent"
)

func TestEventsAreCountedForOneToTwoPeriods(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := recent.New[string](clock, time.Minute, 2)
	clock.Advance(50 * time.Second)
	c.Add("a")
	c.Add("a")
	first := clock.Now()
	clock.Advance(time.Minute)
	assert.Equal(t, c.Count("a"), 2)
	assert.Equal(t, c.Last("a"), first)
	c.Add("a")
	assert.Equal(t, c.Count("a"), 3)
	assert.Equal(t, c.Last("a"), clock.Now())
	clock.Advance(time.Minute)
	assert.Equal(t, c.Count("a"), 1, "the first two are older than a period")
	clock.Advance(2 * time.Minute)
	assert.Equal(t, c.Count("a"), 0)
	assert.Assert(t, c.Last("a").IsZero())
}

func TestNumberOfKeysIsBounded(t *testing.T) {
	c := recent.New[string](clockwork.NewFakeClock(), time.Minute, 2)
	for _, key := range []string{"a", "b", "c", "a"} {
		c.Add(key)
	}
	assert.Equal(t, c.Count("a"), 2)
	assert.Equal(t, c.Count("c"), 0)
}

func Example() {
	clock := clockwork.NewFakeClock()
	c := recent.New[string](clock, time.Minute, 100)
	c.Add("mill nine")
	fmt.Println(c.Count("mill nine"))
	clock.Advance(3 * time.Minute)
	fmt.Println(c.Count("mill nine"))
	// Output:
	// 1
	// 0
}
