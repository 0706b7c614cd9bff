package ranks_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/stand/ranks"
)

const unitTime = 50 * time.Millisecond

// stepTime returns the step time of a rank: 1 ms times its index for attention, and
// the time for its expert.
func stepTime(rank int, m track.ExpertMap) time.Duration {
	attention := time.Duration(rank) * time.Millisecond
	return attention + unitTime*time.Duration(1+m.Layers[0][rank])
}

func newGroup(checksFences bool) *ranks.Group {
	return ranks.New(ranks.Settings{
		Ranks: 2, Map: track.ExpertMap{Experts: 2, Slots: 1, Layers: [][]int32{{1, 0}}},
		ChecksFences: checksFences, FetchSteps: 3, FetchSlowdown: 1.5, StepTime: stepTime,
	})
}

func TestStepTakesAsLongAsTheSlowestRank(t *testing.T) {
	g := newGroup(false)
	assert.Assert(t, g.Step())
	assert.Equal(t, g.Elapsed(), 2*unitTime)

	// Rank 0 fetches weights for three steps, which slows down the whole group.
	next := track.ExpertMap{Version: track.Ballot{Number: 1}, Layers: [][]int32{{1, 0}}}
	assert.NilError(t, g.Rank(0).Prepare(context.Background(), 1, next))
	for range 4 {
		assert.Assert(t, g.Step())
	}
	fetchSteps := 3 * 2 * unitTime
	assert.Equal(t, g.Elapsed(), 2*2*unitTime+fetchSteps+fetchSteps/2)
}

func TestPausedRankStopsTheGroup(t *testing.T) {
	g := newGroup(false)
	g.Rank(0).SetPaused(true)
	for range 2 {
		assert.Assert(t, !g.Step())
	}
	g.Rank(0).SetPaused(false)
	assert.Assert(t, g.Step())
}

func TestFencingTokensAreCheckedOnlyIfEnabled(t *testing.T) {
	next := track.ExpertMap{Version: track.Ballot{Number: 1}}
	for _, checks := range []bool{true, false} {
		rank := newGroup(checks).Rank(0)
		assert.NilError(t, rank.Prepare(context.Background(), 5, next))
		err := rank.Prepare(context.Background(), 4, next)
		assert.Equal(t, track.IsKind(err, track.Refused), checks)
	}
}

func TestDifferentMapsInTheSameStepAreReported(t *testing.T) {
	g := newGroup(false)
	g.Rank(1).Restart()
	state, err := g.Rank(1).State(context.Background(), true)
	assert.NilError(t, err)
	state.Map = track.ExpertMap{Version: track.Ballot{Number: 7}, Layers: [][]int32{{0, 1}}}
	assert.NilError(t, g.Rank(1).Restore(context.Background(), 1, state))
	g.Step()
	assert.ErrorContains(t, g.MapMismatch(), "step 1")
}
