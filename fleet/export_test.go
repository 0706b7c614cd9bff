package fleet

import "filberttrack.example/track"

// All returns all replicas that are listed, draining ones included.
func (f *Fleet) All() []track.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]track.Replica, 0, len(f.replicas))
	for _, m := range f.replicas {
		all = append(all, m.replica)
	}
	return all
}
