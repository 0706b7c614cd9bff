package wire

import (
	"context"

	"google.golang.org/grpc"

	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

// rankGroupServer serves the calls of other agents with a track.RankGateway.
type rankGroupServer struct {
	wirepb.UnimplementedRankGroupServer
	gateway track.RankGateway
}

// RegisterRankGateway makes the gRPC server serve the gateway to the ranks behind an
// agent.
func RegisterRankGateway(s grpc.ServiceRegistrar, gateway track.RankGateway) {
	wirepb.RegisterRankGroupServer(s, &rankGroupServer{gateway: gateway})
}

// Order implements wirepb.RankGroupServer.
func (s *rankGroupServer) Order(ctx context.Context, o *wirepb.MapOrder) (*wirepb.MapReply, error) {
	reply, err := s.gateway.Order(ctx, mapOrderFromProto(o))
	if err != nil {
		return nil, statusError(err)
	}
	return mapReplyToProto(reply), nil
}

// Counts implements wirepb.RankGroupServer.
func (s *rankGroupServer) Counts(ctx context.Context, _ *wirepb.CountsRequest) (*wirepb.ExpertCounts, error) {
	counts, err := s.gateway.Counts(ctx)
	if err != nil {
		return nil, statusError(err)
	}
	return expertCountsToProto(counts), nil
}

// rankGatewayClient implements track.RankGateway over a gRPC connection.
type rankGatewayClient struct {
	client wirepb.RankGroupClient
}

// DialRankGateway returns a client of the gateway to the ranks behind the agent. It
// does not wait for a connection.
func (d *Dialer) DialRankGateway(agent track.Instance) (track.RankGateway, error) {
	conn, err := d.conn(agent)
	if err != nil {
		return nil, err
	}
	return &rankGatewayClient{client: wirepb.NewRankGroupClient(conn)}, nil
}

// Order implements track.RankGateway.
func (c *rankGatewayClient) Order(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	reply, err := c.client.Order(ctx, mapOrderToProto(o))
	if err != nil {
		return track.MapReply{}, callError("send order to rank", err)
	}
	return mapReplyFromProto(reply), nil
}

// Counts implements track.RankGateway.
func (c *rankGatewayClient) Counts(ctx context.Context) (track.ExpertCounts, error) {
	counts, err := c.client.Counts(ctx, &wirepb.CountsRequest{})
	if err != nil {
		return track.ExpertCounts{}, callError("read expert counts", err)
	}
	return expertCountsFromProto(counts), nil
}
