package prefix_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/prefix"
)

func TestHashesOfCommonPrefixAreEqual(t *testing.T) {
	first := []prefix.Message{
		{Role: "system", Content: strings.Repeat("yard rules ", 60)},
		{Role: "user", Content: "Where is bale 7?"},
	}
	second := append(first[:1:1], prefix.Message{Role: "user", Content: strings.Repeat("Where is bale 8? ", 40)})
	a := prefix.BlockHashes(prefix.PromptText(first), 100)
	b := prefix.BlockHashes(prefix.PromptText(second), 100)
	assert.Equal(t, len(a), 2)
	assert.Assert(t, len(b) > 3)
	assert.DeepEqual(t, a, b[:2])

	changed := []prefix.Message{{Role: "system", Content: "X" + first[0].Content[1:]}, first[1]}
	c := prefix.BlockHashes(prefix.PromptText(changed), 100)
	assert.Assert(t, a[0] != c[0])
	assert.Assert(t, a[1] != c[1], "the hash of a block depends on the blocks before it")
	assert.Equal(t, len(prefix.BlockHashes(prefix.PromptText(second), 1)), 1)
}
