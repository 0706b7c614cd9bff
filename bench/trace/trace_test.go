package trace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/bench/trace"
)

func shortSpec() trace.Spec {
	spec := trace.Default()
	spec.Length = 20 * time.Second
	return spec
}

func TestRunsAreReproducible(t *testing.T) {
	spec := shortSpec()
	for _, c := range trace.RouterVariants() {
		a, b := trace.Run(spec, c.Build), trace.Run(spec, c.Build)
		assert.Equal(t, a.String(), b.String(), "%s: the same seed gives the same figures", c.Name)
		assert.Equal(t, a.Finished, a.Requests, "%s: below capacity, all requests are answered", c.Name)
	}
}

// TestBeatsBaselines checks that below capacity filberttrack's router has no more late
// answers than the best baseline, finds more prompt blocks in caches, and has no longer
// median time to the first token.
func TestBeatsBaselines(t *testing.T) {
	reports := map[string]trace.Report{}
	for _, c := range trace.RouterVariants() {
		report := trace.Run(shortSpec(), c.Build)
		t.Logf("%-18s %s", c.Name, report.String())
		reports[c.Name] = report
	}
	ours := reports["filberttrack"]
	for name, other := range reports {
		if name == "filberttrack" {
			continue
		}
		assert.Assert(t, ours.LateShare() <= other.LateShare(), name)
		assert.Assert(t, ours.HitShare() > other.HitShare(), name)
		assert.Assert(t, ours.FirstToken(50) <= other.FirstToken(50), name)
	}
}
