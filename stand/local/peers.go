package local

import (
	"context"

	"filberttrack.example/track"
)

// ServePeer makes the instance at the address answer heartbeats. Killing the
// address ends that too.
func (n *Network) ServePeer(address string, peer track.Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[address] = peer
}

// PeersFrom returns the dialer by which an instance reaches its peers.
func (n *Network) PeersFrom(id track.InstanceID) track.PeerDialer {
	return &peerDialer{network: n, from: id}
}

// peerDialer implements track.PeerDialer.
type peerDialer struct {
	network *Network
	from    track.InstanceID
}

// DialPeer implements track.PeerDialer.
func (d *peerDialer) DialPeer(instance track.Instance) (track.Peer, error) {
	return &peerPort{network: d.network, link: link{d.from, instance.Address}}, nil
}

// peerPort implements track.Peer over the network.
type peerPort struct {
	network *Network
	link    link
}

// reach returns the peer, or why it can't be reached. A message on a cut link is
// lost.
func (p *peerPort) reach(ctx context.Context, op string) (track.Peer, error) {
	p.network.mu.Lock()
	_, cut := p.network.cut[p.link]
	// The address of an instance is its ID here; a killed one sends nothing.
	cut = cut || p.network.killed[string(p.link.from)]
	peer := p.network.peers[p.link.address]
	p.network.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, track.Fail(op, track.TimedOut, errCut)
	}
	if peer == nil {
		return nil, track.Fail(op, track.Unavailable, track.ErrNoListener)
	}
	return peer, nil
}

// Heartbeat implements track.Peer.
func (p *peerPort) Heartbeat(ctx context.Context, h track.Heartbeat) (track.HeartbeatReply, error) {
	peer, err := p.reach(ctx, "send heartbeat")
	if err != nil {
		return track.HeartbeatReply{}, err
	}
	return peer.Heartbeat(ctx, h)
}

// Digest implements track.Peer.
func (p *peerPort) Digest(ctx context.Context, q track.DigestQuery) (track.Digest, error) {
	peer, err := p.reach(ctx, "ask for digest")
	if err != nil {
		return track.Digest{}, err
	}
	return peer.Digest(ctx, q)
}

// Fetch implements track.Peer.
func (p *peerPort) Fetch(ctx context.Context, from track.InstanceID, request track.Payload) ([]byte, error) {
	peer, err := p.reach(ctx, "fetch")
	if err != nil {
		return nil, err
	}
	return peer.Fetch(ctx, from, request)
}
