package steer

import (
	"time"

	"filberttrack.example/track"
)

// passWindow is the minimum time over which the duration of a pass is averaged. It
// covers a few passes.
const passWindow = 400 * time.Millisecond

// PassTimer measures how long the forward passes of a rank group take, from successive
// states of one of its ranks. It is not safe for concurrent use.
type PassTimer struct {
	epoch int64
	// step and since are the step of the rank and the time at the start of the
	// measurement.
	step     uint64
	since    time.Time
	duration time.Duration
}

// Observe takes the state of the rank at the given time and returns the current duration
// of a pass; 0 while it isn't known, such as for a new or idle group.
func (p *PassTimer) Observe(share track.RankStatus, now time.Time) time.Duration {
	if !share.Serving || share.Running == 0 || share.Epoch != p.epoch || p.since.IsZero() {
		p.epoch, p.step, p.since, p.duration = share.Epoch, share.Step, now, 0
		return 0
	}
	elapsed, steps := now.Sub(p.since), share.Step-p.step
	switch {
	case elapsed < passWindow:
	case steps == 0:
		// The current pass has taken at least this long.
		p.duration = max(p.duration, elapsed)
	default:
		p.duration = elapsed / time.Duration(steps)
		p.step, p.since = share.Step, now
	}
	return p.duration
}
