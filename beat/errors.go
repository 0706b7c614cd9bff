package beat

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// UnknownTopic means that no handler is registered for a topic.
	UnknownTopic Kind = iota
	// TooLarge means that a fetch request or its response exceeds track.MaxFetchBytes.
	TooLarge
	// UnknownPeer means that no peer with the ID is known.
	UnknownPeer
)

var kindNames = [...]string{UnknownTopic: "unknown topic", TooLarge: "too large", UnknownPeer: "unknown peer"}

// String returns the kind in lower case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error of this package.
type Error = track.OpError[Kind]
