package beat

import "filberttrack.example/track"

// Nearby returns the peers that an instance asks regularly: the live entries of
// the own zone, and the entry of each other zone that is asked for digests.
func (x *Exchange) Nearby() []track.Instance {
	x.mu.Lock()
	defer x.mu.Unlock()
	var near []track.Instance
	for _, e := range x.state.Entries() {
		if i, ok := x.state.Find(e.ID); ok && e.ID != x.options.Self.ID {
			near = append(near, i)
		}
	}
	for _, z := range x.state.ZoneContacts() {
		near = append(near, z.Entries[0])
	}
	return near
}

// Known returns all other instances that this one knows of and may talk to.
func (x *Exchange) Known() []track.Instance {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Known()
}
