package beat

import "filberttrack.example/track"

// RegularPeers returns the peers that this instance calls regularly: the other live entries of
// its own zone, and the preferred entry of each other zone, which it asks for digests.
func (x *Exchange) RegularPeers() []track.Instance {
	x.mu.Lock()
	defer x.mu.Unlock()
	var nearby []track.Instance
	for _, e := range x.state.Entries() {
		if i, ok := x.state.Find(e.ID); ok && e.ID != x.options.Self.ID {
			nearby = append(nearby, i)
		}
	}
	for _, z := range x.state.DigestTargets() {
		nearby = append(nearby, z.Entries[0])
	}
	return nearby
}

// KnownInstances returns all other instances that this one knows of and may call.
func (x *Exchange) KnownInstances() []track.Instance {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Known()
}
