package boot

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
)

// noPeers is the view of an instance that knows no other.
type noPeers struct{}

// Contacts implements track.ConfigPeers.
func (noPeers) Contacts() []track.ConfigContact { return nil }

// randomSeed returns a seed that differs between instances and starts.
func randomSeed(id track.InstanceID, started time.Time) uint64 {
	return xxhash.Sum64String(fmt.Sprint(id, started.UnixNano()))
}
