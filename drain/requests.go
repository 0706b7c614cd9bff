package drain

import (
	"slices"
	"sync"

	"filberttrack.example/track"
)

// Requests tracks the requests in progress. The zero value has none. It is safe for
// concurrent use.
type Requests struct {
	mu sync.Mutex
	// open holds how often each request in progress was begun and not yet ended, len
	// the sum.
	open map[track.RequestID]int
	len  int
}

// Begin records that work on a request begins. The caller must call end when it ends;
// further calls of end have no effect.
func (r *Requests) Begin(id track.RequestID) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = make(map[track.RequestID]int)
	}
	r.open[id]++
	r.len++
	return sync.OnceFunc(func() { r.end(id) })
}

func (r *Requests) end(id track.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[id]--
	r.len--
	if r.open[id] == 0 {
		delete(r.open, id)
	}
}

// Len returns the number of requests in progress, where a request counts as often as
// it was begun.
func (r *Requests) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.len
}

// Open returns the IDs of the requests in progress, each once, in ascending order.
func (r *Requests) Open() []track.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]track.RequestID, 0, len(r.open))
	for id := range r.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
