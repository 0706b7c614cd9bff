// Package wire joins filberttrack's own processes over gRPC.
package wire

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

// MaxMessageBytes bounds one message between own processes.
const MaxMessageBytes = 32 << 20

// Flow-control windows. Fixed ones save the pings by which gRPC estimates the
// bandwidth, which would accompany most tokens.
const (
	streamWindowBytes = 256 << 10
	connWindowBytes   = 16 << 20
)

// agentServer exposes a track.Agent over gRPC.
type agentServer struct {
	wirepb.UnimplementedAgentServer
	agent track.Agent
}

// RegisterAgent exposes the agent on the gRPC server.
func RegisterAgent(s grpc.ServiceRegistrar, agent track.Agent) {
	wirepb.RegisterAgentServer(s, &agentServer{agent: agent})
}

// NewServer returns a gRPC server with this package's limits.
func NewServer(options ...grpc.ServerOption) *grpc.Server {
	limits := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.StaticStreamWindowSize(streamWindowBytes),
		grpc.StaticConnWindowSize(connWindowBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveInterval / 2, PermitWithoutStream: true,
		}),
	}
	return grpc.NewServer(append(limits, options...)...)
}

// Run implements wirepb.AgentServer.
func (s *agentServer) Run(d *wirepb.Dispatch, stream grpc.ServerStreamingServer[wirepb.Frame]) error {
	send := func(f track.Frame) error { return stream.Send(frameToWire(f)) }
	return toStatus(s.agent.Run(stream.Context(), dispatchFromWire(d), send))
}

// Replay implements wirepb.AgentServer.
func (s *agentServer) Replay(ref *wirepb.AttemptRef, stream grpc.ServerStreamingServer[wirepb.Frame]) error {
	send := func(f track.Frame) error { return stream.Send(frameToWire(f)) }
	return toStatus(s.agent.Replay(stream.Context(), refFromWire(ref), send))
}

// Bar implements wirepb.AgentServer.
func (s *agentServer) Bar(ctx context.Context, ref *wirepb.AttemptRef) (*wirepb.BarReply, error) {
	state, err := s.agent.Bar(ctx, refFromWire(ref))
	if err != nil {
		return nil, toStatus(err)
	}
	return &wirepb.BarReply{State: string(state)}, nil
}

// Report implements wirepb.AgentServer.
func (s *agentServer) Report(ctx context.Context, _ *wirepb.ReportRequest) (*wirepb.ReportReply, error) {
	report, err := s.agent.Report(ctx)
	if err != nil {
		return nil, toStatus(err)
	}
	data, err := json.Marshal(report)
	if err != nil {
		return nil, toStatus(err)
	}
	return &wirepb.ReportReply{Report: data}, nil
}

func toStatus(err error) error {
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
