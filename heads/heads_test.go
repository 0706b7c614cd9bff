package heads_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/heads"
)

func TestCheckStatus(t *testing.T) {
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
		err := heads.Check(c.status, nil)
		assert.Equal(t, err == nil, c.valid, "%d: %v", c.status, err)
		assert.Equal(t, track.IsKind(err, heads.InvalidStatus), !c.valid)
	}
}

func TestCheckFields(t *testing.T) {
	for _, c := range []struct {
		name  string
		valid bool
	}{
		{"X-Note", true},
		{"x-note", true},
		{"!#$%&'*+-.^_`|~09", true},
		{"", false},
		{" ", false},
		{"X Note", false},
		{" X-Note", false},
		{"X-Note ", false},
		{"X-Note\t", false},
		{"X-Note\x00", false},
		{"X-Note\x7f", false},
		{"X-Note:", false},
		{"X-Nöte", false},
	} {
		err := heads.Check(http.StatusOK, http.Header{"Content-Length": {"2"}, c.name: {"a"}})
		assert.Equal(t, err == nil, c.valid, "%q: %v", c.name, err)
		assert.Equal(t, track.IsKind(err, heads.InvalidField), !c.valid)
	}
}
