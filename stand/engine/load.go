package engine

import (
	"sync"
	"time"

	"filberttrack.example/track"
)

// samplesPerLag is the number of samples kept for one lag.
const samplesPerLag = 8

// loadHistory delays load reports by a lag.
type loadHistory struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load track.Load
}

// due reports whether the newest sample is old enough for another one.
func (h *loadHistory) due(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == 0 || h.lag == 0 {
		return true
	}
	return now.Sub(h.samples[len(h.samples)-1].at) >= h.lag/samplesPerLag
}

func (h *loadHistory) add(now time.Time, load track.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, loadSample{at: now, load: load})
	oldest := now.Add(-h.lag)
	for len(h.samples) > 1 && !h.samples[1].at.After(oldest) {
		h.samples = h.samples[1:]
	}
}

// at returns the newest sample that is as old as the lag, or else the oldest.
func (h *loadHistory) at(now time.Time) track.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	var shown track.Load
	for i, s := range h.samples {
		if i == 0 || !s.at.After(now.Add(-h.lag)) {
			shown = s.load
		}
	}
	return shown
}
