package wire_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/wire"
)

// listener is a peer that notes heartbeats.
type listener struct {
	track.Peer
	heard track.Heartbeat
}

// Heartbeat implements track.Peer.
func (l *listener) Heartbeat(_ context.Context, h track.Heartbeat) (track.HeartbeatReply, error) {
	l.heard = h
	return track.HeartbeatReply{From: "entry-1", Interval: time.Second}, nil
}

func TestHeartbeatArrivesAsSent(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	peer := &listener{}
	server := wire.NewServer()
	wire.RegisterPeer(server, peer, nil)
	served := make(chan error, 1)
	go func() { served <- server.Serve(socket) }()
	dialer := wire.NewDialer(nil)
	port, err := dialer.DialPeer(track.Instance{Address: socket.Addr().String()})
	assert.NilError(t, err)

	sent := track.Heartbeat{
		From:        track.Instance{ID: "agent-1", Role: track.RoleAgent, Zone: "rivera", State: track.Live, Serves: "pickup-desk"},
		Incarnation: 7, Seq: 3, Leaving: true, Up: true, Roster: 9, Marked: []track.InstanceID{"agent-2"},
		Load: track.Load{
			Stamp: 5, Running: 1, Queued: 2, Capacity: 3, TokensInFlight: 4, StepTime: time.Second, CachedPrefixes: []uint64{6},
		},
		Payloads: []track.Payload{{Topic: "limits", Data: []byte("x")}},
	}
	reply, err := port.Heartbeat(t.Context(), sent)
	assert.NilError(t, err)
	assert.Equal(t, reply.Interval, time.Second)
	assert.DeepEqual(t, peer.heard, sent)

	server.Stop()
	assert.NilError(t, <-served)
	dialer.Close()
}
