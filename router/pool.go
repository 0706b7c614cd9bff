package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
)

// pool holds the replicas of one target, by zone.
type pool struct {
	areas     []*area
	firstByte float64
	// tokens is the mean number of tokens of an attempt.
	tokens float64
}

// weigh returns an amount of work in attempts of mean size: half by number, half
// by tokens.
func (p *pool) weigh(a amount) float64 {
	return (a.attempts + a.tokens/max(p.tokens, 1)) / 2
}

// area holds the replicas of one target in one zone.
type area struct {
	pool     *pool
	zone     track.AvailabilityZone
	replicas []*replica
	groups   []*group
	ring     []point
	// own and foreign are sums over the replicas.
	own     amount
	foreign amount
	// oldest is the greatest age of a replica that is in, in parts of slowStart.
	oldest float64
	// slots is the sum of the windows that are in, as of slotsAt.
	slots   int
	slotsAt time.Time
	// reported is the use of the replicas as they report it, 0 to 1 and above.
	reported float64
}

// group is a rank group: its replicas advance at the pace of the slowest. A
// replica outside a group is a group of its own.
type group struct {
	members []*replica
}

// point is a place on the ring of homes.
type point struct {
	hash    uint64
	replica *replica
}

func (p *pool) area(zone track.AvailabilityZone) *area {
	for _, a := range p.areas {
		if a.zone == zone {
			return a
		}
	}
	return nil
}

// mayEject reports whether one more replica of the pool may be ejected.
func (p *pool) mayEject(now time.Time) bool {
	out, all := 1, 0
	for _, a := range p.areas {
		all += len(a.replicas)
		for _, r := range a.replicas {
			if r.ejected(now) {
				out++
			}
		}
	}
	return float64(out) <= maxEjectedShare*float64(all)
}

func (a *area) meanForeign() amount {
	return amount{}.plus(a.foreign, 1/float64(max(len(a.replicas), 1)))
}

func (a *area) meanLoad() float64 {
	return a.pool.weigh(a.own.plus(a.foreign, 1)) / float64(max(len(a.replicas), 1))
}

// use returns the part of the area's slots that is taken, as seen here or as
// reported, whichever is higher.
func (a *area) use(now time.Time) float64 {
	slots := a.sumSlots(now)
	if slots == 0 {
		return 1
	}
	return max(a.own.attempts/float64(slots), a.reported)
}

// sumSlots returns the sum of the windows that are in, not older than slotsAge.
func (a *area) sumSlots(now time.Time) int {
	if now.Sub(a.slotsAt) < slotsAge {
		return a.slots
	}
	a.slots, a.slotsAt, a.oldest = 0, now, startShare
	for _, r := range a.replicas {
		if !r.ejected(now) {
			a.oldest = max(a.oldest, r.age(now))
		}
	}
	for _, r := range a.replicas {
		if !r.ejected(now) {
			a.slots += r.slots(now)
		}
	}
	return a.slots
}

// build arranges the replicas in groups and on the ring, in an order that all
// entries agree on.
func (a *area) build() {
	slices.SortFunc(a.replicas, func(x, y *replica) int {
		return cmp.Compare(x.server.Agent, y.server.Agent)
	})
	named := make(map[string]*group)
	a.groups, a.ring = nil, nil
	for _, r := range a.replicas {
		g, ok := named[r.server.Group]
		if !ok || r.server.Group == "" {
			g = &group{}
			a.groups = append(a.groups, g)
			named[r.server.Group] = g
		}
		g.members = append(g.members, r)
		r.group = g
		hash := xxhash.Sum64String(string(r.server.Agent))
		for range ringPoints {
			hash = mix(hash)
			a.ring = append(a.ring, point{hash, r})
		}
	}
	slices.SortFunc(a.ring, func(x, y point) int { return cmp.Compare(x.hash, y.hash) })
}

// sum takes the sums over the replicas anew.
func (a *area) sum() {
	a.own, a.foreign = amount{}, amount{}
	a.slotsAt = time.Time{}
	busy, capacity := 0, 0
	for _, r := range a.replicas {
		a.own = a.own.plus(r.own, 1)
		a.foreign = a.foreign.plus(r.foreign, 1)
		busy += r.server.Load.Running + r.server.Load.Queued
		capacity += r.server.Load.Capacity
	}
	a.reported = float64(busy) / float64(max(capacity, 1))
}

// home returns the replica that a hash belongs to.
func (a *area) home(hash uint64) *replica {
	at, _ := slices.BinarySearchFunc(a.ring, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	return a.ring[at%len(a.ring)].replica
}

// mix returns a hash that is independent of the given one.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
