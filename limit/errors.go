package limit

import "filberttrack.example/track"

// Kind classifies the failures of this package.
type Kind int

// Malformed means that a digest or summary of demand could not be decoded.
const Malformed Kind = iota

// String returns the kind in lower case.
func (k Kind) String() string {
	return "malformed"
}

// Error is the error of this package.
type Error = track.OpError[Kind]
