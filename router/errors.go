package router

import "filberttrack.example/track"

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// NoReplica means that no replica of the target is known within reach.
	NoReplica Kind = iota
	// Full means that all replicas run as much as their windows allow.
	Full
	// Tried means that all replicas within reach already failed the request.
	Tried
)

// String returns the kind in lower case.
func (k Kind) String() string {
	return [...]string{NoReplica: "no replica", Full: "all replicas full", Tried: "no other replica"}[k]
}

// Error is the error of this package.
type Error = track.OpError[Kind]

// The failures are values, so that a decision allocates nothing under overload.
var (
	errNoReplica = &Error{Op: "pick a replica", Kind: NoReplica}
	errFull      = &Error{Op: "pick a replica", Kind: Full}
	errTried     = &Error{Op: "pick a replica", Kind: Tried}
)
