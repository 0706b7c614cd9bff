package batch

import (
	"time"

	"filberttrack.example/track"
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
		r.signs = p.options.Signs.Of(r.Replica)
	}
}

// restRetryAfter returns the delay after which a client should retry while all replicas
// rest. Clients return in the order in which they were refused, and no faster than the
// replicas can serve them.
func (p *Pool) restRetryAfter(restUntil, now time.Time) time.Duration {
	if p.nextReturn.Before(restUntil) {
		p.nextReturn = restUntil
	}
	wait := p.nextReturn.Sub(now)
	share := max(p.capacityPerEntry(), 1)
	p.nextReturn = p.nextReturn.Add(p.meanGrantTime / time.Duration(share))
	return max(wait, minRetryAfter)
}
