package claims

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the errors of this package.
type Kind int

// The kinds of error.
const (
	// Invalid means that a record can't be decoded or has a field out of bounds.
	Invalid Kind = iota
	// BodyMismatch means that the key was used with another method, path, query or body.
	BodyMismatch
	// NotUUIDv7 means that the key is not a UUIDv7 although TimedKeysOnly is set.
	NotUUIDv7
	// TooOld means that the timestamp of the key is more than KeyRetention ago.
	TooOld
	// TooNew means that the timestamp of the key lies too far in the future.
	TooNew
	// RecordsExpired means that records about the key may have expired from the log, so that
	// it is unknown whether the request has run.
	RecordsExpired
	// AttemptLost means that the agent that was to run the request has restarted or no
	// longer remembers the attempt.
	AttemptLost
	// AgentUnreachable means that the agent that was to run the request does not answer.
	AgentUnreachable
	// LogUnavailable means that the log could not be read or written in time.
	LogUnavailable
	// TooManyKeys means that MaxKeys keys are remembered already.
	TooManyKeys
	// NoBackendServer means that no backend server accepted the request.
	NoBackendServer
	// TimedOut means that the deadline of the request has passed.
	TimedOut
)

var kindNames = [...]string{
	Invalid: "invalid", BodyMismatch: "key used with another body", NotUUIDv7: "key is not a UUIDv7",
	TooOld: "key too old", TooNew: "key from the future", RecordsExpired: "records expired",
	AttemptLost:      "agent lost the attempt",
	AgentUnreachable: "agent unreachable", LogUnavailable: "log unavailable", TooManyKeys: "too many keys",
	NoBackendServer: "no backend server accepted the request", TimedOut: "timed out",
}

// String returns the kind in lower case, as error messages show it.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error of this package.
type Error = track.OpError[Kind]
