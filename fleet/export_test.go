package fleet

import "filberttrack.example/track"

// All returns all known replicas, draining ones included.
func (f *ReplicaList) All() []track.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]track.Replica, 0, len(f.replicas))
	for _, listed := range f.replicas {
		all = append(all, listed.replica)
	}
	return all
}
