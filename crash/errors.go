package crash

import "filberttrack.example/track"

// Kind classifies the errors of this package.
type Kind int

// Malformed means that the digest of another entry could not be decoded.
const Malformed Kind = iota

// String returns the name of the kind in lower case.
func (k Kind) String() string {
	return "malformed"
}

// Error is the error type of this package.
type Error = track.OpError[Kind]
