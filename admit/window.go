// Package admit decides which requests may run now, which may wait, and which
// are refused at once because they can't be done in time.
package admit

import (
	"time"
)

const (
	// initialWindow is the concurrency of a replica that reports no capacity.
	initialWindow = 16
	minWindow     = 1
	maxWindow     = 1024
	// decrease is the factor of a window after a sign of overload. It is mild, as
	// all entries see the sign at about the same time.
	decrease = 0.7
	// congested is the ratio of recent to best latency that counts as overload, if
	// the recent one is above acceptable.
	congested  = 2
	acceptable = 400 * time.Millisecond
	// bestFor is how long the best latency holds at least.
	bestFor = 30 * time.Second
	// minWeight and maxWeight bound the weight of one answer in the recent
	// latency, which is averaged over one window of answers.
	minWeight = 0.05
	maxWeight = 0.3
	// minIncrease is the least growth of a window after a good answer. It lets a
	// wide window grow past congestion before the best latency is forgotten.
	minIncrease = 0.02
)

// Window is the adaptive concurrency limit of one replica. It is not safe for
// concurrent use.
type Window struct {
	limit float64
	// most bounds the limit: the capacity that the replica reports.
	most   float64
	recent float64
	// best and older are the lowest recent latency of this period and of the one
	// before, in s.
	best   float64
	older  float64
	period time.Time
	cut    time.Time
}

// NewWindow returns the window of a fresh replica that runs capacity attempts
// at once; 0 if it is not known.
func NewWindow(capacity int) Window {
	w := Window{limit: initialWindow, most: maxWindow}
	if capacity > 0 {
		w.limit, w.most = float64(capacity), float64(capacity)
	}
	return w
}

// Limit returns the number of attempts that may be in flight.
func (w *Window) Limit() int {
	return int(w.limit)
}

// Sample is the end of one attempt.
type Sample struct {
	// InFlight is the number of attempts in flight when it ended, itself included.
	InFlight int
	// FirstByte is the time to the first byte; 0 if there was none.
	FirstByte time.Duration
	// Overloaded is set if the replica declined or missed the deadline.
	Overloaded bool
	// Roomy is set if the replica reports that nothing waits for a slot. Its
	// latency then has other causes than this entry's concurrency.
	Roomy bool
}

// Observe learns from the end of an attempt.
func (w *Window) Observe(s Sample, now time.Time) {
	slow := w.learn(s.FirstByte.Seconds(), now)
	switch {
	case s.Overloaded || slow && !s.Roomy:
		w.shrink(now)
	case 2*s.InFlight >= w.Limit():
		w.limit = min(w.limit+max(1/w.limit, minIncrease), w.most)
	}
}

// learn updates the latencies, and reports whether the recent one is too high.
func (w *Window) learn(latency float64, now time.Time) bool {
	if latency <= 0 {
		return false
	}
	if w.recent == 0 {
		w.recent, w.best, w.older, w.period = latency, latency, latency, now
		return false
	}
	w.recent += min(max(1/w.limit, minWeight), maxWeight) * (latency - w.recent)
	if now.Sub(w.period) >= bestFor {
		w.older, w.best, w.period = w.best, w.recent, now
	}
	w.best = min(w.best, w.recent)
	return w.recent > max(congested*min(w.best, w.older), acceptable.Seconds())
}

// shrink cuts the window, at most once in the time of an answer.
func (w *Window) shrink(now time.Time) {
	if now.Sub(w.cut).Seconds() < w.recent {
		return
	}
	w.cut = now
	w.limit = max(w.limit*decrease, minWindow)
}
