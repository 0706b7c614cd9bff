package batch

import (
	"slices"
	"time"
)

const (
	// durationSamples is the number of latest requests whose durations are kept.
	durationSamples = 64
	// longDurationShare is the share of requests that end within LongDuration.
	longDurationShare = 0.95
)

// durationWindow holds the durations of the latest served requests.
type durationWindow struct {
	samples [durationSamples]time.Duration
	// count is the number of durations added so far.
	count int
}

func (w *durationWindow) add(d time.Duration) {
	w.samples[w.count%durationSamples] = d
	w.count++
}

// quantile returns the duration within which the given share of the requests ended; 0 if
// there were none.
func (w *durationWindow) quantile(share float64) time.Duration {
	n := min(w.count, durationSamples)
	if n == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(w.samples[:n]))
	return sorted[min(int(share*float64(n)), n-1)]
}

// LongDuration returns the time from admission to the end within which nearly all recent
// requests were served; 0 if there were none.
func (p *Pool) LongDuration() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.durations.quantile(longDurationShare)
}
