package router

import "filberttrack.example/track"

// Kind is the reason why no replica was picked.
type Kind int

// The kinds of failure.
const (
	// NoReplica means that no replica of the target is known in a reachable zone.
	NoReplica Kind = iota
	// AllFull means that every replica that the request may use has as many attempts
	// in flight as its concurrency window allows.
	AllFull
	// AllTried means that the request excludes every reachable replica, as each has
	// failed it before.
	AllTried
)

// String describes the kind, for use in an error message.
func (k Kind) String() string {
	return [...]string{NoReplica: "no replica", AllFull: "all replicas full", AllTried: "no other replica"}[k]
}

// Error is the error that Pick returns.
type Error = track.OpError[Kind]

// The errors are allocated once, so that Pick allocates none under overload.
var (
	errNoReplica = &Error{Op: "pick a replica", Kind: NoReplica}
	errAllFull   = &Error{Op: "pick a replica", Kind: AllFull}
	errAllTried  = &Error{Op: "pick a replica", Kind: AllTried}
)
