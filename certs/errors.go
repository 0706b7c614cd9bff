package certs

import (
	"fmt"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// BadFile means that a file cannot be read or does not contain what is expected.
	BadFile Kind = iota
	// Expired means that a certificate is expired or not yet valid.
	Expired
	// WrongZone means that a certificate is issued for another availability zone, or for
	// none.
	WrongZone
	// Untrusted means that no certificate was presented, or one that no trusted authority
	// has signed for this use.
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
