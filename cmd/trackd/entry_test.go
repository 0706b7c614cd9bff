package main

import (
	"context"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"
)

// Guards against a typing error, such as 5 for 0.05, that lets an entry send each request twice, and against hedging
// without the flag.
func TestHedgeShare(t *testing.T) {
	for _, c := range []struct {
		args  []string
		share float64
		valid bool
	}{
		{nil, 0, true},
		{[]string{"--hedge-share", "0.001"}, 0.001, true},
		{[]string{"--hedge-share=0.2"}, 0.2, true},
		{[]string{"--hedge-share", "0"}, 0, false},
		{[]string{"--hedge-share=-0.1"}, 0, false},
		{[]string{"--hedge-share", "0.21"}, 0, false},
		{[]string{"--hedge-share", "5"}, 0, false},
		{[]string{"--hedge-share", "NaN"}, 0, false},
		{[]string{"--hedge-share", "5%"}, 0, false},
		{[]string{"--hedge-share="}, 0, false},
	} {
		command := entryCommand(nil)
		share, err := 0.0, error(nil)
		command.Action = func(_ context.Context, command *cli.Command) error {
			share, err = hedgeShare(command)
			return nil
		}
		assert.NilError(t, command.Run(t.Context(), append([]string{"entry"}, c.args...)), "%v", c.args)
		assert.Equal(t, err == nil, c.valid, "%v", c.args)
		assert.Equal(t, share, c.share, "%v", c.args)
		if !c.valid {
			assert.ErrorContains(t, err, "above 0 and at most 0.2")
		}
	}
}
