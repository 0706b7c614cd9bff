package batch

import (
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/permit"
)

// Observe records what the replica says of itself in an answer.
func (g *Grant) Observe(said track.Signs) {
	g.pool.options.Signs.Observe(g.Replica, said)
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.pool.refreshSigns(g.Replica.ID)
}

// SignsChanged takes over from the book of signs what has been recorded of the given replicas. It ignores
// those of other services.
func (p *Pool) SignsChanged(reports []track.SignReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, report := range reports {
		p.refreshSigns(report.Replica)
	}
}

func (p *Pool) refreshSigns(id track.ReplicaID) {
	if r := p.replicas[id]; r != nil {
		wasUsable := r.usable()
		r.signs = p.options.Signs.Of(r.Replica)
		if r.usable() != wasUsable {
			p.plan = nil
		}
		p.setPermitLimit(r, p.options.Clock.Now())
	}
}

// SetShare sets this entry's part of the limits that replicas name.
func (p *Pool) SetShare(share permit.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share, p.shareKnown = share, share.Width > 0
}

// limitedRate returns the requests a second that this entry may send under the limits that replicas name or that apply
// to cold ones, and whether there is a limit for all available replicas.
func (p *Pool) limitedRate(now time.Time) (float64, bool) {
	sum, found := 0.0, false
	for _, r := range p.replicas {
		if !r.available(now) {
			continue
		}
		if rate, isCold := p.coldRate(r, now); isCold {
			sum += rate
			found = true
			continue
		}
		if r.signs.Limit == 0 {
			return 0, false
		}
		sum += r.signs.Limit * p.share.Width
		found = true
	}
	return sum, found
}

// maxReturnDelay limits the time over which refused clients return, in case the replicas recover sooner.
const maxReturnDelay = 30 * time.Second

// restRetryAfter returns the delay after which a client should retry while all replicas
// rest.
func (p *Pool) restRetryAfter(restUntil, now time.Time) time.Duration {
	return p.nextReturnAfter(restUntil, now, p.meanGrantTime/time.Duration(max(p.capacityPerEntry(), 1)))
}

// nextReturnAfter returns the delay after which a client should retry that can't be served before the given
// time. Clients return in the order in which they were refused, and no faster than the replicas can
// serve them.
func (p *Pool) nextReturnAfter(earliest, now time.Time, interval time.Duration) time.Duration {
	if p.nextReturn.Before(earliest) || p.nextReturn.Sub(earliest) > maxReturnDelay {
		p.nextReturn = earliest
	}
	wait := p.nextReturn.Sub(now)
	p.nextReturn = p.nextReturn.Add(interval)
	return max(wait, minRetryAfter)
}
