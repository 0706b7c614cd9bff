package keyed

import (
	"context"
	"errors"
	"fmt"
	"math"
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

// unknownAge is the age of a mirror that was never confirmed, or whose peer doesn't tell.
const unknownAge time.Duration = math.MaxInt64

// HandleMirrors registers the handler through which peers read the mirrors of the followers, which
// are given by the names of their topics.
func HandleMirrors(mux *http.ServeMux, followers map[string]*Follower) {
	talk.Handle(mux, mirrorPath, func(_ context.Context, req mirrorRequest) (track.KeyedPage, error) {
		follower := followers[req.Topic]
		if follower == nil {
			return track.KeyedPage{}, track.Fail("read mirror", track.Invalid, fmt.Errorf("topic %q isn't mirrored", req.Topic))
		}
		return follower.servePeer(req)
	})
}

// servePeer returns the records of the mirror that a peer asks for, with the mirror's age.
func (f *Follower) servePeer(req mirrorRequest) (track.KeyedPage, error) {
	// The records are read later than the age: they may be newer, never older.
	age, known := f.Age()
	if !known {
		age = unknownAge
	}
	page, err := f.mirror.Since(req.From)
	if req.Newest {
		page, err = f.mirror.Newest()
	}
	page.Age = &age
	return page, err
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
	page, err := talk.Call[mirrorRequest, track.KeyedPage](ctx, p.client, p.address, mirrorPath, req)
	if page.Age == nil {
		age := unknownAge
		page.Age = &age
	}
	return page, err
}

var errReadOnly = errors.New("mirrors are read-only")

// Put implements track.KeyedLog. It always fails with an error of kind Refused, since
// mirrors are read-only.
func (p *PeerClient) Put(context.Context, string, string, []byte) error {
	return track.Fail("put record", track.Refused, errReadOnly)
}
