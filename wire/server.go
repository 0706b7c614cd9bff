// Package wire connects the instances of filberttrack over gRPC: it holds the servers,
// the clients and the conversion between Go types and messages.
package wire

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/grpc-ecosystem/go-grpc-middleware/v2/interceptors/recovery"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

// MaxMessageBytes bounds one message between instances, in bytes.
const MaxMessageBytes = 32 << 20

// The HTTP/2 flow-control windows, in bytes. Fixed windows avoid the pings with which
// gRPC otherwise estimates the bandwidth, one of which would accompany most tokens.
const (
	streamWindowBytes = 256 << 10
	connWindowBytes   = 16 << 20
)

// agentServer serves the calls of entries with a track.Agent.
type agentServer struct {
	wirepb.UnimplementedAgentServer
	agent track.Agent
}

// RegisterAgent makes the gRPC server serve the agent.
func RegisterAgent(s grpc.ServiceRegistrar, agent track.Agent) {
	wirepb.RegisterAgentServer(s, &agentServer{agent: agent})
}

// NewServer returns a gRPC server with the limits on messages, flow control and
// keepalive that match those of a Dialer. The options are added to them. A call whose
// handler panics fails with codes.Internal; the process goes on.
func NewServer(logger *zap.Logger, options ...grpc.ServerOption) *grpc.Server {
	afterPanic := recovery.WithRecoveryHandler(func(cause any) error {
		logger.Error("call panicked", zap.String("Cause", fmt.Sprint(cause)), zap.ByteString("Stack", debug.Stack()))
		return status.Error(codes.Internal, "the handler of the call panicked")
	})
	defaults := []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(recovery.UnaryServerInterceptor(afterPanic)),
		grpc.ChainStreamInterceptor(recovery.StreamServerInterceptor(afterPanic)),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.StaticStreamWindowSize(streamWindowBytes),
		grpc.StaticConnWindowSize(connWindowBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveInterval / 2, PermitWithoutStream: true,
		}),
	}
	return grpc.NewServer(append(defaults, options...)...)
}

// Run implements wirepb.AgentServer.
func (s *agentServer) Run(d *wirepb.Dispatch, stream grpc.ServerStreamingServer[wirepb.Frame]) error {
	send := func(f track.Frame) error { return stream.Send(frameToProto(f)) }
	return statusError(s.agent.Run(stream.Context(), dispatchFromProto(d), send))
}

// Replay implements wirepb.AgentServer.
func (s *agentServer) Replay(ref *wirepb.AttemptRef, stream grpc.ServerStreamingServer[wirepb.Frame]) error {
	send := func(f track.Frame) error { return stream.Send(frameToProto(f)) }
	return statusError(s.agent.Replay(stream.Context(), attemptRefFromProto(ref), send))
}

// Bar implements wirepb.AgentServer.
func (s *agentServer) Bar(ctx context.Context, ref *wirepb.AttemptRef) (*wirepb.BarReply, error) {
	state, err := s.agent.PreventStart(ctx, attemptRefFromProto(ref))
	if err != nil {
		return nil, statusError(err)
	}
	return &wirepb.BarReply{State: string(state)}, nil
}

// Report implements wirepb.AgentServer.
func (s *agentServer) Report(ctx context.Context, _ *wirepb.ReportRequest) (*wirepb.ReportReply, error) {
	report, err := s.agent.Report(ctx)
	if err != nil {
		return nil, statusError(err)
	}
	data, err := json.Marshal(report)
	if err != nil {
		return nil, statusError(err)
	}
	return &wirepb.ReportReply{Report: data}, nil
}

// statusError returns the gRPC status error for an error of an agent, or nil if there is
// none.
func statusError(err error) error {
	if err == nil {
		return nil
	}
	code := codes.Internal
	switch {
	case track.IsKind(err, track.Invalid):
		code = codes.InvalidArgument
	case track.IsKind(err, track.TimedOut):
		code = codes.DeadlineExceeded
	case track.IsKind(err, track.Refused):
		code = codes.FailedPrecondition
	}
	return status.Error(code, err.Error())
}
