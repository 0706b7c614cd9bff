package track

import (
	"context"
	"io"
	"net/http"
	"time"
)

// ReplicaCall is one attempt to run a client's request on a replica.
type ReplicaCall struct {
	Replica Replica
	// RequestID is the request ID that the client sent; it is forwarded unchanged.
	RequestID RequestID
	Host      string
	Method    string
	// Target is the path and the query as the client sent them.
	Target string
	// Header holds the client's end-to-end headers, without those for which this
	// struct has fields.
	Header http.Header
	Body   []byte
	// Account is the name of the client account; empty if the request has none.
	Account string
	// TimeLeft is the time that the replica has for the response.
	TimeLeft time.Duration
	// ResumeAfter is the ID of the last event that the client has received; empty if
	// the stream starts from the beginning.
	ResumeAfter string
	// Urgency is the order of admission at a model engine, from 0 for the first to 9 for
	// the last.
	Urgency int
}

// ReplicaAnswer is a replica's response, with a body that is still to be read.
type ReplicaAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Authenticated is set if the response carries the replica's authentication code.
	Authenticated bool
	// NotRun is set if the replica states that it did not run the request.
	NotRun bool
	// WrongReplica is set if the response came from another replica, which now has the
	// address.
	WrongReplica bool
	// FailedReplica is the ID of the replica that caused the failure of its rank group, if it
	// is known.
	FailedReplica string
	// Signs is what the replica says of itself.
	Signs Signs
}

// ReplicaCaller is the interface through which requests are sent to replicas.
type ReplicaCaller interface {
	// Call sends a request and returns the response once its headers have arrived. An
	// error of kind Unavailable means that the replica never received the request, one
	// of kind Ambiguous that the request may have run. The caller closes the body of
	// the response.
	Call(ctx context.Context, c ReplicaCall) (ReplicaAnswer, error)
}

// ReplicaProber finds out whether replicas are alive.
type ReplicaProber interface {
	// Refuses reports whether the address of the replica refuses connections, because no
	// process listens there. It returns false if that isn't known soon.
	Refuses(ctx context.Context, replica Replica) bool
}

// Signs is what a replica says of itself in an answer.
type Signs struct {
	// Leaving is set if it is about to leave and wants no new requests.
	Leaving bool
	// RestFor is the time for which a replica that turned the request away wants no
	// requests from this entry; 0 if it doesn't say.
	RestFor time.Duration
	// Limit is the number of requests a second that it takes from all entries together; 0 if
	// it takes any number.
	Limit float64
}

// SignReport is what an entry tells its peers of the signs of a replica. A time of rest isn't
// among them: the replica asks each entry for that itself.
type SignReport struct {
	Replica ReplicaID
	// StartID identifies the start of the replica that gave the signs.
	StartID int64
	Leaving bool    `json:",omitempty"`
	Limit   float64 `json:",omitempty"`
	// Age is the time since the replica named the limit, or answered without one.
	Age time.Duration
}

// InFlight counts the requests in flight on a replica.
type InFlight struct {
	// Running is the number of requests that were sent and have not ended, Starting
	// the number of those that have no first byte of the response yet.
	Running  int
	Starting int `json:",omitempty"`
}

// Add returns the sum of two counts.
func (n InFlight) Add(other InFlight) InFlight {
	return InFlight{Running: n.Running + other.Running, Starting: n.Starting + other.Starting}
}
