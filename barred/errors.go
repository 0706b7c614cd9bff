package barred

import "filberttrack.example/track"

// Kind is the reason why an operation of this package failed.
type Kind int

// Malformed means that a record can't be decoded.
const Malformed Kind = iota

// String returns the name of the kind.
func (k Kind) String() string {
	return "malformed"
}

// Error is the error type of this package.
type Error = track.OpError[Kind]
