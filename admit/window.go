// Package admit decides which requests may run now, which may wait, and which
// are refused at once because they can't be done by their deadlines.
package admit

import (
	"time"
)

const (
	// initialWindow is the initial limit of a replica that reports no capacity.
	initialWindow = 16
	minWindow     = 1
	maxWindow     = 1024
	// decreaseFactor is multiplied with the limit after a sign of overload. The
	// decrease is mild, as all entries see the sign at about the same time.
	decreaseFactor = 0.7
	// congestionRatio is the ratio of the recent latency to the lowest above which
	// the replica counts as overloaded, unless the recent latency is below
	// acceptableLatency.
	congestionRatio   = 2
	acceptableLatency = 400 * time.Millisecond
	// bestPeriod is the length of the periods over which the lowest latency is
	// taken. It counts until the end of the following period, so at least this long.
	bestPeriod = 30 * time.Second
	// minWeight and maxWeight bound the weight of one answer in the recent latency,
	// which is a moving average over about as many answers as the limit.
	minWeight = 0.05
	maxWeight = 0.3
	// minIncrease is the least growth of the limit after a good answer. It lets a
	// high limit grow past congestion before the lowest latency is forgotten.
	minIncrease = 0.02
)

// Window is the adaptive concurrency limit of one replica. It is not safe for
// concurrent use.
type Window struct {
	limit float64
	// maxLimit bounds the limit: it is the capacity that the replica reports, if any.
	maxLimit float64
	// recentLatency is the moving average of the latency, in s.
	recentLatency float64
	// bestLatency and previousBest are the lowest values of recentLatency in this
	// period and in the one before, in s.
	bestLatency  float64
	previousBest float64
	// periodStart is the start of this period.
	periodStart time.Time
	// decreasedAt is the time of the latest decrease of the limit.
	decreasedAt time.Time
}

// NewWindow returns the window of a new replica that can run capacity attempts at
// once. A capacity of 0 means that it is unknown.
func NewWindow(capacity int) Window {
	w := Window{limit: initialWindow, maxLimit: maxWindow}
	if capacity > 0 {
		w.limit, w.maxLimit = float64(capacity), float64(capacity)
	}
	return w
}

// Limit returns the number of attempts that may be in flight.
func (w *Window) Limit() int {
	return int(w.limit)
}

// Sample is what is observed of one attempt when it ends.
type Sample struct {
	// InFlight is the number of attempts in flight when it ended, including itself.
	InFlight int
	// FirstByte is the time to the first byte; 0 if there was none.
	FirstByte time.Duration
	// Overloaded is set if the replica declined the attempt or missed its deadline.
	Overloaded bool
	// ShortQueue is set if the replica reports that few attempts or none wait for a
	// slot. High latency then has other causes than this entry's concurrency.
	ShortQueue bool
}

// Observe adjusts the limit by the end of an attempt: it decreases the limit after
// a sign of overload, and otherwise increases it if at least half of it was used.
func (w *Window) Observe(s Sample, now time.Time) {
	slow := w.recordLatency(s.FirstByte.Seconds(), now)
	switch {
	case s.Overloaded || slow && !s.ShortQueue:
		w.decrease(now)
	case 2*s.InFlight >= w.Limit():
		w.limit = min(w.limit+max(1/w.limit, minIncrease), w.maxLimit)
	}
}

// recordLatency updates the latencies with that of one attempt, in s, and reports
// whether the recent one is too high. It ignores a latency of 0.
func (w *Window) recordLatency(latency float64, now time.Time) bool {
	if latency <= 0 {
		return false
	}
	if w.recentLatency == 0 {
		w.recentLatency, w.bestLatency, w.previousBest, w.periodStart = latency, latency, latency, now
		return false
	}
	w.recentLatency += min(max(1/w.limit, minWeight), maxWeight) * (latency - w.recentLatency)
	if now.Sub(w.periodStart) >= bestPeriod {
		w.previousBest, w.bestLatency, w.periodStart = w.bestLatency, w.recentLatency, now
	}
	w.bestLatency = min(w.bestLatency, w.recentLatency)
	return w.recentLatency > max(congestionRatio*min(w.bestLatency, w.previousBest), acceptableLatency.Seconds())
}

// decrease lowers the limit, at most once in the time that an answer takes.
func (w *Window) decrease(now time.Time) {
	if now.Sub(w.decreasedAt).Seconds() < w.recentLatency {
		return
	}
	w.decreasedAt = now
	w.limit = max(w.limit*decreaseFactor, minWindow)
}
