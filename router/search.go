package router

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
)

const (
	// choices is the number of groups that are weighed.
	choices = 3
	// redraws bounds the draws before all replicas are scanned.
	redraws = 2
)

// search is one routing decision.
type search struct {
	router  *Router
	query   *track.Query
	pool    *pool
	now     time.Time
	weighed int
}

// found is the result of a search; its replica is nil if there is none.
type found struct {
	replica  *replica
	reason   string
	isolated bool
}

func (s *search) tokens() int {
	return max(s.query.Tokens, 1)
}

// size returns the weight of the attempt, in attempts of mean size.
func (s *search) size() float64 {
	return s.pool.weigh(amount{1, float64(s.tokens())})
}

// take charges the attempt to the replica that was found.
func (s *search) take(f found) (track.Choice, error) {
	if f.replica == nil {
		return track.Choice{}, s.none()
	}
	f.replica.charge(s.tokens(), 1)
	f.replica.area.pool.tokens = average(f.replica.area.pool.tokens, float64(s.tokens()))
	if f.isolated {
		f.replica.suspect = true
	}
	s.router.prefixes.record(s.query, f.replica)
	return track.Choice{
		Server: f.replica.server, Reason: f.reason, Candidates: s.weighed, Tokens: s.tokens(), Isolated: f.isolated,
	}, nil
}

// none returns why no replica was found.
func (s *search) none() error {
	failure := errNoReplica
	for _, a := range s.pool.areas {
		if !s.reachable(a) {
			continue
		}
		for _, r := range a.replicas {
			if !s.excluded(r) {
				return errFull
			}
			failure = errTried
		}
	}
	return failure
}

// usable reports whether a replica may take the attempt.
func (s *search) usable(r *replica) bool {
	return r != nil && !r.gone && !r.suspect && !r.ejected(s.now) && !r.full(s.now) && !s.excluded(r)
}

func (s *search) excluded(r *replica) bool {
	for _, id := range s.query.Excluded {
		if id == r.server.Agent {
			return true
		}
	}
	return false
}

// usableArea reports whether the area has a replica that is in.
func (s *search) usableArea(a *area) bool {
	for _, r := range a.replicas {
		if !r.ejected(s.now) && !s.excluded(r) {
			return true
		}
	}
	return false
}

// nearlyIdle reports whether the area certainly needs no help: less than half
// used as reported, and less than one attempt a replica from here.
func (a *area) nearlyIdle() bool {
	return a.reported < spillAt/2 && int(a.own.attempts) < len(a.replicas)
}

// nearest chooses a replica of the local zone; of another one if the local zone
// is short; of any within reach that has room if both are full.
func (s *search) nearest(p *pool) found {
	local := p.area(s.router.zone)
	chosen := local
	if local == nil || !local.nearlyIdle() || !s.usableArea(local) {
		if away := s.spill(p, local); away != nil {
			chosen = away
		}
	}
	f := s.anywhere(p, chosen, s.within)
	if f.replica == nil {
		f = s.anywhere(p, chosen, s.beyond)
	}
	if f.replica != nil && f.replica.area != local {
		f.reason = ReasonSpill
	}
	return f
}

// anywhere searches the chosen zone, and then the others within reach.
func (s *search) anywhere(p *pool, chosen *area, look func(*area) found) found {
	if chosen != nil {
		if f := look(chosen); f.replica != nil {
			return f
		}
	}
	for _, a := range p.areas {
		if a == chosen || !s.reachable(a) {
			continue
		}
		if f := look(a); f.replica != nil {
			return f
		}
	}
	return found{}
}

func (s *search) reachable(a *area) bool {
	return a.zone == s.router.zone || !s.router.reach.CutOff(a.zone)
}

// spill returns the least used zone within reach, if the attempt is to go there.
// While the local zone is short, it is the part of the attempts that would bring
// the two zones level; all of them at once would only move the shortage.
func (s *search) spill(p *pool, local *area) *area {
	usable := local != nil && s.usableArea(local)
	use := math.Inf(1)
	if usable {
		use = local.use(s.now)
	}
	if use < spillAt {
		return nil
	}
	var best *area
	least := use
	for _, a := range p.areas {
		if a == local || !s.usableArea(a) || !s.reachable(a) {
			continue
		}
		if u := a.use(s.now); u < least {
			best, least = a, u
		}
	}
	if usable && s.router.rng.Float64() >= (use-least)/(2*use) {
		return nil
	}
	return best
}

// within chooses a replica of one zone.
func (s *search) within(a *area) found {
	if f := s.affine(a); f.replica != nil {
		return f
	}
	if r := s.twoChoices(a); r != nil {
		return found{replica: r, reason: ReasonChoices}
	}
	return found{replica: s.scan(a, (*replica).full), reason: ReasonScan}
}

// beyond chooses a replica of one zone a little beyond its window, as windows may
// have shrunk since the request was admitted.
func (s *search) beyond(a *area) found {
	return found{replica: s.scan(a, (*replica).overfull), reason: ReasonBeyond}
}

// affine chooses a replica for its prompt cache, unless it is too busy.
func (s *search) affine(a *area) found {
	n := len(s.query.Prefixes)
	if n == 0 || len(a.ring) == 0 {
		return found{}
	}
	held, covered := s.router.prefixes.find(s.query)
	saved := covered * s.size()
	if r := s.lighter(a, held[0], held[1], saved); r != nil {
		return found{replica: r, reason: ReasonCached}
	}
	hash := mix(s.query.Prefixes[min(n, homeDepth)-1])
	if r := s.lighter(a, a.home(hash), a.home(mix(hash)), 0); r != nil {
		return found{replica: r, reason: ReasonHome}
	}
	return found{}
}

// lighter returns the less loaded of two replicas, if its load is within the
// bound for affinity. The bound tightens as the zone fills up: a cached prefix
// saves a fixed time, while the wait for a slot grows without limit.
func (s *search) lighter(a *area, x, y *replica, saved float64) *replica {
	spare := max(1-a.use(s.now), 0)
	bound := (1+affinitySlack*spare)*a.meanLoad() + spare*saved + s.size()
	var best *replica
	for _, r := range [...]*replica{x, y} {
		if !s.usable(r) || r.area != a {
			continue
		}
		s.weighed++
		if after := (r.load(s.now) + s.size()) * r.latency() / r.ramp(s.now); after <= bound {
			best, bound = r, after
		}
	}
	return best
}

// draw returns the groups to weigh: a few at random, or all if there are no more.
func (s *search) draw(a *area) []*group {
	if len(a.groups) <= choices {
		return a.groups
	}
	drawn := s.router.drawn[:0]
	for range choices {
		drawn = append(drawn, a.groups[s.router.rng.IntN(len(a.groups))])
	}
	return drawn
}

// start returns where to begin among n equals. It is the same for all attempts at
// a request.
func (s *search) start(n int) int {
	return int(xxhash.Sum64String(string(s.query.Request)) % uint64(n))
}

// twoChoices returns the best replica of a few groups, or nil if none of them has
// a usable one. It begins anywhere, so that a tie falls to each alike.
func (s *search) twoChoices(a *area) *replica {
	if len(a.groups) == 0 {
		return nil
	}
	var best *replica
	var bestScore float64
	for range redraws {
		drawn := s.draw(a)
		first := s.start(len(drawn))
		for i := range drawn {
			r, score := s.score(drawn[(first+i)%len(drawn)])
			if r != nil && (best == nil || score < bestScore) {
				best, bestScore = r, score
			}
		}
		if best != nil || len(a.groups) <= choices {
			break
		}
	}
	return best
}

// score returns a group's least loaded usable replica, and the cost of placing
// the attempt there: the replica's load after that, and a share of the slowest
// member's, at whose pace all advance.
func (s *search) score(g *group) (*replica, float64) {
	var best *replica
	var least, greatest float64
	first := s.start(len(g.members))
	for i := range g.members {
		r := g.members[(first+i)%len(g.members)]
		load := r.load(s.now)
		greatest = max(greatest, load)
		if !s.usable(r) {
			continue
		}
		s.weighed++
		if weighted := load / r.ramp(s.now); best == nil || weighted < least {
			best, least = r, weighted
		}
	}
	if best == nil {
		return nil, 0
	}
	after := best.load(s.now) + s.size()
	return best, (after + groupShare*max(greatest, after)) * best.latency() / best.ramp(s.now)
}

// scan returns the least loaded replica that has room, when sampling found none.
// An ejected replica, or one with a suspect, is better than none; one that
// already failed the request is not.
func (s *search) scan(a *area, full func(*replica, time.Time) bool) *replica {
	var best *replica
	var least float64
	for _, r := range a.replicas {
		if full(r, s.now) || s.excluded(r) {
			continue
		}
		s.weighed++
		load := r.load(s.now) + s.penalty(r, a)
		if best == nil || load < least {
			best, least = r, load
		}
	}
	return best
}

// penalty ranks the replicas that are not usable behind all that are.
func (s *search) penalty(r *replica, a *area) float64 {
	worst := 1 + 2*a.pool.weigh(a.own.plus(a.foreign, 1))
	penalty := 0.0
	if r.suspect {
		penalty += worst
	}
	if r.ejected(s.now) {
		penalty += 2 * worst
	}
	return penalty
}

// isolated chooses a replica without a suspect, as idle as there is, in the
// local zone if possible. With none left, the suspect shares one.
func (s *search) isolated(p *pool) found {
	var best, crowded *replica
	for _, a := range p.areas {
		if !s.reachable(a) {
			continue
		}
		for _, r := range a.replicas {
			if r.ejected(s.now) || s.excluded(r) {
				continue
			}
			s.weighed++
			if crowded == nil || s.idler(r, crowded) {
				crowded = r
			}
			if !r.suspect && (best == nil || s.idler(r, best)) {
				best = r
			}
		}
	}
	if best != nil {
		return found{replica: best, reason: ReasonIsolated, isolated: true}
	}
	return found{replica: crowded, reason: ReasonCrowded}
}

// idler reports whether x suits an isolated attempt better than y.
func (s *search) idler(x, y *replica) bool {
	if near, other := x.area.zone == s.router.zone, y.area.zone == s.router.zone; near != other {
		return near
	}
	if a, b := x.busy(), y.busy(); a != b {
		return a < b
	}
	return x.load(s.now) < y.load(s.now)
}

// busy returns the attempts in flight, from here or as reported.
func (r *replica) busy() int {
	return max(int(r.own.attempts), r.server.Load.Running)
}
