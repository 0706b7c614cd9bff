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
	zones []*zonePool
	// meanFirstByte is the moving average of the time to the first byte, in s.
	meanFirstByte float64
	// meanTokens is the moving average of the tokens of an attempt.
	meanTokens float64
}

// inAttempts converts work in flight to a number of attempts of mean size. The
// number of attempts and their tokens count half each.
func (p *pool) inAttempts(w workload) float64 {
	return (w.attempts + w.tokens/max(p.meanTokens, 1)) / 2
}

// zonePool holds the replicas of one target in one zone.
type zonePool struct {
	pool     *pool
	name     track.AvailabilityZone
	replicas []*replica
	groups   []*group
	ring     []ringPoint
	// ownWork and otherWork are the sums over the replicas.
	ownWork   workload
	otherWork workload
	// maxProgress is the greatest slow start progress of the replicas that are not
	// ejected.
	maxProgress float64
	// slots is the sum of the concurrency windows of the replicas that were not
	// ejected at slotsAt.
	slots   int
	slotsAt time.Time
	// reportedUtilization is the utilization by the replicas' own reports: running
	// and queued attempts over capacity. It exceeds 1 when many are queued.
	reportedUtilization float64
}

// group is a rank group: its replicas advance at the pace of the slowest. A
// replica without a rank group forms a group of its own.
type group struct {
	members []*replica
}

// ringPoint is a position of a replica on the consistent hash ring.
type ringPoint struct {
	hash    uint64
	replica *replica
}

func (p *pool) inZone(zone track.AvailabilityZone) *zonePool {
	for _, z := range p.zones {
		if z.name == zone {
			return z
		}
	}
	return nil
}

// mayEject reports whether one more replica of the pool may be ejected.
func (p *pool) mayEject(now time.Time) bool {
	ejected, total := 1, 0
	for _, z := range p.zones {
		total += len(z.replicas)
		for _, r := range z.replicas {
			if r.ejected(now) {
				ejected++
			}
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(total)
}

func (z *zonePool) meanOtherWork() workload {
	return workload{}.addScaled(z.otherWork, 1/float64(max(len(z.replicas), 1)))
}

func (z *zonePool) meanLoad() float64 {
	return z.pool.inAttempts(z.ownWork.addScaled(z.otherWork, 1)) / float64(max(len(z.replicas), 1))
}

// utilization returns the share of the zone's slots that is taken, by this
// entry's own attempts or by the replicas' reports, whichever is higher. It is 1
// if the zone has no slots.
func (z *zonePool) utilization(now time.Time) float64 {
	slots := z.totalSlots(now)
	if slots == 0 {
		return 1
	}
	return max(z.ownWork.attempts/float64(slots), z.reportedUtilization)
}

// totalSlots returns the sum of the windows of the replicas that are not ejected.
// The result may be up to maxSlotsAge old.
func (z *zonePool) totalSlots(now time.Time) int {
	if now.Sub(z.slotsAt) < maxSlotsAge {
		return z.slots
	}
	z.slots, z.slotsAt, z.maxProgress = 0, now, minSlowStart
	for _, r := range z.replicas {
		if !r.ejected(now) {
			z.maxProgress = max(z.maxProgress, r.slowStartProgress(now))
		}
	}
	for _, r := range z.replicas {
		if !r.ejected(now) {
			z.slots += r.slots(now)
		}
	}
	return z.slots
}

// rebuild arranges the replicas in rank groups and on the hash ring. It sorts them
// first, so that all entries arrive at the same order.
func (z *zonePool) rebuild() {
	slices.SortFunc(z.replicas, func(x, y *replica) int {
		return cmp.Compare(x.server.Agent, y.server.Agent)
	})
	byName := make(map[string]*group)
	z.groups, z.ring = nil, nil
	for _, r := range z.replicas {
		g, ok := byName[r.server.Group]
		if !ok || r.server.Group == "" {
			g = &group{}
			z.groups = append(z.groups, g)
			byName[r.server.Group] = g
		}
		g.members = append(g.members, r)
		r.group = g
		hash := xxhash.Sum64String(string(r.server.Agent))
		for range ringPoints {
			hash = rehash(hash)
			z.ring = append(z.ring, ringPoint{hash, r})
		}
	}
	slices.SortFunc(z.ring, func(x, y ringPoint) int { return cmp.Compare(x.hash, y.hash) })
}

// updateTotals recomputes the sums over the replicas. The sum of the slots is
// recomputed at its next use.
func (z *zonePool) updateTotals() {
	z.ownWork, z.otherWork = workload{}, workload{}
	z.slotsAt = time.Time{}
	busy, capacity := 0, 0
	for _, r := range z.replicas {
		z.ownWork = z.ownWork.addScaled(r.ownWork, 1)
		z.otherWork = z.otherWork.addScaled(r.otherWork, 1)
		busy += r.server.Load.Running + r.server.Load.Queued
		capacity += r.server.Load.Capacity
	}
	z.reportedUtilization = float64(busy) / float64(max(capacity, 1))
}

// home returns the replica that owns a hash on the ring.
func (z *zonePool) home(hash uint64) *replica {
	i, _ := slices.BinarySearchFunc(z.ring, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	return z.ring[i%len(z.ring)].replica
}

// rehash derives another, independent hash from the given one. It is the finalizer
// of MurmurHash3.
func rehash(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
