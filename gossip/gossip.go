// Package gossip exchanges short messages between the processes of a deployment over
// UDP. A message may be lost, late or duplicated, so each one contains the complete
// state that its sender shares.
package gossip

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/parts"
	"filberttrack.example/track/talk"
	"filberttrack.example/track/ticket"
)

const (
	// maxMessageBytes is the maximum size of a message as sent.
	maxMessageBytes = 60 << 10
	// compressBytes is the size from which on messages within a zone are compressed.
	// Messages to other zones always are.
	compressBytes = 6 << 10
	// maxDecodedBytes is the maximum size of a message after decompression.
	maxDecodedBytes = 1 << 20
	// burstMessages is the number of messages that are sent at once, and burstPause the time
	// until the next ones. A link of a few Mbit/s drops most of what exceeds its queue when a
	// message goes to a hundred peers.
	burstMessages = 8
	burstPause    = 6 * time.Millisecond
	// PeerTimeout is the time without a message after which a peer counts as gone.
	PeerTimeout = 1500 * time.Millisecond
)

// Message is the message that a process sends to its peers.
type Message struct {
	// From identifies the sender, Role and Zone describe it.
	From track.InstanceID
	Role track.Role
	Zone track.AvailabilityZone
	// Address is the UDP address at which the sender receives messages, and API the
	// address at which peers call it.
	Address string
	API     string
	// Started is when the sender started, in Unix milliseconds. Seq is the sequence
	// number of the message since then.
	Started int64
	Seq     uint64
	// Leaving is set once the sender takes no new work.
	Leaving bool
	// Offsets holds, for each topic of the log, the offset up to which the sender has read.
	Offsets map[string]uint64 `json:"Ends"`
	// Era is the era of the log that the offsets belong to.
	Era uint64 `json:",omitempty"`
	// ConfigVersion is the version of the configuration that the sender has in force; 0 if none,
	// and for agents.
	ConfigVersion uint64 `json:",omitempty"`
	// ConfigAge is the time since the sender knew that its offset of the configuration's topic was
	// the end of the topic; nil if it never knew, and for agents.
	ConfigAge *time.Duration `json:",omitempty"`
	// LogAge is the time since the sender's list of replicas is known to have been up to date;
	// negative if it never was.
	LogAge time.Duration
	// InFlight counts the sender's requests in flight on each replica.
	InFlight map[track.ReplicaID]track.InFlight `json:",omitempty"`
	// Demand holds the requests a second that the sender would send to each service.
	Demand map[string]float64 `json:",omitempty"`
	// Zones holds summaries of whole zones. In each zone one entry acts as representative: it
	// sends the summary of its own zone to the representatives of other zones, and those of all
	// other zones to the entries of its own.
	Zones []ZoneSummary `json:",omitempty"`
	// Infrequent is set if the peer gets messages at intervals of PeerTimeout or more.
	Infrequent bool `json:"Seldom,omitempty"`
	// Rank describes the rank beside the sender; agents only.
	Rank *RankStatus
	// Signs holds what replicas have said of themselves.
	Signs []track.SignReport `json:",omitempty"`
	// Charges holds the requests that are charged with crashing replicas.
	Charges []blame.Charge `json:",omitempty"`
	// Parts holds the parts of prompts that are suspected of crashing replicas.
	Parts []parts.Charge `json:",omitempty"`
	// Tickets holds the tickets of requests that the sender has refused lately; within the zone only.
	Tickets ticket.Reports `json:",omitempty"`
}

// ZoneSummary sums up the messages of the entries and agents of an availability zone.
type ZoneSummary struct {
	Zone track.AvailabilityZone
	// Representative is the entry that made the summary.
	Representative track.InstanceID `json:"Speaker"`
	// Age is the time since the representative sent the summary.
	Age time.Duration
	// Offsets holds, for each topic of the log, the highest offset up to which an entry of
	// the zone has read.
	Offsets map[string]uint64 `json:"Ends"`
	// Era is the era of the log that the offsets belong to.
	Era uint64 `json:",omitempty"`
	// InFlight counts the zone's requests in flight on each replica.
	InFlight map[track.ReplicaID]track.InFlight
	// Demand holds the requests a second that the zone's entries would send to each service.
	Demand map[string]float64 `json:",omitempty"`
	// Ranks holds what the agents of the zone report about their ranks.
	Ranks []RankSummary `json:",omitempty"`
}

// RankSummary is the part of a RankStatus that entries need.
type RankSummary struct {
	// Server is the address of the rank's replica.
	Server string
	// Group names the rank group.
	Group string
	// GroupReady is set while the rank group is in operation.
	GroupReady bool `json:"Open,omitempty"`
	// Slowdown is the time that the rank takes for a piece of work, relative to a healthy
	// rank; more than 1 is slower.
	Slowdown float64 `json:"Pace"`
	// PassDuration is the duration of one pass of the group; 0 if unknown.
	PassDuration time.Duration `json:"Pass,omitempty"`
	// Age is the time since the agent reported this.
	Age time.Duration
}

// RankStatus is what an agent reports about the rank beside it.
type RankStatus struct {
	// Server is the address of the replica beside the agent.
	Server string
	// Group names the rank group.
	Group string
	// Epoch increases each time the group forms anew.
	Epoch int64
	// Rank is the rank's number in the group, and Ranks the number of ranks.
	Rank  int
	Ranks int
	// GroupReady is set while the rank group is in operation.
	GroupReady bool `json:"Open"`
	// Running and Queued count the rank's requests.
	Running int
	Queued  int
	// Slowdown is the time that the rank takes for a piece of work, relative to a healthy
	// rank; more than 1 is slower.
	Slowdown float64 `json:"Pace"`
	// PassDuration is the duration of one pass of the group; 0 if unknown.
	PassDuration time.Duration `json:"Pass"`
	// Address is where the agent takes calls of other agents.
	Address string
}

// valid reports whether the rank has a place in its group; true for nil.
func (r *RankStatus) valid() bool {
	return r == nil || r.Rank >= 0 && (r.Ranks == 0 || r.Rank < r.Ranks)
}

// Peer is a process that messages are sent to.
type Peer struct {
	ID track.InstanceID
	// Address is the UDP address at which the peer receives messages.
	Address string
	// EveryNth is set to n to send the peer only each nth message; 0 and 1 both mean each
	// message.
	EveryNth int
	// OtherZone is set for a peer in another zone.
	OtherZone bool
}

// Options holds the settings and dependencies of a Node.
type Options struct {
	// Conn sends and receives the messages.
	Conn net.PacketConn
	// Interval is the time between messages.
	Interval time.Duration
	// Compose returns the message for peers of the own zone or, if otherZone is set, for
	// those in other zones. The node sets From, Started, Seq and Infrequent itself.
	Compose func(otherZone bool) Message
	// Peers returns the peers to send messages to.
	Peers func() []Peer
	// Receive is called with each received message that is newer than the previous one
	// of its sender.
	Receive func(Message)
	// Self is the ID of this process.
	Self   track.InstanceID
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Node sends messages to peers and keeps the latest message of each peer. It is safe
// for concurrent use.
type Node struct {
	options Options
	// started is when this process started, in Unix milliseconds.
	started int64
	// sendNow has RunSend send a message before the next tick.
	sendNow chan struct{}

	mu  sync.Mutex
	seq uint64
	// sendToAll is set if the next message goes to all peers.
	sendToAll bool
	latest    map[track.InstanceID]receivedMessage
	// addresses caches the resolved addresses of peers.
	addresses map[string]*net.UDPAddr
}

// receivedMessage is a message with the time at which it arrived.
type receivedMessage struct {
	message    Message
	receivedAt time.Time
}

// New returns a node that has not received any message yet. RunSend and RunReceive make
// it send and receive.
func New(options Options) *Node {
	return &Node{
		options:   options,
		started:   options.Clock.Now().UnixMilli(),
		sendNow:   make(chan struct{}, 1),
		latest:    make(map[track.InstanceID]receivedMessage),
		addresses: make(map[string]*net.UDPAddr),
	}
}

// SendNow makes RunSend send a message at once to the peers that get each message.
func (n *Node) SendNow() {
	n.requestSend(false)
}

// SendToAllNow makes RunSend send a message to all peers at once.
func (n *Node) SendToAllNow() {
	n.requestSend(true)
}

// requestSend makes RunSend send a message before the next tick.
func (n *Node) requestSend(toAll bool) {
	n.mu.Lock()
	n.sendToAll = n.sendToAll || toAll
	n.mu.Unlock()
	select {
	case n.sendNow <- struct{}{}:
	default:
	}
}

// RunSend sends messages until the context ends, and returns the cause of that.
func (n *Node) RunSend(ctx context.Context) error {
	ticker := n.options.Clock.NewTicker(n.options.Interval)
	defer ticker.Stop()
	n.SendToAllNow()
	for {
		scheduled := false
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.Chan():
			scheduled = true
		case <-n.sendNow:
		}
		n.sendMessages(ctx, scheduled)
	}
}

// sendMessages sends the next message to all peers if that was requested, and else to those that
// get each message and, if the message is a scheduled one, those whose turn it is.
func (n *Node) sendMessages(ctx context.Context, scheduled bool) {
	n.mu.Lock()
	n.seq++
	seq, toAll := n.seq, n.sendToAll
	n.sendToAll = false
	n.mu.Unlock()
	type variant struct{ otherZone, infrequent bool }
	encoded := make(map[variant][]byte)
	sent := 0
	for _, peer := range n.options.Peers() {
		if peer.ID == n.options.Self || !toAll && peer.EveryNth > 1 && (!scheduled || seq%uint64(peer.EveryNth) != 0) {
			continue
		}
		v := variant{otherZone: peer.OtherZone, infrequent: time.Duration(peer.EveryNth)*n.options.Interval >= PeerTimeout}
		data, cached := encoded[v]
		if !cached {
			data = n.encode(v.otherZone, v.infrequent, seq)
			encoded[v] = data
		}
		if data == nil {
			continue
		}
		address, err := n.resolve(peer.Address)
		if err != nil {
			n.options.Logger.Warn("peer address can't be resolved", zap.String("Peer", string(peer.ID)), zap.Error(err))
			continue
		}
		if sent > 0 && sent%burstMessages == 0 {
			select {
			case <-ctx.Done():
				return
			case <-n.options.Clock.After(burstPause):
			}
		}
		sent++
		// An error is ignored: messages may be lost, and the next one follows soon.
		_, _ = n.options.Conn.WriteTo(data, address)
	}
}

// encode returns the encoded message for peers of the own zone or of other zones, or nil
// if it can't be sent.
func (n *Node) encode(otherZone, infrequent bool, seq uint64) []byte {
	message := n.options.Compose(otherZone)
	message.From, message.Started, message.Seq, message.Infrequent = n.options.Self, n.started, seq, infrequent
	data, err := json.Marshal(message)
	if (otherZone || len(data) >= compressBytes) && err == nil {
		// Traffic between zones is expensive, and large messages fill links of low
		// bandwidth.
		data = talk.Compress(data)
	}
	if err != nil || len(data) > maxMessageBytes {
		n.options.Logger.Error("gossip message can't be sent", zap.Int("Bytes", len(data)), zap.Error(err))
		return nil
	}
	return data
}

// resolve returns the UDP address for a host and port. Successful results are cached.
func (n *Node) resolve(address string) (*net.UDPAddr, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cached := n.addresses[address]; cached != nil {
		return cached, nil
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err == nil {
		n.addresses[address] = resolved
	}
	return resolved, err
}

// RunReceive receives messages until the connection is closed or the context has ended,
// and returns the cause of the context's end, if any. Messages that can't be decoded are
// logged and skipped.
func (n *Node) RunReceive(ctx context.Context) error {
	buffer := make([]byte, maxMessageBytes)
	for {
		size, from, err := n.options.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			n.options.Logger.Warn("receiving a gossip message failed", zap.Error(err))
			continue
		}
		message, err := decode(buffer[:size])
		if err != nil {
			n.options.Logger.Warn("gossip message can't be decoded", zap.Stringer("From", from), zap.Error(err))
			continue
		}
		if n.Accept(message) {
			n.options.Receive(message)
		}
	}
}

// decode decodes a message that was encoded by encode. Uncompressed JSON starts with a
// brace, compressed data doesn't.
func decode(data []byte) (Message, error) {
	var reader io.Reader = bytes.NewReader(data)
	if len(data) > 0 && data[0] != '{' {
		reader = talk.Decompress(reader)
	}
	var message Message
	err := json.NewDecoder(io.LimitReader(reader, maxDecodedBytes)).Decode(&message)
	return message, err
}

// Accept records a message of a peer, and reports whether it is newer than the previous one.
// It ignores messages without a sender, those of this process, and those of ranks without a
// place in their group.
func (n *Node) Accept(message Message) bool {
	if message.From == "" || message.From == n.options.Self || !message.Rank.valid() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock.Now()
	previous, known := n.latest[message.From]
	if known && (message.Started < previous.message.Started ||
		message.Started == previous.message.Started && message.Seq <= previous.message.Seq) {
		return false
	}
	if !known || now.Sub(previous.receivedAt) >= PeerTimeout && !message.Infrequent ||
		message.Started != previous.message.Started || message.Leaving != previous.message.Leaving {
		n.options.Logger.Info("peer heard",
			zap.String("Peer", string(message.From)), zap.String("Role", string(message.Role)),
			zap.Int64("Started", message.Started), zap.Bool("Leaving", message.Leaving))
	}
	n.latest[message.From] = receivedMessage{message: message, receivedAt: now}
	return true
}

// LatestMessage is the latest message of a peer.
type LatestMessage struct {
	Message
	// Silence is the time since the message arrived.
	Silence time.Duration
}

// LatestMessages returns the latest message of each peer that has ever sent one.
func (n *Node) LatestMessages() []LatestMessage {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock.Now()
	latest := make([]LatestMessage, 0, len(n.latest))
	for _, received := range n.latest {
		latest = append(latest, LatestMessage{Message: received.message, Silence: now.Sub(received.receivedAt)})
	}
	return latest
}

// LiveMessages returns the latest messages of the peers that sent one within the
// last PeerTimeout. LogAge includes the time since the message arrived.
func (n *Node) LiveMessages() []Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock.Now()
	var live []Message
	for _, received := range n.latest {
		age := now.Sub(received.receivedAt)
		if age >= PeerTimeout {
			continue
		}
		message := received.message
		if message.LogAge >= 0 {
			message.LogAge += age
		}
		live = append(live, message)
	}
	return live
}
