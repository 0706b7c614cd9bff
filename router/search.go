package router

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
)

const (
	// sampleSize is the number of groups that are drawn at random and compared.
	sampleSize = 3
	// maxSamples bounds the samples that are drawn before all replicas are scanned.
	maxSamples = 2
)

// search is the search for a replica for one attempt.
type search struct {
	router *Router
	query  *track.RoutingQuery
	pool   *pool
	now    time.Time
	// candidates counts the replicas that were compared.
	candidates int
}

// selection is the result of a search. Its replica is nil if none was found.
type selection struct {
	replica  *replica
	reason   string
	isolated bool
}

func (s *search) tokens() int {
	return max(s.query.Tokens, 1)
}

// size returns the size of the attempt, in attempts of mean size.
func (s *search) size() float64 {
	return s.pool.inAttempts(workload{1, float64(s.tokens())})
}

// assign charges the attempt to the selected replica, and returns the choice. It
// fails if no replica was found.
func (s *search) assign(sel selection) (track.RoutingDecision, error) {
	if sel.replica == nil {
		return track.RoutingDecision{}, s.notFound()
	}
	sel.replica.charge(s.tokens(), 1)
	sel.replica.zone.pool.meanTokens = movingAverage(sel.replica.zone.pool.meanTokens, float64(s.tokens()))
	if sel.isolated {
		sel.replica.reserved = true
	}
	s.router.prefixes.addQuery(s.query, sel.replica)
	return track.RoutingDecision{
		Server: sel.replica.server, Reason: sel.reason, Candidates: s.candidates, Tokens: s.tokens(), Isolated: sel.isolated,
	}, nil
}

// notFound returns the error that says why no replica was found.
func (s *search) notFound() error {
	failure := errNoReplica
	for _, z := range s.pool.zones {
		if !s.reachable(z) {
			continue
		}
		for _, r := range z.replicas {
			if !s.excluded(r) {
				return errAllFull
			}
			failure = errAllTried
		}
	}
	return failure
}

// usable reports whether a replica can take the attempt.
func (s *search) usable(r *replica) bool {
	return r != nil && !r.removed && !r.reserved && !r.ejected(s.now) && !r.full(s.now) && !s.excluded(r)
}

func (s *search) excluded(r *replica) bool {
	for _, id := range s.query.Excluded {
		if id == r.server.Agent {
			return true
		}
	}
	return false
}

// hasCandidate reports whether the zone has a replica that is neither ejected nor
// excluded by the request. The replica may be full.
func (s *search) hasCandidate(z *zonePool) bool {
	for _, r := range z.replicas {
		if !r.ejected(s.now) && !s.excluded(r) {
			return true
		}
	}
	return false
}

// nearlyIdle reports whether the zone certainly needs no spill: its reported
// utilization is below half of spillUtilization, and this entry has less than one
// attempt in flight for each replica.
func (z *zonePool) nearlyIdle() bool {
	return z.reportedUtilization < spillUtilization/2 && int(z.ownWork.attempts) < len(z.replicas)
}

// selectNearest selects a replica of the local zone, or of another zone if the
// local one is short of slots. If that zone has no room, it tries every other
// reachable zone.
func (s *search) selectNearest(p *pool) selection {
	local := p.inZone(s.router.zone)
	preferred := local
	if local == nil || !local.nearlyIdle() || !s.hasCandidate(local) {
		if other := s.spillZone(p, local); other != nil {
			preferred = other
		}
	}
	sel := s.searchZones(p, preferred, s.selectInZone)
	if sel.replica == nil {
		sel = s.searchZones(p, preferred, s.selectBeyondWindow)
	}
	if sel.replica != nil && sel.replica.zone != local {
		sel.reason = ReasonSpillToZone
	}
	return sel
}

// searchZones searches the preferred zone, and then the other reachable zones.
func (s *search) searchZones(p *pool, preferred *zonePool, inZone func(*zonePool) selection) selection {
	if preferred != nil {
		if sel := inZone(preferred); sel.replica != nil {
			return sel
		}
	}
	for _, z := range p.zones {
		if z == preferred || !s.reachable(z) {
			continue
		}
		if sel := inZone(z); sel.replica != nil {
			return sel
		}
	}
	return selection{}
}

func (s *search) reachable(z *zonePool) bool {
	return z.name == s.router.zone || !s.router.reachability.Unreachable(z.name)
}

// spillZone returns the reachable zone with the lowest utilization if the attempt
// is to go there, or nil if it is to stay in the local zone. While the local zone
// is short of slots, only the share of the attempts that would level the two zones
// goes there: sending all of them would only move the shortage.
func (s *search) spillZone(p *pool, local *zonePool) *zonePool {
	localUsable := local != nil && s.hasCandidate(local)
	localUse := math.Inf(1)
	if localUsable {
		localUse = local.utilization(s.now)
	}
	if localUse < spillUtilization {
		return nil
	}
	var best *zonePool
	lowest := localUse
	for _, z := range p.zones {
		if z == local || !s.hasCandidate(z) || !s.reachable(z) {
			continue
		}
		if u := z.utilization(s.now); u < lowest {
			best, lowest = z, u
		}
	}
	if localUsable && s.router.rng.Float64() >= (localUse-lowest)/(2*localUse) {
		return nil
	}
	return best
}

// selectInZone selects a replica of one zone: by cached prefix, from a random
// sample, or the least loaded of all.
func (s *search) selectInZone(z *zonePool) selection {
	if sel := s.selectByPrefix(z); sel.replica != nil {
		return sel
	}
	if r := s.bestOfSample(z); r != nil {
		return selection{replica: r, reason: ReasonTwoChoices}
	}
	return selection{replica: s.leastLoaded(z, (*replica).full), reason: ReasonLeastLoaded}
}

// selectBeyondWindow selects a replica of one zone and lets it exceed its window a
// little, because windows may have shrunk since the request was admitted.
func (s *search) selectBeyondWindow(z *zonePool) selection {
	return selection{replica: s.leastLoaded(z, (*replica).fullWithOverflow), reason: ReasonBeyondWindow}
}

// selectByPrefix selects a replica that has a prefix of the prompt cached, or else
// a home replica of the prompt, unless its load is too high.
func (s *search) selectByPrefix(z *zonePool) selection {
	n := len(s.query.Prefixes)
	if n == 0 || len(z.ring) == 0 {
		return selection{}
	}
	holders, covered := s.router.prefixes.lookup(s.query)
	saved := covered * s.size()
	if r := s.lessLoaded(z, holders[0], holders[1], saved); r != nil {
		return selection{replica: r, reason: ReasonCachedPrefix}
	}
	hash := rehash(s.query.Prefixes[min(n, homeBlocks)-1])
	if r := s.lessLoaded(z, z.home(hash), z.home(rehash(hash)), 0); r != nil {
		return selection{replica: r, reason: ReasonPrefixHome}
	}
	return selection{}
}

// lessLoaded returns the less loaded of two replicas if its load is within the
// bound for prefix affinity, or nil. The bound tightens as the zone fills up: a
// cached prefix saves a fixed time, while the wait for a slot grows without limit.
// saved is the work that the cached prefix saves, in attempts of mean size.
func (s *search) lessLoaded(z *zonePool, x, y *replica, saved float64) *replica {
	idle := max(1-z.utilization(s.now), 0)
	bound := (1+affinitySlack*idle)*z.meanLoad() + idle*saved + s.size()
	var best *replica
	for _, r := range [...]*replica{x, y} {
		if !s.usable(r) || r.zone != z {
			continue
		}
		s.candidates++
		if load := (r.load(s.now) + s.size()) * r.latencyPenalty() / r.slowStartFactor(s.now); load <= bound {
			best, bound = r, load
		}
	}
	return best
}

// sampleGroups returns sampleSize groups drawn at random, with repetition, or all
// groups if there are no more than that.
func (s *search) sampleGroups(z *zonePool) []*group {
	if len(z.groups) <= sampleSize {
		return z.groups
	}
	sample := s.router.sampledGroups[:0]
	for range sampleSize {
		sample = append(sample, z.groups[s.router.rng.IntN(len(z.groups))])
	}
	return sample
}

// startIndex returns the index from which n candidates are compared. It depends on
// the request only, so it is the same for all attempts at it.
func (s *search) startIndex(n int) int {
	return int(xxhash.Sum64String(string(s.query.Request)) % uint64(n))
}

// bestOfSample returns the best replica of a few groups drawn at random, or nil if
// none of them has a usable one. Where the comparison begins depends on the
// request, so that ties are spread evenly over the replicas.
func (s *search) bestOfSample(z *zonePool) *replica {
	if len(z.groups) == 0 {
		return nil
	}
	var best *replica
	var bestScore float64
	for range maxSamples {
		sample := s.sampleGroups(z)
		first := s.startIndex(len(sample))
		for i := range sample {
			r, score := s.scoreGroup(sample[(first+i)%len(sample)])
			if r != nil && (best == nil || score < bestScore) {
				best, bestScore = r, score
			}
		}
		if best != nil || len(z.groups) <= sampleSize {
			break
		}
	}
	return best
}

// scoreGroup returns a group's least loaded usable replica, and the cost of placing
// the attempt there, or nil if no replica is usable. The cost is the replica's load
// with the attempt plus a share of the group's greatest load, because all members
// advance at the pace of the slowest.
func (s *search) scoreGroup(g *group) (*replica, float64) {
	var best *replica
	var least, greatest float64
	first := s.startIndex(len(g.members))
	for i := range g.members {
		r := g.members[(first+i)%len(g.members)]
		load := r.load(s.now)
		greatest = max(greatest, load)
		if !s.usable(r) {
			continue
		}
		s.candidates++
		if weighted := load / r.slowStartFactor(s.now); best == nil || weighted < least {
			best, least = r, weighted
		}
	}
	if best == nil {
		return nil, 0
	}
	load := best.load(s.now) + s.size()
	return best, (load + groupLoadWeight*max(greatest, load)) * best.latencyPenalty() / best.slowStartFactor(s.now)
}

// leastLoaded returns the least loaded replica of a zone that is not full, or nil.
// It is used when sampling found none. An ejected replica, or one reserved for an
// isolated attempt, is better than none; one that has already failed the request is
// not.
func (s *search) leastLoaded(z *zonePool, full func(*replica, time.Time) bool) *replica {
	var best *replica
	var least float64
	for _, r := range z.replicas {
		if full(r, s.now) || s.excluded(r) {
			continue
		}
		s.candidates++
		load := r.load(s.now) + s.penalty(r, z)
		if best == nil || load < least {
			best, least = r, load
		}
	}
	return best
}

// penalty is added to the load of reserved and ejected replicas, so that they rank
// behind all others.
func (s *search) penalty(r *replica, z *zonePool) float64 {
	aboveAll := 1 + 2*z.pool.inAttempts(z.ownWork.addScaled(z.otherWork, 1))
	penalty := 0.0
	if r.reserved {
		penalty += aboveAll
	}
	if r.ejected(s.now) {
		penalty += 2 * aboveAll
	}
	return penalty
}

// selectIsolated selects the least busy replica that is not reserved for another
// isolated attempt, in the local zone if possible. If all are reserved, the attempt
// shares a replica.
func (s *search) selectIsolated(p *pool) selection {
	var best, shared *replica
	for _, z := range p.zones {
		if !s.reachable(z) {
			continue
		}
		for _, r := range z.replicas {
			if r.ejected(s.now) || s.excluded(r) {
				continue
			}
			s.candidates++
			if shared == nil || s.lessBusy(r, shared) {
				shared = r
			}
			if !r.reserved && (best == nil || s.lessBusy(r, best)) {
				best = r
			}
		}
	}
	if best != nil {
		return selection{replica: best, reason: ReasonIsolated, isolated: true}
	}
	return selection{replica: shared, reason: ReasonIsolatedCrowded}
}

// lessBusy reports whether x suits an isolated attempt better than y: a replica of the
// local zone first, then the one with fewer attempts in flight, then the less
// loaded.
func (s *search) lessBusy(x, y *replica) bool {
	if xLocal, yLocal := x.zone.name == s.router.zone, y.zone.name == s.router.zone; xLocal != yLocal {
		return xLocal
	}
	if a, b := x.inFlight(), y.inFlight(); a != b {
		return a < b
	}
	return x.load(s.now) < y.load(s.now)
}

// inFlight returns the attempts in flight: this entry's own or the reported number,
// whichever is higher.
func (r *replica) inFlight() int {
	return max(int(r.ownWork.attempts), r.server.Load.Running)
}
