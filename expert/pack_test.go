package expert_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track/expert"
)

func TestPackKeepsCountsWithinFivePercent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := rapid.SliceOf(rapid.Float64Range(0, 1e9)).Draw(t, "counts")
		for i, n := range expert.UnpackCounts(expert.PackCounts(counts)) {
			// The error of small counts may exceed 5%, but is less than one.
			assert.Assert(t, n >= 0.95*counts[i]-1 && n <= 1.05*counts[i]+1, "%v became %v", counts[i], n)
		}
	})
}
