package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/steer"
)

func TestPassTimer(t *testing.T) {
	const interval = 50 * time.Millisecond
	for _, c := range []struct {
		name string
		// step returns the step of the rank at the nth read.
		step func(n int) uint64
		want time.Duration
	}{
		{"a step per read", func(n int) uint64 { return uint64(n) }, interval},
		{"a step every four reads", func(n int) uint64 { return uint64(n / 4) }, 4 * interval},
		{"no more steps after the eighth", func(n int) uint64 { return uint64(min(n, 8)) }, 24 * interval},
	} {
		t.Run(c.name, func(t *testing.T) {
			var passes steer.PassTimer
			now := time.Unix(1, 0)
			duration := time.Duration(0)
			for n := range 33 {
				duration = passes.Observe(track.RankStatus{Epoch: 1, Serving: true, Running: 2, Step: c.step(n)}, now)
				now = now.Add(interval)
			}
			assert.Equal(t, duration, c.want)
			duration = passes.Observe(track.RankStatus{Epoch: 2, Serving: true, Running: 2}, now)
			assert.Equal(t, duration, time.Duration(0), "the pass duration of a new group is unknown")
		})
	}
}
