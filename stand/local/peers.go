package local

import (
	"context"

	"filberttrack.example/track"
)

// ServePeer makes the peer reachable at the address until Kill is called for it.
func (n *Network) ServePeer(address string, peer track.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[address] = peer
}

// PeerDialer returns the dialer by which an instance reaches its peers.
func (n *Network) PeerDialer(id track.InstanceID) track.PeerDialer {
	return &peerDialer{network: n, from: id}
}

// peerDialer implements track.PeerDialer.
type peerDialer struct {
	network *Network
	from    track.InstanceID
}

// DialPeer implements track.PeerDialer.
func (d *peerDialer) DialPeer(instance track.Instance) (track.Peer, error) {
	return &peerClient{network: d.network, link: link{d.from, instance.Address}}, nil
}

// peerClient implements track.Peer by calls over the network.
type peerClient struct {
	network *Network
	link    link
}

// peer returns the peer at the other end of the link. If the link is cut or the
// sender was killed, the message is lost: peer blocks until ctx ends and fails with
// kind TimedOut. If no peer is there, it fails with kind Unavailable.
func (c *peerClient) peer(ctx context.Context, op string) (track.Peer, error) {
	c.network.mu.Lock()
	_, cut := c.network.cut[c.link]
	// In this network, the ID of an instance is also its address. A killed instance
	// can't send.
	cut = cut || c.network.killed[string(c.link.from)]
	peer := c.network.peers[c.link.address]
	c.network.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, track.Fail(op, track.TimedOut, errLinkCut)
	}
	if peer == nil {
		return nil, track.Fail(op, track.Unavailable, track.ErrNoListener)
	}
	return peer, nil
}

// Heartbeat implements track.Peer.
func (c *peerClient) Heartbeat(ctx context.Context, h track.Heartbeat) (track.HeartbeatReply, error) {
	peer, err := c.peer(ctx, "send heartbeat")
	if err != nil {
		return track.HeartbeatReply{}, err
	}
	return peer.Heartbeat(ctx, h)
}

// Digest implements track.Peer.
func (c *peerClient) Digest(ctx context.Context, q track.DigestQuery) (track.Digest, error) {
	peer, err := c.peer(ctx, "ask for digest")
	if err != nil {
		return track.Digest{}, err
	}
	return peer.Digest(ctx, q)
}

// Fetch implements track.Peer.
func (c *peerClient) Fetch(ctx context.Context, from track.InstanceID, request track.Payload) ([]byte, error) {
	peer, err := c.peer(ctx, "fetch")
	if err != nil {
		return nil, err
	}
	return peer.Fetch(ctx, from, request)
}
