package steer

import (
	"time"

	"filberttrack.example/track"
)

// passWindow is the time over which the duration of passes is taken, a few passes.
const passWindow = 400 * time.Millisecond

// Passes measures from looks at a rank how long the passes of its group take. It is
// not safe for concurrent use.
type Passes struct {
	epoch int64
	step  uint64
	at    time.Time
	took  time.Duration
}

// Seen takes a look at the rank, and returns the duration of a pass; 0 while it isn't
// known.
func (p *Passes) Seen(share track.RankShare, now time.Time) time.Duration {
	if !share.Open || share.Running == 0 || share.Epoch != p.epoch || p.at.IsZero() {
		p.epoch, p.step, p.at, p.took = share.Epoch, share.Step, now, 0
		return 0
	}
	elapsed, steps := now.Sub(p.at), share.Step-p.step
	switch {
	case elapsed < passWindow:
	case steps == 0:
		// The pass under way takes at least as long.
		p.took = max(p.took, elapsed)
	default:
		p.took = elapsed / time.Duration(steps)
		p.step, p.at = share.Step, now
	}
	return p.took
}
