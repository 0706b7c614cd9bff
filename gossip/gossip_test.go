package gossip_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/gossip"
)

func newNode(
	clock clockwork.Clock, conn net.PacketConn, self track.InstanceID, peer gossip.Peer, received chan gossip.Message,
) *gossip.Node {
	return gossip.New(gossip.Options{
		Conn: conn, Interval: time.Second, Self: self, Clock: clock, Logger: zap.NewNop(),
		Compose: func(bool) gossip.Message { return gossip.Message{Role: track.RoleEntry} },
		Peers:   func() []gossip.Peer { return []gossip.Peer{peer} },
		Receive: func(n gossip.Message) { received <- n },
	})
}

func TestPeerReceivesMessages(t *testing.T) {
	clock := clockwork.NewFakeClock()
	listen := func() net.PacketConn {
		conn, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	senderConn, receiverConn := listen(), listen()
	received := make(chan gossip.Message, 8)
	sender := newNode(clock, senderConn, "a", gossip.Peer{ID: "b", Address: receiverConn.LocalAddr().String()}, nil)
	receiver := newNode(clock, receiverConn, "b", gossip.Peer{}, received)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 2)
	go func() { stopped <- sender.RunSend(ctx) }()
	go func() { stopped <- receiver.RunReceive(ctx) }()
	message := <-received
	assert.Equal(t, message.From, track.InstanceID("a"))
	assert.Equal(t, message.Seq, uint64(1))
	cancel()
	receiverConn.Close()
	<-stopped
	<-stopped
}

func TestAcceptsOnlyNewerMessages(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newNode(clock, nil, "self", gossip.Peer{}, nil)
	for _, c := range []struct {
		name    string
		from    track.InstanceID
		started int64
		seq     uint64
		newer   bool
	}{
		{"first", "a", 10, 5, true},
		{"doubled", "a", 10, 5, false},
		{"overtaken", "a", 10, 4, false},
		{"next", "a", 10, 6, true},
		{"sender restarted", "a", 11, 1, true},
		{"from before the restart", "a", 10, 7, false},
		{"own", "self", 1, 1, false},
		{"without a sender", "", 1, 1, false},
	} {
		newer := n.Accept(gossip.Message{From: c.from, Started: c.started, Seq: c.seq})
		assert.Equal(t, newer, c.newer, c.name)
	}
	assert.Equal(t, len(n.LiveMessages()), 1)
	clock.Advance(gossip.PeerTimeout)
	assert.Equal(t, len(n.LiveMessages()), 0)
	assert.Equal(t, n.LatestMessages()[0].Silence, gossip.PeerTimeout)
}

// The same message is sent to a peer of the own zone and to one of another zone; only the
// latter copy is compressed.
// Ranks are used as indexes and as numbers of bits.
func TestRankWithoutPlaceInGroupIsRefused(t *testing.T) {
	node := newNode(clockwork.NewFakeClock(), nil, "self", gossip.Peer{}, nil)
	for i, c := range []struct {
		rank, ranks int
		accepted    bool
	}{
		{-1, 4, false},
		{4, 4, false},
		{-1, 0, false},
		{3, 4, true},
		{3, 0, true},
	} {
		note := gossip.Message{From: "a", Seq: uint64(i + 1), Rank: &gossip.RankStatus{Rank: c.rank, Ranks: c.ranks}}
		assert.Equal(t, node.Accept(note), c.accepted, "%+v", c)
	}
}

func TestMessagesToOtherZonesAreCompressed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	counts := make(map[track.ReplicaID]track.InFlight)
	for i := range 72 {
		counts[track.ReplicaID(fmt.Sprintf("i-%010x", i*7919))] = track.InFlight{Running: i % 9, Starting: i % 3}
	}
	conn, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
	assert.NilError(t, err)
	sizes := make(chan int, 2)
	sizeConn := &sizeRecorder{PacketConn: conn, sizes: sizes}
	received := make(chan gossip.Message, 2)
	address := conn.LocalAddr().String()
	sender := gossip.New(gossip.Options{
		Conn: sizeConn, Interval: time.Second, Self: "a", Clock: clock, Logger: zap.NewNop(),
		Compose: func(bool) gossip.Message {
			return gossip.Message{Role: track.RoleEntry, Zones: []gossip.ZoneSummary{{Zone: "north", InFlight: counts}}}
		},
		Peers: func() []gossip.Peer {
			return []gossip.Peer{{ID: "near", Address: address}, {ID: "far", Address: address, OtherZone: true}}
		},
	})
	receiver := newNode(clock, conn, "b", gossip.Peer{}, received)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 2)
	go func() { stopped <- sender.RunSend(ctx) }()
	go func() { stopped <- receiver.RunReceive(ctx) }()
	near, far := <-sizes, <-sizes
	assert.Assert(t, far < near/2, "%d bytes near, %d far", near, far)
	assert.DeepEqual(t, (<-received).Zones[0].InFlight, counts)
	cancel()
	conn.Close()
	<-stopped
	<-stopped
}

// sizeRecorder is a connection that reports the size of each packet sent.
type sizeRecorder struct {
	net.PacketConn
	sizes chan<- int
}

func (c *sizeRecorder) WriteTo(data []byte, to net.Addr) (int, error) {
	c.sizes <- len(data)
	return c.PacketConn.WriteTo(data, to)
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte("{}"))
	f.Add([]byte{0xca, 0x48, 0xcd})
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &singlePacketConn{data: data, closed: make(chan struct{})}
		node := newNode(clockwork.NewFakeClock(), conn, "self", gossip.Peer{}, make(chan gossip.Message, 1))
		assert.Assert(t, node.RunReceive(t.Context()) == nil, "a malformed message must be skipped")
	})
}

// singlePacketConn is a connection that delivers one packet and is then closed.
type singlePacketConn struct {
	net.PacketConn
	data   []byte
	closed chan struct{}
}

func (c *singlePacketConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case <-c.closed:
		return 0, nil, net.ErrClosed
	default:
		close(c.closed)
		return copy(p, c.data), &net.UDPAddr{}, nil
	}
}

// countingConn counts the messages that are sent. It implements net.PacketConn.
type countingConn struct {
	net.PacketConn
	sent chan struct{}
}

func (c countingConn) WriteTo(data []byte, _ net.Addr) (int, error) {
	c.sent <- struct{}{}
	return len(data), nil
}

// A message to a hundred peers is not sent in one burst, which a link of a few Mbit/s would drop in part.
func TestMessagesToManyPeersAreSpread(t *testing.T) {
	const peers, burst = 100, 8
	clock, conn := clockwork.NewFakeClock(), countingConn{sent: make(chan struct{}, peers)}
	var all []gossip.Peer
	for i := range peers {
		all = append(all, gossip.Peer{ID: track.InstanceID(fmt.Sprint("peer-", i)), Address: fmt.Sprint("127.0.0.1:", 1000+i)})
	}
	node := gossip.New(gossip.Options{
		Conn: conn, Interval: time.Second, Self: "self", Clock: clock, Logger: zap.NewNop(),
		Compose: func(bool) gossip.Message { return gossip.Message{Role: track.RoleAgent} },
		Peers:   func() []gossip.Peer { return all },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- node.RunSend(ctx) }()
	sent := 0
	for sent < peers {
		// The ticker of the interval is one waiter, the pause another.
		waiters := 1
		if sent+burst < peers {
			waiters = 2
		}
		assert.NilError(t, clock.BlockUntilContext(ctx, waiters))
		for range min(burst, peers-sent) {
			<-conn.sent
			sent++
		}
		assert.Equal(t, len(conn.sent), 0)
		clock.Advance(6 * time.Millisecond)
	}
	cancel()
	<-done
}
