package heads_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/heads"
)

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		status int
		valid  bool
	}{
		{-1, false},
		{0, false},
		{20, false},
		{99, false},
		{100, false},
		{101, false},
		{199, false},
		{200, true},
		{299, true},
		{421, true},
		{499, true},
		{599, true},
		{600, false},
		{999, false},
	} {
		err := heads.Check(c.status)
		assert.Equal(t, err == nil, c.valid, "%d: %v", c.status, err)
		assert.Equal(t, track.IsKind(err, heads.InvalidStatus), !c.valid)
	}
}
