package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/steer"
)

func TestPasses(t *testing.T) {
	const look = 50 * time.Millisecond
	for _, c := range []struct {
		name string
		// step returns the step at a look.
		step func(n int) uint64
		want time.Duration
	}{
		{"a step each look", func(n int) uint64 { return uint64(n) }, look},
		{"a step each fourth look", func(n int) uint64 { return uint64(n / 4) }, 4 * look},
		{"no step any more", func(n int) uint64 { return uint64(min(n, 8)) }, 24 * look},
	} {
		t.Run(c.name, func(t *testing.T) {
			var passes steer.Passes
			now := time.Unix(1, 0)
			took := time.Duration(0)
			for n := range 33 {
				took = passes.Seen(track.RankShare{Epoch: 1, Open: true, Running: 2, Step: c.step(n)}, now)
				now = now.Add(look)
			}
			assert.Equal(t, took, c.want)
			took = passes.Seen(track.RankShare{Epoch: 2, Open: true, Running: 2}, now)
			assert.Equal(t, took, time.Duration(0), "of a new group nothing is known")
		})
	}
}
