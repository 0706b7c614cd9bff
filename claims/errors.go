package claims

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Invalid means that a record can't be decoded or breaks a bound.
	Invalid Kind = iota
	// Mismatch means that the key was used with another body.
	Mismatch
	// Untimed means that the key is no UUIDv7 where one is required.
	Untimed
	// TooOld means that the key is older than keys are remembered.
	TooOld
	// TooNew means that the key's time lies in the future.
	TooNew
	// Unsure means that the records that would tell about the key have expired.
	Unsure
	// Lost means that the agent that was to run the work forgot it or restarted.
	Lost
	// Unreachable means that the agent that was to run the work does not answer.
	Unreachable
	// Unavailable means that the log could not be used in time.
	Unavailable
	// Full means that no more keys can be remembered.
	Full
	// NoServer means that no backend server took the work.
	NoServer
	// TimedOut means that the deadline passed.
	TimedOut
)

var kindNames = [...]string{
	Invalid: "invalid", Mismatch: "key used with another body", Untimed: "key is no UUIDv7", TooOld: "key too old",
	TooNew: "key from the future", Unsure: "records expired", Lost: "agent lost the attempt",
	Unreachable: "agent unreachable", Unavailable: "log unavailable", Full: "too many keys",
	NoServer: "no backend server took the work", TimedOut: "timed out",
}

// String returns the kind in lower case.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error of this package.
type Error = track.OpError[Kind]
