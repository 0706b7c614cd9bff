package config

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Unknown means that the verdict on a change could not be read; the change
	// may still be accepted.
	Unknown Kind = iota
	// Invalid means that a change or the data of a peer is not valid.
	Invalid
	// NotReady means that the instance knows no configuration yet.
	NotReady
	// ReadOnly means that the instance has no access to the log.
	ReadOnly
)

var kindNames = [...]string{
	Unknown: "verdict unknown", Invalid: "invalid", NotReady: "not ready", ReadOnly: "read only",
}

// String returns the kind in lower case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error type of this package.
type Error = track.OpError[Kind]
