package trace

import (
	"math/rand/v2"

	"filberttrack.example/track"
)

// roundRobin gives each replica its turn.
type roundRobin struct {
	servers []track.BackendServer
	next    int
}

func (r *roundRobin) Pick(track.Query) (track.Choice, error) {
	r.next++
	return track.Choice{Server: r.servers[r.next%len(r.servers)]}, nil
}

func (r *roundRobin) Done(track.Choice, track.Result) {}

func (r *roundRobin) Update(servers []track.BackendServer) { r.servers = servers }

// twoChoices takes the better of two random replicas by own requests in flight.
type twoChoices struct {
	rng      *rand.Rand
	servers  []track.BackendServer
	inFlight map[track.InstanceID]int
}

func newTwoChoices(seed uint64) *twoChoices {
	return &twoChoices{rng: rand.New(rand.NewPCG(seed, 2)), inFlight: make(map[track.InstanceID]int)}
}

func (t *twoChoices) Pick(track.Query) (track.Choice, error) {
	a := t.servers[t.rng.IntN(len(t.servers))]
	b := t.servers[t.rng.IntN(len(t.servers))]
	if t.inFlight[b.Agent] < t.inFlight[a.Agent] {
		a = b
	}
	t.inFlight[a.Agent]++
	return track.Choice{Server: a}, nil
}

func (t *twoChoices) Done(c track.Choice, _ track.Result) { t.inFlight[c.Server.Agent]-- }

func (t *twoChoices) Update(servers []track.BackendServer) { t.servers = servers }
