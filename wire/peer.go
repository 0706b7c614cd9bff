package wire

import (
	"context"
	"errors"
	"strings"
	"syscall"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

// peerServer serves the calls of other instances with a track.Peer.
type peerServer struct {
	wirepb.UnimplementedPeerServer
	peer track.Peer
	// verifyZone fails unless the caller's certificate is valid for the zone; nil skips
	// the check.
	verifyZone func(ctx context.Context, zone track.AvailabilityZone) error
}

// RegisterPeer makes the gRPC server serve the peer. If verifyZone is not nil, it is
// called with the zone that the sender of a heartbeat or digest query claims to be in.
// If it fails, the call is rejected with PermissionDenied.
func RegisterPeer(
	s grpc.ServiceRegistrar, peer track.Peer, verifyZone func(context.Context, track.AvailabilityZone) error,
) {
	wirepb.RegisterPeerServer(s, &peerServer{peer: peer, verifyZone: verifyZone})
}

// Heartbeat implements wirepb.PeerServer.
func (s *peerServer) Heartbeat(ctx context.Context, m *wirepb.HeartbeatRequest) (*wirepb.HeartbeatReply, error) {
	h := decodeHeartbeat(m)
	if err := s.checkSender(ctx, h.From.Zone); err != nil {
		return nil, err
	}
	reply, err := s.peer.Heartbeat(ctx, h)
	if err != nil {
		return nil, peerStatusError(err)
	}
	return EncodeHeartbeatReply(reply), nil
}

// Digest implements wirepb.PeerServer.
func (s *peerServer) Digest(ctx context.Context, m *wirepb.DigestRequest) (*wirepb.DigestReply, error) {
	q := decodeDigestQuery(m)
	if err := s.checkSender(ctx, q.From.Zone); err != nil {
		return nil, err
	}
	digest, err := s.peer.Digest(ctx, q)
	if err != nil {
		return nil, peerStatusError(err)
	}
	return EncodeDigest(digest), nil
}

// Fetch implements wirepb.PeerServer.
func (s *peerServer) Fetch(ctx context.Context, m *wirepb.FetchRequest) (*wirepb.FetchReply, error) {
	data, err := s.peer.Fetch(ctx, track.InstanceID(m.GetFrom()), decodePayload(m.GetRequest()))
	if err != nil {
		return nil, peerStatusError(err)
	}
	return &wirepb.FetchReply{Data: data}, nil
}

// checkSender returns a PermissionDenied status if the caller may not send messages for
// the zone.
func (s *peerServer) checkSender(ctx context.Context, zone track.AvailabilityZone) error {
	if s.verifyZone == nil {
		return nil
	}
	if err := s.verifyZone(ctx, zone); err != nil {
		return status.Error(codes.PermissionDenied, err.Error())
	}
	return nil
}

// peerStatusError returns the gRPC status error for an error of a peer.
func peerStatusError(err error) error {
	if track.IsKind(err, track.Refused) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Internal, err.Error())
}

// peerClient implements track.Peer over a gRPC connection.
type peerClient struct {
	client wirepb.PeerClient
}

// NewPeer returns a client of the peer at the other end of a connection.
func NewPeer(conn grpc.ClientConnInterface) track.Peer {
	return &peerClient{client: wirepb.NewPeerClient(conn)}
}

// Heartbeat implements track.Peer.
func (c *peerClient) Heartbeat(ctx context.Context, h track.Heartbeat) (track.HeartbeatReply, error) {
	reply, err := c.client.Heartbeat(ctx, EncodeHeartbeat(h))
	if err != nil {
		return track.HeartbeatReply{}, peerError("send heartbeat", err)
	}
	return decodeHeartbeatReply(reply), nil
}

// Digest implements track.Peer.
func (c *peerClient) Digest(ctx context.Context, q track.DigestQuery) (track.Digest, error) {
	reply, err := c.client.Digest(ctx, EncodeDigestQuery(q))
	if err != nil {
		return track.Digest{}, peerError("request digest", err)
	}
	return decodeDigest(reply), nil
}

// Fetch implements track.Peer.
func (c *peerClient) Fetch(ctx context.Context, from track.InstanceID, request track.Payload) ([]byte, error) {
	reply, err := c.client.Fetch(ctx, &wirepb.FetchRequest{From: string(from), Request: encodePayload(request)})
	if err != nil {
		return nil, peerError("fetch from peer", err)
	}
	return reply.GetData(), nil
}

// peerError returns the track.Error of a failed call to a peer.
func peerError(op string, err error) error {
	switch status.Code(err) {
	case codes.FailedPrecondition, codes.PermissionDenied, codes.Unimplemented:
		return track.Fail(op, track.Refused, err)
	case codes.DeadlineExceeded:
		return track.Fail(op, track.TimedOut, err)
	case codes.Unavailable:
		if connectionRefused(err) {
			err = errors.Join(track.ErrNoListener, err)
		}
		return track.Fail(op, track.Unavailable, err)
	default:
		return track.Fail(op, track.Ambiguous, err)
	}
}

// connectionRefused reports whether a call failed because the peer's machine refused
// the connection. It compares text, because gRPC does not pass on the cause otherwise.
func connectionRefused(err error) bool {
	return strings.Contains(status.Convert(err).Message(), syscall.ECONNREFUSED.Error())
}
