package drain

import (
	"slices"
	"sync"

	"filberttrack.example/track"
)

// Requests counts the requests in progress. The zero value holds none.
type Requests struct {
	mu   sync.Mutex
	open map[track.RequestID]int
	len  int
}

// Begin notes that work on a request begins. Call the result once when it ends.
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

// Len returns the number of pieces of work in progress. A request counts as
// often as it was begun.
func (r *Requests) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.len
}

// Open returns the requests in progress, sorted.
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
