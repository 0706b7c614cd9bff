package trace

import (
	"math/rand/v2"

	"filberttrack.example/track"
)

// roundRobin is a router that chooses replicas in turn.
type roundRobin struct {
	servers []track.BackendServer
	turn    int
}

func (r *roundRobin) Pick(track.RoutingQuery) (track.RoutingDecision, error) {
	r.turn++
	return track.RoutingDecision{Server: r.servers[r.turn%len(r.servers)]}, nil
}

func (r *roundRobin) Done(track.RoutingDecision, track.AttemptResult) {}

func (r *roundRobin) Update(servers []track.BackendServer) { r.servers = servers }

// twoChoices is a router that draws two random replicas and chooses the one with fewer
// requests in flight from the same entry.
type twoChoices struct {
	rng      *rand.Rand
	servers  []track.BackendServer
	inFlight map[track.InstanceID]int
}

func newTwoChoices(seed uint64) *twoChoices {
	return &twoChoices{rng: rand.New(rand.NewPCG(seed, 2)), inFlight: make(map[track.InstanceID]int)}
}

func (t *twoChoices) Pick(track.RoutingQuery) (track.RoutingDecision, error) {
	first := t.servers[t.rng.IntN(len(t.servers))]
	second := t.servers[t.rng.IntN(len(t.servers))]
	if t.inFlight[second.Agent] < t.inFlight[first.Agent] {
		first = second
	}
	t.inFlight[first.Agent]++
	return track.RoutingDecision{Server: first}, nil
}

func (t *twoChoices) Done(c track.RoutingDecision, _ track.AttemptResult) {
	t.inFlight[c.Server.Agent]--
}

func (t *twoChoices) Update(servers []track.BackendServer) { t.servers = servers }
