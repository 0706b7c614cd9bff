package batch

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"filberttrack.example/track"
)

const (
	// countsDelay is the time after which a request shows in the counts that all other entries have of it:
	// one interval between messages within a zone, two between zones, and the way.
	countsDelay = 250 * time.Millisecond
	// maxOverfill is the number of requests beyond its limit up to which a replica gets requests from the owner of
	// one of its slots, while another entry still uses that slot.
	maxOverfill = 1
	// lentAdvantage is the multiple of another replica's load, or more, that the replicas with an own slot must have for
	// the other one to be preferred.
	lentAdvantage = 2.0
)

// slotPlan divides the slots of a service's replicas among the entries, without messages and without a
// coordinator. All slots stand in one order, which is the same at all entries: by zone, and within a zone one
// slot of each replica after the other. Each entry owns the slots in its share of that order (see
// permit.Share). The shares are in proportion to the demand and ordered by zone, too, so that an entry owns
// slots of its own zone, one on each of many replicas, and slots of another zone as far as the demand of its
// own exceeds its replicas.
//
// An entry may always use the slots that it owns. It uses further slots as long as what it knows of the other
// entries, and what they may have sent since, leaves room. Without the plan, entries that send at the
// same time overfill replicas by up to eight requests of ten under three times the usual demand, since each
// knows of the others' requests with a delay; these requests then wait inside the engine and are late.
type slotPlan struct {
	// zones holds the replicas by zone, in the order of the slots.
	zones []zoneSlots
	// total is the number of slots of all zones.
	total int
	// first and end limit the positions that this entry owns.
	first, end int
	// owned holds the slots that this entry owns on each replica.
	owned map[track.ReplicaID]ownSlots
}

// ownSlots is the slots of a replica that an entry owns: count slots from the given one on, of which the first is 0.
type ownSlots struct {
	first, count int
}

// zoneSlots holds the replicas of a zone, ordered by a hash of their IDs: replicas that join together have IDs that
// follow each other, and no entry should own the slots of all of them.
type zoneSlots struct {
	replicas []*replica
	// slots is the largest number of slots of a replica.
	slots int
}

// needsSlotPlan reports whether the entries divide the slots as soon as they know their shares. With fewer
// entries than a replica has slots, what entries don't know of each other is less than a batch, and the
// counts that they exchange suffice.
func (p *Pool) needsSlotPlan() bool {
	return p.engine != nil && p.engine.Slots > 0 && p.options.Entries() > p.engine.Slots
}

func (p *Pool) dividesSlots() bool {
	return p.shareKnown && p.needsSlotPlan()
}

// DividesSlots reports whether the entries divide the slots of the replicas among them.
func (p *Pool) DividesSlots() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dividesSlots()
}

// NeedsShare reports whether the pool's decisions depend on SetShare.
func (p *Pool) NeedsShare() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.needsSlotPlan() || p.coldReplicas(p.options.Clock.Now()) > 0
}

// SlotUse is an entry's use of the slots that the entries divide.
type SlotUse struct {
	// Owned is the number of slots that this entry owns; 0 while the slots aren't divided.
	Owned int
	// LentRequests is the number of requests so far that used a slot of another entry.
	LentRequests uint64
}

// SlotUse returns this entry's use of the slots.
func (p *Pool) SlotUse() SlotUse {
	p.mu.Lock()
	defer p.mu.Unlock()
	use := SlotUse{LentRequests: p.lentRequests}
	if p.dividesSlots() && p.plan != nil {
		use.Owned = max(p.plan.end-p.plan.first, 0)
	}
	return use
}

// layOutSlots orders the slots of all replicas that may get requests.
func (p *Pool) layOutSlots() *slotPlan {
	plan := &slotPlan{first: -1}
	byZone := make(map[track.AvailabilityZone]*zoneSlots)
	var names []track.AvailabilityZone
	for _, r := range p.replicas {
		if !r.usable() {
			continue
		}
		z := byZone[r.Zone]
		if z == nil {
			z = &zoneSlots{}
			byZone[r.Zone] = z
			names = append(names, r.Zone)
		}
		z.replicas = append(z.replicas, r)
		z.slots = max(z.slots, r.slotCount())
	}
	slices.Sort(names)
	for _, name := range names {
		z := byZone[name]
		slices.SortFunc(z.replicas, func(a, b *replica) int {
			return cmp.Or(cmp.Compare(a.slotOrder(), b.slotOrder()), cmp.Compare(a.ID, b.ID))
		})
		plan.zones = append(plan.zones, *z)
		plan.total += z.slots * len(z.replicas)
	}
	return plan
}

// slotOrder returns the hash of the replica's ID by which the slots of a zone are ordered.
func (r *replica) slotOrder() uint64 {
	if r.idHash == 0 {
		sum := sha256.Sum256([]byte(r.ID))
		r.idHash = binary.BigEndian.Uint64(sum[:])
	}
	return r.idHash
}

// ownSlots returns the slots that this entry owns on the replica.
func (p *Pool) ownSlots(r *replica) ownSlots {
	if p.plan == nil {
		p.plan = p.layOutSlots()
	}
	first := int(math.Round(p.share.From * float64(p.plan.total)))
	end := int(math.Round((p.share.From + p.share.Width) * float64(p.plan.total)))
	if first != p.plan.first || end != p.plan.end {
		p.plan.assign(first, end)
	}
	return p.plan.owned[r.ID]
}

// assign records the entry that owns the positions [first, end) as this one.
func (s *slotPlan) assign(first, end int) {
	s.first, s.end = first, end
	s.owned = make(map[track.ReplicaID]ownSlots, end-first)
	start := 0
	for _, z := range s.zones {
		size := z.slots * len(z.replicas)
		for i := max(first, start); i < min(end, start+size); i++ {
			r, slot := z.replicas[(i-start)%len(z.replicas)], (i-start)/len(z.replicas)
			own, known := s.owned[r.ID]
			if !known {
				own.first = slot
			}
			if slot < r.slotCount() {
				own.count++
			}
			s.owned[r.ID] = own
		}
		start += size
	}
}

// hasOwnSlot reports whether the replica has a free slot that this entry owns. The slots of a replica fill up
// from the first: the owner of a later one leaves a nearly empty replica to the owners of the first ones, since
// a replica that gets many requests at once reads many prompts, which makes the passes of its group longer.
func (p *Pool) hasOwnSlot(r *replica) bool {
	own := p.ownSlots(r)
	limit := p.limit(r)
	used := r.ownInFlight.Running
	return used < min(own.count, limit) && r.load() < limit+maxOverfill && r.load() > own.first+used-maxStarting
}

// keepLendable keeps those candidates that have room for certain. Idle replicas are left to the owners of their
// first slots, unless there is no other one. An entry without a request on any replica may use all candidates: its
// share may be smaller than a slot, and then its estimate of the other entries' requests is too high to leave any.
func (p *Pool) keepLendable(now time.Time) {
	if len(p.ownCandidates) == 0 && !p.anyOwnInFlight() {
		return
	}
	unseen := p.unseenRequests(len(p.candidates), now)
	isFull := func(r *replica) bool { return r.load()+p.unseenAt(r, unseen) >= p.limit(r) }
	isIdle := func(r *replica) bool { return r.load() == 0 && !r.permitsCold }
	p.candidates = slices.DeleteFunc(p.candidates, isFull)
	if len(p.ownCandidates) > 0 || slices.ContainsFunc(p.candidates, func(r *replica) bool { return !isIdle(r) }) {
		p.candidates = slices.DeleteFunc(p.candidates, isIdle)
	}
}

// anyOwnInFlight reports whether a request of this entry is on a replica.
func (p *Pool) anyOwnInFlight() bool {
	for _, r := range p.replicas {
		if r.ownInFlight.Running > 0 {
			return true
		}
	}
	return false
}

// unseenRequests estimates the requests on one replica that other entries have sent and of which this one
// doesn't know yet: the mean, and two standard deviations more. The given number of replicas have room, and all
// entries send to these.
func (p *Pool) unseenRequests(replicas int, now time.Time) int {
	others := max(p.demand.at(now), p.surge.at(now)) * (1 - p.share.Width) / p.share.Width
	mean := others * countsDelay.Seconds() / float64(max(replicas, 1))
	return int(math.Ceil(mean + 2*math.Sqrt(mean)))
}
