package track

import (
	"context"
	"errors"
	"time"
)

// ErrNoListener is the cause of an Unavailable error if the peer's machine
// refused the connection, so that the process is certainly gone.
var ErrNoListener = errors.New("no process listens at the address")

// Topic names a kind of payload that heartbeats carry for another part of the
// system.
type Topic string

// Bounds on what a topic may send.
const (
	// MaxPayloadBytes bounds the payload of one topic in one message.
	MaxPayloadBytes = 8 << 10
	// MaxPayloads bounds the payloads of one message.
	MaxPayloads = 16
	// MaxFetchBytes bounds a request to Fetch and its answer.
	MaxFetchBytes = 16 << 20
)

// TopicConfig carries configuration from peer to peer, on request only.
const TopicConfig Topic = "Config"

// Payload is the data of one topic, opaque to the exchange of heartbeats.
type Payload struct {
	Topic Topic
	Data  []byte
}

// TopicHandler connects one topic to the exchange of heartbeats. Payloads may
// be lost, repeated and reordered. The methods are called from several
// goroutines and must not block.
type TopicHandler interface {
	// Topic returns the name, unique within the process.
	Topic() Topic
	// Offer returns what to send to the peer with the next message, if anything.
	// It is called about once a second for each peer and must hold its rate down.
	Offer(to Instance) [][]byte
	// Receive takes what a peer sent.
	Receive(from InstanceID, data []byte)
	// Fetch answers a request of a peer for data too large for a heartbeat.
	Fetch(from InstanceID, request []byte) ([]byte, error)
}

// Heartbeat is what an instance tells its peers about itself.
type Heartbeat struct {
	From        Instance
	Incarnation Incarnation
	// Seq rises with each heartbeat of an incarnation, whoever receives it.
	Seq uint64
	// Leaving is set once the instance takes no new work.
	Leaving bool
	// Up is set while the backend server answers; agents only.
	Up   bool
	Load Load
	// Roster is the hash of the live entries of the zone that the sender knows.
	Roster uint64
	// Marked lists the instances of the zone that the platform's list gave as
	// leaving.
	Marked   []InstanceID
	Payloads []Payload
}

// EntryRef is a live entry as another one knows it.
type EntryRef struct {
	ID          InstanceID
	Incarnation Incarnation
	Address     string
}

// HeartbeatReply acknowledges a heartbeat.
type HeartbeatReply struct {
	From        InstanceID
	Incarnation Incarnation
	// Interval is the time between heartbeats that the receiver can afford.
	Interval time.Duration
	// Self is what an agent tells about itself; unset for an entry.
	Self *Heartbeat
	// Entries lists the live entries of the zone; set if the hash in the
	// heartbeat differed.
	Entries  []EntryRef
	Payloads []Payload
}

// DigestQuery asks an entry of another zone for the digest of its zone.
type DigestQuery struct {
	From Instance
	// Known is the hash of the candidates that the asking entry holds.
	Known uint64
	// Limit bounds the candidates for each target.
	Limit int
}

// Digest sums up a zone for entries of other zones.
type Digest struct {
	From    InstanceID
	Zone    AvailabilityZone
	Targets []TargetDigest
	// CandidatesHash identifies the candidates.
	CandidatesHash uint64
	// Candidates lists replicas that the asking entry may use; empty if it
	// already holds those of CandidatesHash.
	Candidates []Candidate
	// Payloads sum up topics for the whole zone.
	Payloads []Payload
}

// TargetDigest sums up the replicas of one target in a zone.
type TargetDigest struct {
	Target string
	// Ready is the number of replicas in service.
	Ready    int
	Running  int
	Queued   int
	Capacity int
}

// Candidate is a replica that an entry of another zone may use.
type Candidate struct {
	Agent       InstanceID
	Incarnation Incarnation
	Address     string
	Target      string
}

// Peer is the port through which instances talk about themselves. Errors are
// of type *Error: Refused if the peer declined, Unavailable if it could not be
// reached, TimedOut if it did not answer in time.
type Peer interface {
	// Heartbeat tells the peer about the sender.
	Heartbeat(ctx context.Context, h Heartbeat) (HeartbeatReply, error)
	// Digest returns the digest of the peer's zone.
	Digest(ctx context.Context, q DigestQuery) (Digest, error)
	// Fetch asks the peer's handler of a topic for data.
	Fetch(ctx context.Context, from InstanceID, request Payload) ([]byte, error)
}

// PeerDialer opens the port to a peer.
type PeerDialer interface {
	// DialPeer returns the port to the instance. It does not wait for a
	// connection.
	DialPeer(instance Instance) (Peer, error)
}
