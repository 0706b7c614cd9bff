package heads

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless the command line gives
// one.
func TestMain(m *testing.M) {
	seedGiven := slices.ContainsFunc(os.Args, func(arg string) bool { return strings.HasPrefix(arg, "-rapid.seed") })
	if !seedGiven {
		os.Args = append(os.Args, "-rapid.seed=20261207", "-rapid.nofailfile", "-rapid.checks=40")
	}
	os.Exit(m.Run())
}
