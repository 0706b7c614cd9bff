package keyed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/talk"
)

// mirrorPath is the HTTP path on which peers read each other's mirrors.
const mirrorPath = "/keyed/mirror"

// peerTimeout is the timeout of a call to a peer.
const peerTimeout = 700 * time.Millisecond

// mirrorRequest asks for the records of a topic from the offset From on or, if Newest is
// set, for the newest record of each key.
type mirrorRequest struct {
	Topic  string
	From   uint64
	Newest bool
}

// HandleMirrors registers the handler through which peers read the mirrors. Mirrors maps the name
// of each topic to its mirror.
func HandleMirrors(mux *http.ServeMux, mirrors map[string]*Mirror) {
	talk.Handle(mux, mirrorPath, func(_ context.Context, req mirrorRequest) (track.KeyedPage, error) {
		mirror := mirrors[req.Topic]
		switch {
		case mirror == nil:
			return track.KeyedPage{}, track.Fail("read mirror", track.Invalid, fmt.Errorf("topic %q isn't mirrored", req.Topic))
		case req.Newest:
			return mirror.Newest()
		}
		return mirror.Since(req.From)
	})
}

// PeerClient is a client that reads the mirrors of one peer.
type PeerClient struct {
	client  *talk.Client
	address string
}

var _ track.KeyedLog = (*PeerClient)(nil)

// NewPeerClient returns a client for the mirrors of the peer at an address.
func NewPeerClient(client *talk.Client, address string) *PeerClient {
	return &PeerClient{client: client, address: address}
}

// Newest implements track.KeyedLog. It returns all keys in one page.
func (p *PeerClient) Newest(ctx context.Context, topic, _ string) (track.KeyedPage, error) {
	return p.call(ctx, mirrorRequest{Topic: topic, Newest: true})
}

// Read implements track.KeyedLog. It returns at once, without waiting for a record.
func (p *PeerClient) Read(ctx context.Context, topic string, from uint64, _ time.Duration) (track.KeyedPage, error) {
	return p.call(ctx, mirrorRequest{Topic: topic, From: from})
}

func (p *PeerClient) call(ctx context.Context, req mirrorRequest) (track.KeyedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return talk.Call[mirrorRequest, track.KeyedPage](ctx, p.client, p.address, mirrorPath, req)
}

var errReadOnly = errors.New("mirrors are read-only")

// Put implements track.KeyedLog. It always fails with an error of kind Refused, since
// mirrors are read-only.
func (p *PeerClient) Put(context.Context, string, string, []byte) error {
	return track.Fail("put record", track.Refused, errReadOnly)
}
