package gossip_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/gossip"
)

func newNode(clock clockwork.Clock, conn net.PacketConn, self track.InstanceID, peer gossip.Peer, received chan gossip.Note) *gossip.Node {
	return gossip.New(gossip.Options{
		Conn: conn, Interval: time.Second, Self: self, Clock: clock, Logger: zap.NewNop(),
		Compose: func(bool) gossip.Note { return gossip.Note{Role: track.RoleEntry} },
		Targets: func() []gossip.Peer { return []gossip.Peer{peer} },
		Receive: func(n gossip.Note) { received <- n },
	})
}

func TestNotesReachAPeer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	listen := func() net.PacketConn {
		conn, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	here, there := listen(), listen()
	received := make(chan gossip.Note, 8)
	sender := newNode(clock, here, "a", gossip.Peer{Name: "b", Address: there.LocalAddr().String()}, nil)
	receiver := newNode(clock, there, "b", gossip.Peer{}, received)
	ctx, cancel := context.WithCancel(t.Context())
	ends := make(chan error, 2)
	go func() { ends <- sender.RunSend(ctx) }()
	go func() { ends <- receiver.RunReceive(ctx) }()
	note := <-received
	assert.Equal(t, note.From, track.InstanceID("a"))
	assert.Equal(t, note.Seq, uint64(1))
	cancel()
	there.Close()
	<-ends
	<-ends
}

func TestOnlyNewNotesCount(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newNode(clock, nil, "self", gossip.Peer{}, nil)
	for _, c := range []struct {
		name    string
		from    track.InstanceID
		started int64
		seq     uint64
		news    bool
	}{
		{"first", "a", 10, 5, true},
		{"doubled", "a", 10, 5, false},
		{"overtaken", "a", 10, 4, false},
		{"next", "a", 10, 6, true},
		{"started again", "a", 11, 1, true},
		{"from before the start", "a", 10, 7, false},
		{"own", "self", 1, 1, false},
		{"nobody's", "", 1, 1, false},
	} {
		got := n.Take(gossip.Note{From: c.from, Started: c.started, Seq: c.seq})
		assert.Equal(t, got, c.news, c.name)
	}
	assert.Equal(t, len(n.Live()), 1)
	clock.Advance(gossip.Silence)
	assert.Equal(t, len(n.Live()), 0)
	assert.Equal(t, n.Last()[0].Silence, gossip.Silence)
}
