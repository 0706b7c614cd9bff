package story_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"filberttrack.example/track"
	"filberttrack.example/track/story"
)

// readTestLog reads the log of a run in which the instance of an agent froze.
func readTestLog(t testing.TB) []story.Line {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", "processes.log"))
	assert.NilError(t, err)
	defer file.Close()
	lines, err := story.Read(file)
	assert.NilError(t, err)
	return lines
}

func TestForRequestReturnsRelatedLines(t *testing.T) {
	lines := readTestLog(t)
	for name, id := range map[string]string{
		"refused": "bf8c03b403f321f3",
		"unknown": "3f809bf51b2590d5",
		"late":    "5dd51f186773ae91",
	} {
		t.Run(name, func(t *testing.T) {
			related, err := story.ForRequest(id, lines)
			assert.NilError(t, err)
			var out strings.Builder
			for i, l := range related {
				assert.Assert(t, i == 0 || !l.Time.Before(related[i-1].Time), "lines are not sorted by time")
				fmt.Fprintln(&out, l)
			}
			golden.Assert(t, out.String(), name+".golden")
		})
	}
}

func TestForRequestWithUnknownRequest(t *testing.T) {
	_, err := story.ForRequest("nobody", readTestLog(t))
	assert.Assert(t, track.IsKind(err, story.Unknown))
	assert.ErrorContains(t, err, `no log line has request ID "nobody"`)
}

func TestReadLimitsLineLength(t *testing.T) {
	_, err := story.Read(strings.NewReader(strings.Repeat("x", 2<<20)))
	assert.Assert(t, track.IsKind(err, story.Unreadable))
}

// Guards against fingerprints that are rounded, so that they match nothing in other logs or in the list for operators.
func TestLargeNumbersAreExact(t *testing.T) {
	lines, err := story.Read(strings.NewReader(
		`{"Time":"2026-12-04T15:30:01Z","Message":"attempt broke off","RequestID":"r-1","Fingerprint":8325481451104350396,"TookMs":12}`))
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(lines[0].Fields["Fingerprint"]), "8325481451104350396")
}
