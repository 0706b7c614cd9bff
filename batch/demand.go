package batch

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the mean demand that entries tell each other, and surgeWindow that of the
	// latest demand: within half a second of a jump it has most of it.
	demandWindow = 3 * time.Second
	surgeWindow  = 400 * time.Millisecond
	// minDemandAge is the least time over which the demand is averaged.
	minDemandAge = 500 * time.Millisecond
)

// Demand returns the rate of the requests that this entry would send to the service, in requests a
// second. It counts those that are refused, too: an entry that refuses many needs a larger share.
func (p *Pool) Demand() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.at(p.options.Clock.Now())
}

// demandRate is a mean rate in which newer requests weigh more.
type demandRate struct {
	// window is the time constant of the mean.
	window           time.Duration
	since, updatedAt time.Time
	// sum is the number of requests, each weighed down with its age.
	sum float64
}

func (d *demandRate) add(now time.Time) {
	d.decay(now)
	d.sum++
}

func (d *demandRate) decay(now time.Time) {
	d.sum *= math.Exp(-float64(now.Sub(d.updatedAt)) / float64(d.window))
	d.updatedAt = now
}

// at returns the rate a second. Soon after the start, the mean is over the time since then.
func (d *demandRate) at(now time.Time) float64 {
	d.decay(now)
	age := max(now.Sub(d.since), minDemandAge)
	return d.sum / (d.window.Seconds() * (1 - math.Exp(-float64(age)/float64(d.window))))
}
