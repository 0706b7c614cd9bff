package batch

import (
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

const (
	// departureMemory is the time after which a departed replica is forgotten. It is longer
	// than a replica takes to leave.
	departureMemory = 10 * time.Minute
	// shareDepartures is the time for which peers are told of a departure.
	shareDepartures = 3 * time.Second
)

// departure is what is known of a replica that has said that it leaves.
type departure struct {
	// startID identifies the start of the replica that leaves.
	startID int64
	// since is when this entry learned of it.
	since time.Time
}

// Leaving records that the replica has said that it is about to leave. It gets no further
// requests; those on it go on.
func (g *Grant) Leaving() {
	g.pool.MarkLeaving(track.Departure{Replica: g.Replica.ID, StartID: g.Replica.StartID})
}

// MarkLeaving records that a replica is about to leave. It gets no further requests until
// the list shows another start of it.
func (p *Pool) MarkLeaving(d track.Departure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	if known, ok := p.departures[d.Replica]; ok && known.startID == d.StartID {
		return
	}
	for id, old := range p.departures {
		if now.Sub(old.since) > departureMemory {
			delete(p.departures, id)
		}
	}
	p.departures[d.Replica] = departure{startID: d.StartID, since: now}
	if r := p.replicas[d.Replica]; r != nil && r.StartID == d.StartID {
		r.leaving = true
		p.options.Logger.Info("replica leaving", zap.String("Replica", string(r.ID)), zap.Int("Running", r.ownInFlight.Running))
	}
}

// hasLeft reports whether this start of the replica has said that it leaves.
func (p *Pool) hasLeft(r track.Replica) bool {
	known, ok := p.departures[r.ID]
	return ok && known.startID == r.StartID
}

// RecentDepartures returns the replicas of which this entry has learned a short time ago that
// they leave.
func (p *Pool) RecentDepartures() []track.Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	var recent []track.Departure
	for id, d := range p.departures {
		if now.Sub(d.since) < shareDepartures && p.replicas[id] != nil {
			recent = append(recent, track.Departure{Replica: id, StartID: d.startID})
		}
	}
	return recent
}
