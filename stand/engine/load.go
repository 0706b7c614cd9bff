package engine

import (
	"sync"
	"time"

	"filberttrack.example/track"
)

// samplesPerLag is the number of load samples taken within the lag of load reports.
const samplesPerLag = 8

// loadHistory keeps samples of the load, so that load reports can lag behind.
type loadHistory struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load track.Load
}

// sampleDue reports whether it is time for the next sample.
func (h *loadHistory) sampleDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == 0 || h.lag == 0 {
		return true
	}
	return now.Sub(h.samples[len(h.samples)-1].at) >= h.lag/samplesPerLag
}

// add adds a sample and drops those that lagged no longer needs.
func (h *loadHistory) add(now time.Time, load track.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, loadSample{at: now, load: load})
	oldest := now.Add(-h.lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(oldest) {
		h.samples = h.samples[1:]
	}
}

// lagged returns the newest sample that is at least as old as the lag, or the
// oldest sample if none is.
func (h *loadHistory) lagged(now time.Time) track.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lagged track.Load
	for i, s := range h.samples {
		if i == 0 || !s.at.After(now.Add(-h.lag)) {
			lagged = s.load
		}
	}
	return lagged
}
