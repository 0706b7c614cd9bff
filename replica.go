package track

import (
	"context"
	"io"
	"net/http"
	"time"
)

// ReplicaCall is one attempt at a client's request.
type ReplicaCall struct {
	Replica Replica
	// Request is the client's ID of its attempt, forwarded as it is.
	Request RequestID
	Host    string
	Method  string
	// Target is the path and query as the client sent them.
	Target string
	// Header holds the client's headers that go beyond one connection, without
	// those that this struct has fields for.
	Header http.Header
	Body   []byte
	// Account names the client account; empty if the request has none.
	Account string
	// TimeLeft is the time that the replica may take.
	TimeLeft time.Duration
	// ResumeAfter is the ID of the last event that the client has; empty for a
	// whole stream.
	ResumeAfter string
	// Urgency orders admission at a model engine, 0 first and 9 last.
	Urgency int
}

// ReplicaAnswer is the head of a replica's answer, with its body to be read.
type ReplicaAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Sealed is set if the answer carries the replica's authentication code.
	Sealed bool
	// NotRun is set if the replica says that it did not run the request.
	NotRun bool
	// OtherReplica is set if another replica has the address.
	OtherReplica bool
	// AtFault names the replica that a group's failure is put down to, if any.
	AtFault string
}

// ReplicaCaller is the port to the replicas of services.
type ReplicaCaller interface {
	// Call sends a request and returns the head of the answer. An error of kind
	// Unavailable means that the replica never got the request, one of kind
	// Ambiguous that it may have run. The caller closes the answer's body.
	Call(ctx context.Context, c ReplicaCall) (ReplicaAnswer, error)
}

// InFlight counts requests on a replica.
type InFlight struct {
	// Running is the number of requests sent and not ended, Starting the number of
	// those without a first byte.
	Running  int
	Starting int `json:",omitempty"`
}

// Add returns the sum of two counts.
func (n InFlight) Add(other InFlight) InFlight {
	return InFlight{Running: n.Running + other.Running, Starting: n.Starting + other.Starting}
}
