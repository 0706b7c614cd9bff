package wire_test

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/wire"
)

// recordingPeer is a peer that records the last heartbeat.
type recordingPeer struct {
	track.Peer
	heartbeat track.Heartbeat
}

// Heartbeat implements track.Peer.
func (p *recordingPeer) Heartbeat(_ context.Context, h track.Heartbeat) (track.HeartbeatReply, error) {
	p.heartbeat = h
	return track.HeartbeatReply{From: "entry-1", Interval: time.Second}, nil
}

func TestHeartbeatRoundTrip(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	peer := &recordingPeer{}
	server := wire.NewServer(zap.NewNop())
	wire.RegisterPeer(server, peer, nil)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	dialer := wire.NewDialer(nil)
	client, err := dialer.DialPeer(track.Instance{Address: listener.Addr().String()})
	assert.NilError(t, err)

	sent := track.Heartbeat{
		From: track.Instance{
			ID: "agent-1", Role: track.RoleAgent, Zone: "rivera", State: track.InstanceLive,
			Serves: "pickup-desk",
		},
		Incarnation: 7, Seq: 3, Leaving: true, Up: true, EntriesHash: 9, ListedLeaving: []track.InstanceID{"agent-2"},
		Load: track.Load{
			Stamp: 5, Running: 1, Queued: 2, Capacity: 3, TokensInFlight: 4, StepTime: time.Second, CachedPrefixes: []uint64{6},
		},
		Payloads: []track.Payload{{Topic: "limits", Data: []byte("x")}},
	}
	reply, err := client.Heartbeat(t.Context(), sent)
	assert.NilError(t, err)
	assert.Equal(t, reply.Interval, time.Second)
	assert.DeepEqual(t, peer.heartbeat, sent)

	server.Stop()
	assert.NilError(t, <-served)
	dialer.Close()
}
