package expert_test

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	given := slices.ContainsFunc(os.Args, func(arg string) bool { return strings.HasPrefix(arg, "-rapid.seed") })
	if !given {
		os.Args = append(os.Args, "-rapid.seed=20261204", "-rapid.nofailfile")
	}
	os.Exit(m.Run())
}
