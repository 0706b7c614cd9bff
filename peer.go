package track

import (
	"context"
	"errors"
	"time"
)

// ErrNoListener is the cause of an Unavailable error if the peer's machine
// refused the connection, which proves that the process has ended.
var ErrNoListener = errors.New("no process listens at the address")

// Topic is the name of a kind of payload that heartbeats carry for another part of
// the system.
type Topic string

// Limits on payloads.
const (
	// MaxPayloadBytes bounds one payload of a topic in a message.
	MaxPayloadBytes = 8 << 10
	// MaxPayloads bounds the payloads of one message.
	MaxPayloads = 16
	// MaxFetchBytes bounds a request to Fetch and its response.
	MaxFetchBytes = 16 << 20
)

// TopicConfig carries configuration between peers, on request only.
const TopicConfig Topic = "Config"

// Payload is data of one topic. The exchange of heartbeats doesn't interpret it.
type Payload struct {
	Topic Topic
	Data  []byte
}

// TopicHandler sends and receives the payloads of one topic. Payloads may be lost,
// duplicated and reordered. The methods are called from several goroutines and must
// not block.
type TopicHandler interface {
	// Topic returns the topic. There is one handler for a topic in a process.
	Topic() Topic
	// PayloadsFor returns the payloads for the next message to the peer, if there are any.
	// It is called about once a second for each peer and must limit its rate itself.
	PayloadsFor(to Instance) [][]byte
	// Receive processes a payload that a peer sent.
	Receive(from InstanceID, data []byte)
	// Fetch returns data that is too large for a heartbeat and that a peer requests.
	Fetch(from InstanceID, request []byte) ([]byte, error)
}

// Heartbeat is the state that an instance sends to its peers.
type Heartbeat struct {
	From        Instance
	Incarnation Incarnation
	// Seq increases with each heartbeat of an incarnation, whoever receives it.
	Seq uint64
	// Leaving is set once the instance accepts no new requests.
	Leaving bool
	// Up is set while the backend server of an agent responds; unset for an entry.
	Up   bool
	Load Load
	// EntriesHash is the hash of the zone's live entries that the sender knows.
	EntriesHash uint64
	// ListedLeaving lists the instances of the zone that are leaving according to the
	// platform's list.
	ListedLeaving []InstanceID
	Payloads      []Payload
}

// EntryRef identifies a live entry.
type EntryRef struct {
	ID          InstanceID
	Incarnation Incarnation
	Address     string
}

// HeartbeatReply acknowledges a heartbeat.
type HeartbeatReply struct {
	From        InstanceID
	Incarnation Incarnation
	// Interval is the time between heartbeats that the receiver asks the sender to
	// keep, so that it can handle them.
	Interval time.Duration
	// AgentState is the own state of a receiver that is an agent; unset for an entry.
	AgentState *Heartbeat
	// Entries lists the live entries of the zone; set if their hash differs from
	// EntriesHash in the heartbeat.
	Entries  []EntryRef
	Payloads []Payload
}

// DigestQuery is a request to an entry of another zone for the digest of its zone.
type DigestQuery struct {
	From Instance
	// CandidatesHash is the hash of the candidates that the requesting entry already has.
	CandidatesHash uint64
	// Limit bounds the number of candidates for each target.
	Limit int
}

// Digest is a summary of an availability zone for entries of other zones.
type Digest struct {
	From    InstanceID
	Zone    AvailabilityZone
	Targets []TargetDigest
	// CandidatesHash is the hash of the candidates.
	CandidatesHash uint64
	// Candidates lists replicas to which the requesting entry may send; empty if it
	// already has those with CandidatesHash.
	Candidates []Candidate
	// Payloads holds summaries of topics for the whole zone.
	Payloads []Payload
}

// TargetDigest is a summary of the replicas of one target in a zone.
type TargetDigest struct {
	Target string
	// Ready is the number of replicas that accept requests.
	Ready    int
	Running  int
	Queued   int
	Capacity int
}

// Candidate is a replica to which an entry of another zone may send.
type Candidate struct {
	Agent       InstanceID
	Incarnation Incarnation
	Address     string
	Target      string
}

// Peer is the interface through which instances exchange their state. Errors are
// of type *Error, with kind Refused if the peer declined, Unavailable if it could
// not be reached, and TimedOut if it did not respond in time.
type Peer interface {
	// Heartbeat sends the state of the sender to the peer.
	Heartbeat(ctx context.Context, h Heartbeat) (HeartbeatReply, error)
	// Digest returns the digest of the peer's zone.
	Digest(ctx context.Context, q DigestQuery) (Digest, error)
	// Fetch requests data from the peer's handler of the topic.
	Fetch(ctx context.Context, from InstanceID, request Payload) ([]byte, error)
}

// PeerDialer creates clients of peers.
type PeerDialer interface {
	// DialPeer returns a client of the instance. It does not wait for a connection.
	DialPeer(instance Instance) (Peer, error)
}
