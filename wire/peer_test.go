package wire_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/wire"
)

// fakePeer returns fixed replies and records the last messages that it received.
type fakePeer struct {
	heartbeat track.Heartbeat
	query     track.DigestQuery
}

func sampleHeartbeat() track.Heartbeat {
	return track.Heartbeat{
		From: track.Instance{
			ID: "agent-kl-a-17", Role: track.RoleAgent, Region: "kl-region", Zone: "kl-a", Address: "10.20.1.17:7000",
			State: track.InstanceLive, Serves: "tempo-llm", Group: "group-3", Ranks: 64,
		},
		Incarnation: 1_790_000_000_000_000_000, Seq: 90_000, Leaving: true, Up: true, EntriesHash: 1 << 63,
		Load: track.Load{
			Stamp: 5, Running: 7, Queued: 1, Capacity: 32, TokensInFlight: 9000, StepTime: 31 * time.Millisecond,
			CachedPrefixes: []uint64{1, 2, 3, 4, 5, 6, 7, 8},
		},
		ListedLeaving: []track.InstanceID{"agent-kl-a-3"},
		Payloads:      []track.Payload{{Topic: track.TopicUsage, Data: []byte("usage")}},
	}
}

func sampleReply() track.HeartbeatReply {
	self := sampleHeartbeat()
	return track.HeartbeatReply{
		From: "entry-1", Incarnation: 3, Interval: time.Second, AgentState: &self,
		Entries:  []track.EntryRef{{ID: "entry-2", Incarnation: 4, Address: "10.20.1.2:7000"}},
		Payloads: []track.Payload{{Topic: track.TopicQuarantine, Data: []byte("hash")}},
	}
}

func sampleDigest() track.Digest {
	return track.Digest{
		From: "entry-1", Zone: "kl-b", Payloads: []track.Payload{{Topic: "Usage", Data: []byte("sum")}}, CandidatesHash: 9,
		Targets:    []track.TargetDigest{{Target: "tempo-llm", Ready: 4, Running: 3, Queued: 2, Capacity: 128}},
		Candidates: []track.Candidate{{Agent: "a", Incarnation: 5, Address: "10.20.2.1:7000", Target: "tempo-llm"}},
	}
}

func (p *fakePeer) Heartbeat(_ context.Context, h track.Heartbeat) (track.HeartbeatReply, error) {
	p.heartbeat = h
	return sampleReply(), nil
}

func (p *fakePeer) Digest(_ context.Context, q track.DigestQuery) (track.Digest, error) {
	p.query = q
	return sampleDigest(), nil
}

func (p *fakePeer) Fetch(_ context.Context, from track.InstanceID, request track.Payload) ([]byte, error) {
	if len(request.Data) == 0 {
		return nil, track.Fail("fetch", track.Refused, errors.New("empty request"))
	}
	return append([]byte(string(from)+string(request.Topic)), request.Data...), nil
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

// countingConn is a connection of a countingListener.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// servePeer serves a peer over gRPC. It returns a client of the peer, the count of bytes
// read and written by the server, and the server.
func servePeer(
	t testing.TB, p track.Peer, verifyZone func(context.Context, track.AvailabilityZone) error,
) (track.Peer, *atomic.Int64, *grpc.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := wire.NewServer(zap.NewNop())
	wire.RegisterPeer(server, p, verifyZone)
	count := new(atomic.Int64)
	served := make(chan error, 1)
	go func() { served <- server.Serve(countingListener{listener, count}) }()
	dialer := wire.NewDialer(nil)
	t.Cleanup(func() {
		dialer.Close()
		server.Stop()
		<-served
	})
	client, err := dialer.DialPeer(track.Instance{Address: listener.Addr().String()})
	assert.NilError(t, err)
	return client, count, server
}

func TestPeerMessagesRoundTrip(t *testing.T) {
	p := &fakePeer{}
	client, _, _ := servePeer(t, p, nil)
	ctx := context.Background()
	reply, err := client.Heartbeat(ctx, sampleHeartbeat())
	assert.NilError(t, err)
	assert.DeepEqual(t, p.heartbeat, sampleHeartbeat())
	assert.DeepEqual(t, reply, sampleReply())
	query := track.DigestQuery{From: sampleHeartbeat().From, CandidatesHash: 4, Limit: 2}
	digest, err := client.Digest(ctx, query)
	assert.NilError(t, err)
	assert.DeepEqual(t, p.query, query)
	assert.DeepEqual(t, digest, sampleDigest())
	data, err := client.Fetch(ctx, "e", track.Payload{Topic: "t", Data: []byte("x")})
	assert.NilError(t, err)
	assert.Equal(t, string(data), "etx")
	_, err = client.Fetch(ctx, "e", track.Payload{Topic: "t"})
	assert.Assert(t, track.IsKind(err, track.Refused), "%v", err)
}

func TestSenderFromWrongZoneIsRefused(t *testing.T) {
	p := &fakePeer{}
	client, _, _ := servePeer(t, p, func(_ context.Context, zone track.AvailabilityZone) error {
		return fmt.Errorf("no certificate for %s", zone)
	})
	_, err := client.Heartbeat(context.Background(), sampleHeartbeat())
	assert.Assert(t, track.IsKind(err, track.Refused), "%v", err)
	_, err = client.Digest(context.Background(), track.DigestQuery{})
	assert.Assert(t, track.IsKind(err, track.Refused), "%v", err)
	assert.Equal(t, p.heartbeat.Seq, uint64(0))
}

func TestStoppedPeerReportsNoListener(t *testing.T) {
	client, _, server := servePeer(t, &fakePeer{}, nil)
	_, err := client.Heartbeat(context.Background(), sampleHeartbeat())
	assert.NilError(t, err)
	server.Stop()
	for !errors.Is(err, track.ErrNoListener) {
		assert.NilError(t, t.Context().Err())
		_, err = client.Heartbeat(context.Background(), sampleHeartbeat())
		assert.Assert(t, err != nil)
	}
	assert.Assert(t, track.IsKind(err, track.Unavailable), "%v", err)
}

// BenchmarkPeerBytes measures the bytes that a heartbeat takes on the connection in
// addition to its two messages.
func BenchmarkPeerBytes(b *testing.B) {
	client, count, _ := servePeer(b, &fakePeer{}, nil)
	messages := proto.Size(wire.EncodeHeartbeat(sampleHeartbeat())) + proto.Size(wire.EncodeHeartbeatReply(sampleReply()))
	_, err := client.Heartbeat(context.Background(), sampleHeartbeat())
	assert.NilError(b, err)
	before := count.Load()
	for b.Loop() {
		_, err = client.Heartbeat(context.Background(), sampleHeartbeat())
		assert.NilError(b, err)
	}
	perCall := float64(count.Load()-before) / float64(b.N)
	b.ReportMetric(perCall-float64(messages), "overhead-B/op")
	b.ReportMetric(float64(messages), "messages-B/op")
}
