package certs

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// BadFile means that a file can't be read or holds something else.
	BadFile Kind = iota
	// Expired means that a certificate is not valid at this time.
	Expired
	// WrongZone means that a certificate speaks for another zone, or for none.
	WrongZone
	// Untrusted means that the authority did not sign a certificate.
	Untrusted
)

var kindNames = [...]string{
	BadFile: "bad file", Expired: "expired", WrongZone: "wrong zone", Untrusted: "untrusted",
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
