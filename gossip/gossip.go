// Package gossip exchanges short notes between own processes over UDP. Notes may
// be lost, late or doubled; each one holds the whole of what its sender has to
// say.
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
	"filberttrack.example/track/talk"
)

const (
	// maxNoteBytes bounds a note.
	maxNoteBytes = 60 << 10
	// largeNoteBytes is the size from which on notes within a zone are compressed, too.
	largeNoteBytes = 6 << 10
	// maxDecodedBytes bounds what a compressed note may hold.
	maxDecodedBytes = 1 << 20
	// Silence is the time without a note after which a peer counts as gone.
	Silence = 1500 * time.Millisecond
)

// Note is what a process tells its peers.
type Note struct {
	From track.InstanceID
	Role track.Role
	Zone track.AvailabilityZone
	// Address takes notes, API calls of peers.
	Address string
	API     string
	// Started is the time at which the sender started, in Unix ms, and Seq the
	// number of the note since then.
	Started int64
	Seq     uint64
	// Leaving is set once the sender takes no new work.
	Leaving bool
	// Ends holds the offset up to which the sender has read each topic.
	Ends map[string]uint64
	// LogAge is the time since the log itself told the sender of the replicas;
	// negative if it never did.
	LogAge time.Duration
	// LogBack is the time since the log came back after an outage; 0 without one.
	LogBack time.Duration
	// InFlight holds the sender's requests on each replica.
	InFlight map[track.ReplicaID]track.InFlight `json:",omitempty"`
	// Zones holds the sums of whole zones. The entry that speaks for its zone tells
	// speakers of other zones its own, and the entries of its zone all others.
	Zones []ZoneNote `json:",omitempty"`
	// Seldom is set if the peer gets notes at longer intervals than Silence.
	Seldom bool `json:",omitempty"`
	// Rank is set by an agent.
	Rank *RankNote
	// Charges are the requests that crashed replicas.
	Charges []blame.Charge `json:",omitempty"`
}

// ZoneNote sums up what the entries of an availability zone tell.
type ZoneNote struct {
	Zone track.AvailabilityZone
	// Speaker is the entry that summed up.
	Speaker track.InstanceID
	// Age is the time since the speaker told.
	Age time.Duration
	// Ends holds the highest offset up to which an entry has read each topic.
	Ends     map[string]uint64
	InFlight map[track.ReplicaID]track.InFlight
	// Ranks holds what the agents of the zone tell.
	Ranks []RankBrief `json:",omitempty"`
}

// RankBrief is what entries need to know of a rank.
type RankBrief struct {
	// Server is the address of the rank's replica.
	Server string
	Group  string
	// Open is set while the rank group works.
	Open bool `json:",omitempty"`
	// Pace is the time that the rank needs for the same work, relative to one in
	// good health.
	Pace float64
	// Pass is the duration of the group's passes; 0 if unknown.
	Pass time.Duration `json:",omitempty"`
	// Age is the time since the agent told.
	Age time.Duration
}

// RankNote is what an agent tells of the rank beside it.
type RankNote struct {
	// Server is the address of the replica beside the agent.
	Server string
	Group  string
	Epoch  int64
	Rank   int
	Ranks  int
	// Open is set while the rank group works.
	Open    bool
	Running int
	Queued  int
	// Pace is the time that the rank needs for the same work, relative to one in
	// good health.
	Pace float64
	// Pass is the duration of the group's passes; 0 if unknown.
	Pass time.Duration
	// Address takes the calls of other agents.
	Address string
}

// Peer is a process to send notes to.
type Peer struct {
	Name    track.InstanceID
	Address string
	// Every has the peer get each nth note; 0 and 1 each.
	Every int
	// Far is set for a peer beyond the own zone.
	Far bool
}

// Options holds what a Node is made of.
type Options struct {
	Conn     net.PacketConn
	Interval time.Duration
	// Compose returns the note for peers of the own zone or, if far is set, for those
	// beyond it; From, Started, Seq and Seldom are set by the node.
	Compose func(far bool) Note
	// Targets returns the peers to send to.
	Targets func() []Peer
	// Receive takes a note that is newer than the last one of its sender.
	Receive func(Note)
	Self    track.InstanceID
	Clock   clockwork.Clock
	Logger  *zap.Logger
}

// Node sends and receives notes. It is safe for concurrent use.
type Node struct {
	options Options
	started int64
	soon    chan struct{}

	mu       sync.Mutex
	seq      uint64
	heard    map[track.InstanceID]hearing
	resolved map[string]*net.UDPAddr
}

type hearing struct {
	note Note
	at   time.Time
}

// New returns a node that has heard nobody.
func New(options Options) *Node {
	return &Node{
		options:  options,
		started:  options.Clock.Now().UnixMilli(),
		soon:     make(chan struct{}, 1),
		heard:    make(map[track.InstanceID]hearing),
		resolved: make(map[string]*net.UDPAddr),
	}
}

// Soon has a note sent at once to all peers.
func (n *Node) Soon() {
	select {
	case n.soon <- struct{}{}:
	default:
	}
}

// RunSend sends notes until the context ends.
func (n *Node) RunSend(ctx context.Context) error {
	ticker := n.options.Clock.NewTicker(n.options.Interval)
	defer ticker.Stop()
	all := true
	for {
		n.send(all)
		all = false
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.Chan():
		case <-n.soon:
			all = true
		}
	}
}

// send sends a note to all peers, or to those whose turn it is.
func (n *Node) send(all bool) {
	n.mu.Lock()
	n.seq++
	seq := n.seq
	n.mu.Unlock()
	type variant struct{ far, seldom bool }
	encoded := make(map[variant][]byte)
	for _, peer := range n.options.Targets() {
		if peer.Name == n.options.Self || !all && peer.Every > 1 && seq%uint64(peer.Every) != 0 {
			continue
		}
		v := variant{far: peer.Far, seldom: time.Duration(peer.Every)*n.options.Interval >= Silence}
		data, known := encoded[v]
		if !known {
			data = n.encode(v.far, v.seldom, seq)
			encoded[v] = data
		}
		if data == nil {
			continue
		}
		address, err := n.resolve(peer.Address)
		if err != nil {
			n.options.Logger.Warn("peer has no address", zap.String("Peer", string(peer.Name)), zap.Error(err))
			continue
		}
		// Notes may be lost; the next one follows.
		_, _ = n.options.Conn.WriteTo(data, address)
	}
}

// encode returns the note for near or far peers, or nil if it can't be sent.
func (n *Node) encode(far, seldom bool, seq uint64) []byte {
	note := n.options.Compose(far)
	note.From, note.Started, note.Seq, note.Seldom = n.options.Self, n.started, seq, seldom
	data, err := json.Marshal(note)
	if (far || len(data) >= largeNoteBytes) && err == nil {
		// What crosses zones is dear, and large notes fill small links.
		data = talk.Pack(data)
	}
	if err != nil || len(data) > maxNoteBytes {
		n.options.Logger.Error("note can't be sent", zap.Int("Bytes", len(data)), zap.Error(err))
		return nil
	}
	return data
}

func (n *Node) resolve(address string) (*net.UDPAddr, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.resolved[address]; known != nil {
		return known, nil
	}
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err == nil {
		n.resolved[address] = resolved
	}
	return resolved, err
}

// RunReceive takes notes until the connection is closed.
func (n *Node) RunReceive(ctx context.Context) error {
	buffer := make([]byte, maxNoteBytes)
	for {
		size, from, err := n.options.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			n.options.Logger.Warn("receive note", zap.Error(err))
			continue
		}
		note, err := decode(buffer[:size])
		if err != nil {
			n.options.Logger.Warn("note can't be read", zap.Stringer("From", from), zap.Error(err))
			continue
		}
		if n.Take(note) {
			n.options.Receive(note)
		}
	}
}

// decode returns a note as encode made it: JSON begins with a brace, what is compressed
// doesn't.
func decode(data []byte) (Note, error) {
	var reader io.Reader = bytes.NewReader(data)
	if len(data) > 0 && data[0] != '{' {
		reader = talk.Unpack(reader)
	}
	var note Note
	err := json.NewDecoder(io.LimitReader(reader, maxDecodedBytes)).Decode(&note)
	return note, err
}

// Take notes what a peer tells, and reports whether that is news.
func (n *Node) Take(note Note) bool {
	if note.From == "" || note.From == n.options.Self {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock.Now()
	old, known := n.heard[note.From]
	if known && (note.Started < old.note.Started || note.Started == old.note.Started && note.Seq <= old.note.Seq) {
		return false
	}
	if !known || now.Sub(old.at) >= Silence && !note.Seldom || note.Started != old.note.Started || note.Leaving != old.note.Leaving {
		n.options.Logger.Info("peer heard", zap.String("Peer", string(note.From)), zap.String("Role", string(note.Role)),
			zap.Int64("Started", note.Started), zap.Bool("Leaving", note.Leaving))
	}
	n.heard[note.From] = hearing{note: note, at: now}
	return true
}

// Heard is the latest note of a peer.
type Heard struct {
	Note
	// Silence is the time since the note arrived.
	Silence time.Duration
}

// Last returns the latest note of each peer that was ever heard.
func (n *Node) Last() []Heard {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock.Now()
	heard := make([]Heard, 0, len(n.heard))
	for _, h := range n.heard {
		heard = append(heard, Heard{Note: h.note, Silence: now.Sub(h.at)})
	}
	return heard
}

// Live returns the latest notes of the peers that were heard lately.
func (n *Node) Live() []Note {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock.Now()
	var live []Note
	for _, h := range n.heard {
		if now.Sub(h.at) < Silence {
			live = append(live, h.note)
		}
	}
	return live
}
