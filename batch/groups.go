package batch

import (
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

// OnLeave has a function called if the replica's rank becomes so slow that its own
// requests hold up those of its whole group, while others are at pace. It is called
// once at most, and not after Done.
func (g *Grant) OnLeave(leave func()) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.leave = leave
	if r := g.pool.replicas[g.Replica.ID]; r != nil {
		r.grants[g] = struct{}{}
	}
}

// OtherGroup reports whether a replica is open that is known to belong to another rank
// group than the given one. If not, it returns the time after which that group is
// expected to work again.
func (p *Pool) OtherGroup(id track.ReplicaID) (bool, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	failed := p.replicas[id]
	for _, r := range p.replicas {
		other := failed != nil && failed.rank.Group != "" && r.rank.Group != "" && r.rank.Group != failed.rank.Group
		if other && r.listed && r.closedFor(now) <= 0 {
			return true, 0
		}
	}
	return false, p.groupRetryAfter(now)
}

// groupRetryAfter returns when a broken group is expected back.
func (p *Pool) groupRetryAfter(now time.Time) time.Duration {
	if now.Sub(p.began) < youngTime {
		return p.spread(formingRetryAfter)
	}
	return p.spread(brokenRetryAfter)
}

// anyAtPace reports whether a replica is open whose rank isn't slow.
func (p *Pool) anyAtPace(now time.Time) bool {
	for _, r := range p.replicas {
		if r.listed && r.closedFor(now) <= 0 && !r.slow() {
			return true
		}
	}
	return false
}

// breakMates notes that the group of a replica is broken, for all of its replicas.
func (p *Pool) breakMates(r *replica, now time.Time) {
	for _, other := range p.replicas {
		if r.rank.Group != "" && other.rank.Group == r.rank.Group {
			other.breakGroup(now, max(brokenClosed, p.engine.FormTime))
		}
	}
}

// RankState is what an agent tells of the rank beside it.
type RankState struct {
	Group string
	// Open is set while the rank group works.
	Open bool
	// Pace is the time that the rank needs for the same work, relative to one in
	// good health; 0 if unknown.
	Pace float64
	// Pass is the duration of the group's passes; 0 if unknown.
	Pass time.Duration
}

// SetRank takes what the agent beside the replica at an address tells.
func (p *Pool) SetRank(address string, state RankState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	for _, r := range p.replicas {
		if r.Address != address {
			continue
		}
		switch {
		case !state.Open:
			r.breakGroup(now, brokenClosed)
		case r.broken:
			r.broken, r.closedUntil = false, now
		}
		old := r.rank
		r.rank = state
		if old.Pass = state.Pass; old != state {
			p.options.Logger.Info("rank of replica", zap.String("Replica", string(r.ID)), zap.String("Group", state.Group),
				zap.Bool("Open", state.Open), zap.Float64("Pace", state.Pace))
		}
		if state.Pace >= evacuatePace && p.anyAtPace(now) {
			p.evacuate(r)
		}
	}
	p.passes[state.Group] = p.meanPass(state.Group)
	p.dispatch()
}

// meanPass returns the mean of what the ranks of a group tell of its passes; 0 if none
// does. They see the same passes at different times.
func (p *Pool) meanPass(group string) time.Duration {
	sum, n := time.Duration(0), 0
	for _, r := range p.replicas {
		if r.rank.Group == group && r.rank.Pass > 0 {
			sum += r.rank.Pass
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// evacuate breaks off the attempts at a replica that can go on elsewhere.
func (p *Pool) evacuate(r *replica) {
	if len(r.grants) == 0 {
		return
	}
	p.options.Logger.Info("replica evacuated", zap.String("Replica", string(r.ID)), zap.Float64("Pace", r.rank.Pace), zap.Int("Requests", len(r.grants)))
	for g := range r.grants {
		g.leave()
	}
	clear(r.grants)
}

// Broken reports whether a rank group of the service is known to be broken.
func (p *Pool) Broken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		if r.listed && r.broken {
			return true
		}
	}
	return false
}
