// Package router chooses a backend server for each attempt.
package router

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// Router implements track.Router for an entry in one zone. Its methods may be
// called concurrently.
type Router struct {
	clock clockwork.Clock
	zone  track.AvailabilityZone
	reach track.Reachability

	mu       sync.Mutex
	rng      *rand.Rand
	pools    map[string]*pool
	replicas map[track.InstanceID]*replica
	prefixes *prefixes
	// drawn is the space for the groups of one decision.
	drawn []*group
}

var _ track.Router = (*Router)(nil)

// New returns a router for an entry in the given zone.
func New(clock clockwork.Clock, rng *rand.Rand, zone track.AvailabilityZone, reach track.Reachability) *Router {
	return &Router{
		clock: clock, rng: rng, zone: zone, reach: reach,
		pools:    make(map[string]*pool),
		replicas: make(map[track.InstanceID]*replica),
		prefixes: newPrefixes(),
		drawn:    make([]*group, 0, choices),
	}
}

// Pick implements track.Router. It fails with kind NoReplica, Full
// or Tried.
func (r *Router) Pick(q track.Query) (track.Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[q.Target]
	if !ok {
		return track.Choice{}, errNoReplica
	}
	s := search{router: r, query: &q, pool: p, now: r.clock.Now()}
	if q.Isolated {
		return s.take(s.isolated(p))
	}
	return s.take(s.nearest(p))
}

// Done implements track.Router.
func (r *Router) Done(c track.Choice, result track.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	chosen, ok := r.replicas[c.Server.Agent]
	if !ok || chosen.server.Incarnation != c.Server.Incarnation {
		return
	}
	if c.Isolated {
		chosen.suspect = false
	}
	chosen.learn(result, r.clock.Now())
	chosen.charge(c.Tokens, -1)
}

// Update implements track.Router.
func (r *Router) Update(servers []track.BackendServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.drop(servers)
	for _, server := range servers {
		known, ok := r.replicas[server.Agent]
		if !ok {
			r.add(server)
			changed = true
			continue
		}
		known.report(server)
		r.learnPrefixes(known)
	}
	for _, p := range r.pools {
		for _, a := range p.areas {
			if changed {
				a.build()
			}
			a.sum()
			a.sumSlots(r.clock.Now())
		}
	}
}

// drop removes the replicas that are gone or were restarted or moved.
func (r *Router) drop(servers []track.BackendServer) bool {
	now := make(map[track.InstanceID]*track.BackendServer, len(servers))
	for i := range servers {
		now[servers[i].Agent] = &servers[i]
	}
	changed := false
	for id, known := range r.replicas {
		if s, ok := now[id]; ok && same(s, &known.server) {
			continue
		}
		known.gone = true
		known.area.replicas = slices.DeleteFunc(known.area.replicas, func(x *replica) bool { return x == known })
		delete(r.replicas, id)
		changed = true
	}
	return changed
}

func same(a, b *track.BackendServer) bool {
	return a.Incarnation == b.Incarnation && a.Zone == b.Zone && a.Target == b.Target && a.Group == b.Group
}

func (r *Router) add(server track.BackendServer) {
	p, ok := r.pools[server.Target]
	if !ok {
		p = &pool{}
		r.pools[server.Target] = p
	}
	a := p.area(server.Zone)
	if a == nil {
		a = &area{pool: p, zone: server.Zone, oldest: startShare}
		p.areas = append(p.areas, a)
	}
	added := newReplica(server)
	added.area = a
	added.setForeign(work(server.Load))
	a.replicas = append(a.replicas, added)
	r.replicas[server.Agent] = added
	r.learnPrefixes(added)
}

func (r *Router) learnPrefixes(known *replica) {
	for _, prefix := range known.server.Load.CachedPrefixes {
		r.prefixes.note(prefix, known)
	}
}

// Replicas returns the number of replicas of a target.
func (r *Router) Replicas(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	if p, ok := r.pools[target]; ok {
		for _, a := range p.areas {
			n += len(a.replicas)
		}
	}
	return n
}

// Slots returns the number of attempts at a target that this entry may have in
// flight: the windows of the replicas within reach.
func (r *Router) Slots(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[target]
	if !ok {
		return 0
	}
	now := r.clock.Now()
	slots := 0
	for _, a := range p.areas {
		if a.zone == r.zone || !r.reach.CutOff(a.zone) {
			slots += a.sumSlots(now)
		}
	}
	return slots
}

// AllReachable is the view of a router that is offered replicas of reachable
// zones only.
type AllReachable struct{}

// CutOff implements track.Reachability.
func (AllReachable) CutOff(track.AvailabilityZone) bool { return false }
