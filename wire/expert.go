package wire

import (
	"context"

	"google.golang.org/grpc"

	"filberttrack.example/track"
	"filberttrack.example/track/wire/wirepb"
)

// doorServer exposes a track.RankGateway over gRPC.
type doorServer struct {
	wirepb.UnimplementedRankGroupServer
	door track.RankGateway
}

// RegisterDoor exposes the ranks behind an agent on the gRPC server.
func RegisterDoor(s grpc.ServiceRegistrar, door track.RankGateway) {
	wirepb.RegisterRankGroupServer(s, &doorServer{door: door})
}

// Order implements wirepb.RankGroupServer.
func (s *doorServer) Order(ctx context.Context, o *wirepb.MapOrder) (*wirepb.MapReply, error) {
	reply, err := s.door.Order(ctx, orderFromWire(o))
	if err != nil {
		return nil, toStatus(err)
	}
	return mapReplyToWire(reply), nil
}

// Counts implements wirepb.RankGroupServer.
func (s *doorServer) Counts(ctx context.Context, _ *wirepb.CountsRequest) (*wirepb.ExpertCounts, error) {
	counts, err := s.door.Counts(ctx)
	if err != nil {
		return nil, toStatus(err)
	}
	return countsToWire(counts), nil
}

// doorClient implements track.RankGateway over a connection.
type doorClient struct {
	client wirepb.RankGroupClient
}

// DialDoor returns the port to the ranks behind the agent. It
// does not wait for a connection.
func (d *Dialer) DialDoor(agent track.Instance) (track.RankGateway, error) {
	conn, err := d.conn(agent)
	if err != nil {
		return nil, err
	}
	return &doorClient{client: wirepb.NewRankGroupClient(conn)}, nil
}

// Order implements track.MapMember.
func (c *doorClient) Order(ctx context.Context, o track.MapOrder) (track.MapReply, error) {
	reply, err := c.client.Order(ctx, orderToWire(o))
	if err != nil {
		return track.MapReply{}, fromStatus("order rank", err)
	}
	return mapReplyFromWire(reply), nil
}

// Counts implements track.ExpertCounter.
func (c *doorClient) Counts(ctx context.Context) (track.ExpertCounts, error) {
	counts, err := c.client.Counts(ctx, &wirepb.CountsRequest{})
	if err != nil {
		return track.ExpertCounts{}, fromStatus("read expert counts", err)
	}
	return countsFromWire(counts), nil
}
