package router

import "filberttrack.example/track"

// holders are the replicas that last had a prompt prefix in their cache.
type holders [2]*replica

// prefixes remembers where prompt prefixes are cached. The oldest ones are
// forgotten.
type prefixes struct {
	where map[uint64]holders
	order []uint64
	next  int
}

func newPrefixes() *prefixes {
	return &prefixes{where: make(map[uint64]holders, maxPrefixes), order: make([]uint64, maxPrefixes)}
}

// note remembers that a replica holds the prefix.
func (p *prefixes) note(prefix uint64, r *replica) {
	h, known := p.where[prefix]
	if h[0] == r || h[1] == r {
		return
	}
	if !known {
		delete(p.where, p.order[p.next])
		p.order[p.next] = prefix
		p.next = (p.next + 1) % len(p.order)
	}
	p.where[prefix] = holders{r, h[0]}
}

// record remembers the longest prefixes of a request.
func (p *prefixes) record(q *track.Query, r *replica) {
	for _, prefix := range q.Prefixes[max(len(q.Prefixes)-maxRecorded, 0):] {
		p.note(prefix, r)
	}
}

// find returns the holders of the longest known prefix, and the part of the
// prompt that it covers.
func (p *prefixes) find(q *track.Query) (holders, float64) {
	n := len(q.Prefixes)
	for i := n - 1; i >= max(n-maxLookups, 0); i-- {
		if h, ok := p.where[q.Prefixes[i]]; ok {
			return h, float64(i+1) / float64(n)
		}
	}
	return holders{}, 0
}
