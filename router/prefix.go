package router

import "filberttrack.example/track"

// prefixHolders are the two replicas that were last added as having a prompt prefix
// cached, the latest first.
type prefixHolders [2]*replica

// prefixTable records which replicas have a prompt prefix cached. When the table
// is full, a new prefix replaces the one that was added first.
type prefixTable struct {
	holders map[uint64]prefixHolders
	// order lists the prefixes in the order in which they were added, as a ring
	// buffer; next is the index of the oldest.
	order []uint64
	next  int
}

func newPrefixTable() *prefixTable {
	return &prefixTable{holders: make(map[uint64]prefixHolders, maxPrefixes), order: make([]uint64, maxPrefixes)}
}

// add records that a replica has the prefix cached.
func (p *prefixTable) add(prefix uint64, r *replica) {
	h, known := p.holders[prefix]
	if h[0] == r || h[1] == r {
		return
	}
	if !known {
		delete(p.holders, p.order[p.next])
		p.order[p.next] = prefix
		p.next = (p.next + 1) % len(p.order)
	}
	p.holders[prefix] = prefixHolders{r, h[0]}
}

// addQuery records that a replica is about to cache the longest prefixes of a
// request.
func (p *prefixTable) addQuery(q *track.RoutingQuery, r *replica) {
	for _, prefix := range q.Prefixes[max(len(q.Prefixes)-maxRecorded, 0):] {
		p.add(prefix, r)
	}
}

// lookup returns the holders of the longest known prefix of a request, and the
// share of the prompt that it covers, 0 to 1.
func (p *prefixTable) lookup(q *track.RoutingQuery) (prefixHolders, float64) {
	n := len(q.Prefixes)
	for i := n - 1; i >= max(n-maxLookups, 0); i-- {
		if h, ok := p.holders[q.Prefixes[i]]; ok {
			return h, float64(i+1) / float64(n)
		}
	}
	return prefixHolders{}, 0
}
