package trace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/bench/trace"
)

func short() trace.Spec {
	spec := trace.Default()
	spec.Length = 20 * time.Second
	return spec
}

func TestSameTraceForAll(t *testing.T) {
	spec := short()
	for _, c := range trace.Contestants() {
		a, b := trace.Run(spec, c.Build), trace.Run(spec, c.Build)
		assert.Equal(t, a.String(), b.String(), "%s: the same seed gives the same figures", c.Name)
		assert.Equal(t, a.Finished, a.Requests, "%s: below capacity, all requests are answered", c.Name)
	}
}

// TestBeatsBaselines holds the router to what it is for, below capacity: no more
// late answers than the best baseline, and more of the prompts from caches.
func TestBeatsBaselines(t *testing.T) {
	reports := map[string]trace.Report{}
	for _, c := range trace.Contestants() {
		report := trace.Run(short(), c.Build)
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
