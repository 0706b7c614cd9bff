// Package pick provides a least-connections router, the baseline against which other
// routers are measured.
package pick

import (
	"errors"
	"slices"
	"sync"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// NoReplica means that the target has no replica that isn't excluded.
	NoReplica Kind = iota
)

// String returns the kind in lower case.
func (k Kind) String() string { return "no replica" }

// Error is the error of this package.
type Error = track.OpError[Kind]

// LeastConnections routes each attempt to the replica with the fewest attempts in flight
// from this entry. It implements track.Router and is safe for concurrent use.
type LeastConnections struct {
	mu       sync.Mutex
	byTarget map[string][]track.BackendServer
	// inFlight counts this entry's attempts by agent.
	inFlight map[track.InstanceID]int
}

// New returns a router without replicas.
func New() *LeastConnections {
	return &LeastConnections{
		byTarget: make(map[string][]track.BackendServer),
		inFlight: make(map[track.InstanceID]int),
	}
}

// Pick implements track.Router. It fails with an *Error of kind NoReplica.
func (l *LeastConnections) Pick(q track.RoutingQuery) (track.RoutingDecision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	servers := l.byTarget[q.Target]
	best := -1
	for i := range servers {
		if slices.Contains(q.Excluded, servers[i].Agent) {
			continue
		}
		if best < 0 || l.inFlight[servers[i].Agent] < l.inFlight[servers[best].Agent] {
			best = i
		}
	}
	if best < 0 {
		return track.RoutingDecision{}, track.Fail("pick", NoReplica, errors.New("no live replica of "+q.Target))
	}
	l.inFlight[servers[best].Agent]++
	return track.RoutingDecision{
		Server:     servers[best],
		Reason:     "LeastConnections",
		Candidates: len(servers),
		Tokens:     q.Tokens,
	}, nil
}

// Done implements track.Router.
func (l *LeastConnections) Done(c track.RoutingDecision, _ track.AttemptResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[c.Server.Agent]--
	if l.inFlight[c.Server.Agent] <= 0 {
		delete(l.inFlight, c.Server.Agent)
	}
}

// Update implements track.Router.
func (l *LeastConnections) Update(servers []track.BackendServer) {
	byTarget := make(map[string][]track.BackendServer)
	for _, s := range servers {
		byTarget[s.Target] = append(byTarget[s.Target], s)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byTarget = byTarget
}
