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

// Timeouts and reconnect delays of connections between instances.
const (
	keepaliveInterval   = 10 * time.Second
	keepaliveTimeout    = 3 * time.Second
	connectTimeout      = 2 * time.Second
	reconnectBaseDelay  = 100 * time.Millisecond
	reconnectMaxDelay   = 2 * time.Second
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.2
)

// Dialer returns gRPC clients of other instances and keeps one shared connection for
// each address. It implements track.AgentDialer and track.PeerDialer, and is safe for
// concurrent use.
type Dialer struct {
	options []grpc.DialOption
	// credentialsFor returns the credentials for connections to a zone.
	credentialsFor func(track.AvailabilityZone) credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewDialer returns a dialer without connections. It calls credentialsFor with the zone
// of the instance to connect to; if credentialsFor is nil, connections are not
// encrypted. The options are added to those of this package.
func NewDialer(
	credentialsFor func(track.AvailabilityZone) credentials.TransportCredentials, options ...grpc.DialOption,
) *Dialer {
	if credentialsFor == nil {
		credentialsFor = func(track.AvailabilityZone) credentials.TransportCredentials { return insecure.NewCredentials() }
	}
	defaults := []grpc.DialOption{
		// Only the entry may retry an attempt, because it knows whether that is safe.
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(streamWindowBytes),
		grpc.WithStaticConnWindowSize(connWindowBytes),
		// A connection whose peer was cut off must be given up, and a peer that comes
		// back must be reached, well within the time that a client waits.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: reconnectBaseDelay, Multiplier: reconnectMultiplier,
				Jitter: reconnectJitter, MaxDelay: reconnectMaxDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
	}
	return &Dialer{
		options:        append(defaults, options...),
		credentialsFor: credentialsFor,
		conns:          make(map[string]*grpc.ClientConn),
	}
}

// Dial implements track.AgentDialer. It does not wait for a connection.
func (d *Dialer) Dial(instance track.Instance) (track.Agent, error) {
	conn, err := d.conn(instance)
	if err != nil {
		return nil, err
	}
	return &agentClient{conn: conn, client: wirepb.NewAgentClient(conn)}, nil
}

// DialPeer implements track.PeerDialer. It does not wait for a connection.
func (d *Dialer) DialPeer(instance track.Instance) (track.Peer, error) {
	conn, err := d.conn(instance)
	if err != nil {
		return nil, err
	}
	return NewPeer(conn), nil
}

// conn returns the shared connection to the address of an instance, which it creates
// if there is none.
func (d *Dialer) conn(instance track.Instance) (*grpc.ClientConn, error) {
	address := instance.Address
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn, ok := d.conns[address]; ok {
		return conn, nil
	}
	options := append(slices.Clone(d.options), grpc.WithTransportCredentials(d.credentialsFor(instance.Zone)))
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, track.Fail("dial "+address, track.Unavailable, err)
	}
	d.conns[address] = conn
	return conn, nil
}

// Retain closes the connections to all addresses except the given ones.
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

// Close closes all connections. Calls in progress fail.
func (d *Dialer) Close() {
	d.Retain(nil)
}

// agentClient implements track.Agent over a gRPC connection.
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
		// The dispatch is sent only once the stream exists, so it was not sent.
		return track.Fail("open stream to agent", track.Unavailable, err)
	}
	err = stream.SendMsg(dispatchToProto(d))
	if err != nil && !errors.Is(err, io.EOF) {
		return callError("send dispatch", err)
	}
	err = stream.CloseSend()
	if err != nil {
		return callError("send dispatch", err)
	}
	return forwardFrames(func() (*wirepb.Frame, error) {
		f := new(wirepb.Frame)
		return f, stream.RecvMsg(f)
	}, send)
}

// Replay implements track.Agent.
func (c *agentClient) Replay(ctx context.Context, ref track.AttemptRef, send track.FrameFunc) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.client.Replay(ctx, attemptRefToProto(ref))
	if err != nil {
		return callError("replay", err)
	}
	return forwardFrames(stream.Recv, send)
}

// PreventStart implements track.Agent.
func (c *agentClient) PreventStart(ctx context.Context, ref track.AttemptRef) (track.AttemptState, error) {
	reply, err := c.client.Bar(ctx, attemptRefToProto(ref))
	if err != nil {
		return track.AttemptForgotten, callError("bar attempt", err)
	}
	return track.AttemptState(reply.GetState()), nil
}

// Report implements track.Agent.
func (c *agentClient) Report(ctx context.Context) (track.Report, error) {
	var report track.Report
	reply, err := c.client.Report(ctx, &wirepb.ReportRequest{})
	if err != nil {
		return report, callError("report", err)
	}
	err = json.Unmarshal(reply.GetReport(), &report)
	if err != nil {
		return report, track.Fail("decode report", track.Invalid, err)
	}
	return report, nil
}

// forwardFrames passes the received frames on to send until the stream ends or a call
// fails.
func forwardFrames(recv func() (*wirepb.Frame, error), send track.FrameFunc) error {
	for {
		f, err := recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return callError("receive frame", err)
		}
		err = send(frameFromProto(f))
		if err != nil {
			return err
		}
	}
}

// callError returns the track.Error of a failed call to an agent.
func callError(op string, err error) error {
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
