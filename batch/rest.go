package batch

import (
	"time"

	"go.uber.org/zap"
)

// Rest records that the replica wants no requests from this entry for the given time.
func (g *Grant) Rest(d time.Duration) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	until := p.options.Clock.Now().Add(d)
	r := p.replicas[g.Replica.ID]
	if r == nil || !until.After(r.restUntil) {
		return
	}
	r.restUntil = until
	p.options.Logger.Info("replica rests", zap.String("Replica", string(r.ID)), zap.Duration("For", d))
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
