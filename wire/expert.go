package wire

import (
	"context"

	"google.golang.org/grpc"

	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

// rankGroupServer exposes a track.MapDoor over gRPC.
type rankGroupServer struct {
	wirepb.UnimplementedRankGroupServer
	door track.RankGateway
}

// RegisterRankGateway exposes the ranks behind an agent on the gRPC server.
func RegisterRankGateway(s grpc.ServiceRegistrar, door track.RankGateway) {
	wirepb.RegisterRankGroupServer(s, &rankGroupServer{door: door})
}

// Order implements wirepb.RankGroupServer.
func (s *rankGroupServer) Order(ctx context.Context, o *wirepb.MapOrder) (*wirepb.MapReply, error) {
	reply, err := s.door.Order(ctx, orderFromWire(o))
	if err != nil {
		return nil, toStatus(err)
	}
	return mapReplyToWire(reply), nil
}

// Counts implements wirepb.RankGroupServer.
func (s *rankGroupServer) Counts(ctx context.Context, _ *wirepb.CountsRequest) (*wirepb.ExpertCounts, error) {
	counts, err := s.door.Counts(ctx)
	if err != nil {
		return nil, toStatus(err)
	}
	return countsToWire(counts), nil
}

// rankGatewayClient implements track.MapDoor over a connection.
type rankGatewayClient struct {
	client wirepb.RankGroupClient
}

// DialRankGateway returns the port to the ranks behind the agent. It
// does not wait for a connection.
func (d *Dialer) DialRankGateway(agent track.Instance) (track.RankGateway, error) {
	conn, err := d.conn(agent)
	if err != nil {
		return nil, err
	}
	return &rankGatewayClient{client: wirepb.NewRankGroupClient(conn)}, nil
}

// Order implements track.MapMember.
func (c *rankGatewayClient) Order(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	reply, err := c.client.Order(ctx, orderToWire(o))
	if err != nil {
		return track.MapReply{}, fromStatus("order rank", err)
	}
	return mapReplyFromWire(reply), nil
}

// Counts implements track.ExpertCounter.
func (c *rankGatewayClient) Counts(ctx context.Context) (track.ExpertCounts, error) {
	counts, err := c.client.Counts(ctx, &wirepb.CountsRequest{})
	if err != nil {
		return track.ExpertCounts{}, fromStatus("read expert counts", err)
	}
	return countsFromWire(counts), nil
}
