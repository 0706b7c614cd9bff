// Package router chooses the backend server for each attempt at a request, by
// availability zone, load, cached prompt prefixes and recent failures.
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
	clock        clockwork.Clock
	zone         track.AvailabilityZone
	reachability track.Reachability

	mu       sync.Mutex
	rng      *rand.Rand
	pools    map[string]*pool
	replicas map[track.InstanceID]*replica
	prefixes *prefixTable
	// sampledGroups is reused by every decision, so that sampling allocates
	// nothing.
	sampledGroups []*group
}

var _ track.Router = (*Router)(nil)

// New returns a router without replicas for an entry in the given zone. It picks
// no replica in another zone while reachability reports that zone as cut off.
func New(clock clockwork.Clock, rng *rand.Rand, zone track.AvailabilityZone, reachability track.Reachability) *Router {
	return &Router{
		clock: clock, rng: rng, zone: zone, reachability: reachability,
		pools:         make(map[string]*pool),
		replicas:      make(map[track.InstanceID]*replica),
		prefixes:      newPrefixTable(),
		sampledGroups: make([]*group, 0, sampleSize),
	}
}

// Pick implements track.Router. It fails with an *Error of kind NoReplica,
// AllFull or AllTried.
func (r *Router) Pick(q track.RoutingQuery) (track.RoutingDecision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[q.Target]
	if !ok {
		return track.RoutingDecision{}, errNoReplica
	}
	s := search{router: r, query: &q, pool: p, now: r.clock.Now()}
	if q.Isolated {
		return s.assign(s.selectIsolated(p))
	}
	return s.assign(s.selectNearest(p))
}

// Done implements track.Router. It ignores a choice whose replica has been removed
// or restarted since.
func (r *Router) Done(c track.RoutingDecision, result track.AttemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	chosen, ok := r.replicas[c.Server.Agent]
	if !ok || chosen.server.Incarnation != c.Server.Incarnation {
		return
	}
	if c.Isolated {
		chosen.reserved = false
	}
	chosen.recordResult(result, r.clock.Now())
	chosen.charge(c.Tokens, -1)
}

// Update implements track.Router. Replicas that stay keep their statistics.
func (r *Router) Update(servers []track.BackendServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.removeStale(servers)
	for _, server := range servers {
		known, ok := r.replicas[server.Agent]
		if !ok {
			r.addReplica(server)
			changed = true
			continue
		}
		known.applyReport(server)
		r.recordPrefixes(known)
	}
	for _, p := range r.pools {
		for _, z := range p.zones {
			if changed {
				z.rebuild()
			}
			z.updateTotals()
			z.totalSlots(r.clock.Now())
		}
	}
}

// removeStale removes the replicas that are no longer listed, were restarted, or
// changed their zone, target or group. It reports whether it removed any.
func (r *Router) removeStale(servers []track.BackendServer) bool {
	listed := make(map[track.InstanceID]*track.BackendServer, len(servers))
	for i := range servers {
		listed[servers[i].Agent] = &servers[i]
	}
	removed := false
	for id, known := range r.replicas {
		if s, ok := listed[id]; ok && sameReplica(s, &known.server) {
			continue
		}
		known.removed = true
		known.zone.replicas = slices.DeleteFunc(known.zone.replicas, func(x *replica) bool { return x == known })
		delete(r.replicas, id)
		removed = true
	}
	return removed
}

func sameReplica(a, b *track.BackendServer) bool {
	return a.Incarnation == b.Incarnation && a.Zone == b.Zone && a.Target == b.Target && a.Group == b.Group
}

func (r *Router) addReplica(server track.BackendServer) {
	p, ok := r.pools[server.Target]
	if !ok {
		p = &pool{}
		r.pools[server.Target] = p
	}
	z := p.inZone(server.Zone)
	if z == nil {
		z = &zonePool{pool: p, name: server.Zone, maxProgress: minSlowStart}
		p.zones = append(p.zones, z)
	}
	added := newReplica(server)
	added.zone = z
	added.setOtherWork(reportedWork(server.Load))
	z.replicas = append(z.replicas, added)
	r.replicas[server.Agent] = added
	r.recordPrefixes(added)
}

func (r *Router) recordPrefixes(known *replica) {
	for _, prefix := range known.server.Load.CachedPrefixes {
		r.prefixes.add(prefix, known)
	}
}

// Replicas returns the number of known replicas of a target in all zones,
// reachable or not.
func (r *Router) Replicas(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	if p, ok := r.pools[target]; ok {
		for _, z := range p.zones {
			n += len(z.replicas)
		}
	}
	return n
}

// Slots returns the number of attempts at a target that this entry may have in
// flight: the sum of the concurrency windows of the replicas in reachable zones
// that are not ejected. It is 0 for an unknown target.
func (r *Router) Slots(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[target]
	if !ok {
		return 0
	}
	now := r.clock.Now()
	slots := 0
	for _, z := range p.zones {
		if z.name == r.zone || !r.reachability.Unreachable(z.name) {
			slots += z.totalSlots(now)
		}
	}
	return slots
}

// AllReachable implements track.Reachability for a router that is only given
// replicas in reachable zones.
type AllReachable struct{}

// Unreachable implements track.Reachability.
func (AllReachable) Unreachable(track.AvailabilityZone) bool { return false }
