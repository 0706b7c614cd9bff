package wire

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

// Timing of connections between own processes.
const (
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	connectTimeout    = 2 * time.Second
	reconnectBase     = 100 * time.Millisecond
	reconnectCeiling  = 2 * time.Second
	reconnectFactor   = 1.6
	reconnectJitter   = 0.2
)

// Dialer opens ports to agents and keeps one connection for each address. It
// implements track.AgentDialer.
type Dialer struct {
	options []grpc.DialOption
	secure  func(track.AvailabilityZone) credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewDialer returns a dialer that uses the credentials for the zone of each
// instance, or none if secure is nil.
func NewDialer(secure func(track.AvailabilityZone) credentials.TransportCredentials, options ...grpc.DialOption) *Dialer {
	if secure == nil {
		secure = func(track.AvailabilityZone) credentials.TransportCredentials { return insecure.NewCredentials() }
	}
	limits := []grpc.DialOption{
		// An attempt is repeated only by the entry, which knows whether it may.
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(streamWindowBytes),
		grpc.WithStaticConnWindowSize(connWindowBytes),
		// A connection whose peer was cut off is given up, and a peer that comes
		// back is found, well within the time that a caller waits.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: reconnectBase, Multiplier: reconnectFactor, Jitter: reconnectJitter, MaxDelay: reconnectCeiling,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
	}
	return &Dialer{
		options: append(limits, options...),
		secure:  secure,
		conns:   make(map[string]*grpc.ClientConn),
	}
}

// Dial implements track.AgentDialer.
func (d *Dialer) Dial(instance track.Instance) (track.Agent, error) {
	conn, err := d.conn(instance)
	if err != nil {
		return nil, err
	}
	return &agentClient{conn: conn, client: wirepb.NewAgentClient(conn)}, nil
}

// DialPeer implements track.PeerDialer.
func (d *Dialer) DialPeer(instance track.Instance) (track.Peer, error) {
	conn, err := d.conn(instance)
	if err != nil {
		return nil, err
	}
	return NewPeer(conn), nil
}

// conn returns the shared connection to an instance's address.
func (d *Dialer) conn(instance track.Instance) (*grpc.ClientConn, error) {
	address := instance.Address
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn, ok := d.conns[address]; ok {
		return conn, nil
	}
	options := append(slices.Clone(d.options), grpc.WithTransportCredentials(d.secure(instance.Zone)))
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, track.Fail("dial "+address, track.Unavailable, err)
	}
	d.conns[address] = conn
	return conn, nil
}

// Retain closes the connections to all addresses but the given ones.
func (d *Dialer) Retain(addresses map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, conn := range d.conns {
		if !addresses[address] {
			conn.Close()
			delete(d.conns, address)
		}
	}
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.Retain(nil)
}

// agentClient implements track.Agent over a connection.
type agentClient struct {
	conn   *grpc.ClientConn
	client wirepb.AgentClient
}

// Run implements track.Agent.
func (c *agentClient) Run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.conn.NewStream(ctx, &wirepb.Agent_ServiceDesc.Streams[0], wirepb.Agent_Run_FullMethodName)
	if err != nil {
		// The message is sent after the stream was made, so it never left.
		return track.Fail("open stream to agent", track.Unavailable, err)
	}
	err = stream.SendMsg(dispatchToWire(d))
	if err != nil && !errors.Is(err, io.EOF) {
		return fromStatus("send dispatch", err)
	}
	err = stream.CloseSend()
	if err != nil {
		return fromStatus("send dispatch", err)
	}
	return relayFrames(func() (*wirepb.Frame, error) {
		f := new(wirepb.Frame)
		return f, stream.RecvMsg(f)
	}, send)
}

// Replay implements track.Agent.
func (c *agentClient) Replay(ctx context.Context, ref track.AttemptRef, send track.FrameFunc) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.client.Replay(ctx, refToWire(ref))
	if err != nil {
		return fromStatus("replay", err)
	}
	return relayFrames(stream.Recv, send)
}

// Bar implements track.Agent.
func (c *agentClient) Bar(ctx context.Context, ref track.AttemptRef) (track.AttemptState, error) {
	reply, err := c.client.Bar(ctx, refToWire(ref))
	if err != nil {
		return track.AttemptForgotten, fromStatus("bar attempt", err)
	}
	return track.AttemptState(reply.GetState()), nil
}

// Report implements track.Agent.
func (c *agentClient) Report(ctx context.Context) (track.Report, error) {
	var report track.Report
	reply, err := c.client.Report(ctx, &wirepb.ReportRequest{})
	if err != nil {
		return report, fromStatus("report", err)
	}
	err = json.Unmarshal(reply.GetReport(), &report)
	if err != nil {
		return report, track.Fail("decode report", track.Invalid, err)
	}
	return report, nil
}

func relayFrames(recv func() (*wirepb.Frame, error), send track.FrameFunc) error {
	for {
		f, err := recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fromStatus("receive frame", err)
		}
		err = send(frameFromWire(f))
		if err != nil {
			return err
		}
	}
}

func fromStatus(op string, err error) error {
	kind := track.Ambiguous
	switch status.Code(err) {
	case codes.InvalidArgument:
		kind = track.Invalid
	case codes.DeadlineExceeded:
		kind = track.TimedOut
	case codes.FailedPrecondition:
		kind = track.Refused
	}
	return track.Fail(op, kind, err)
}
