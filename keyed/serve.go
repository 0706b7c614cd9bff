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

// pathMirror is the path on which peers read each other's mirrors.
const pathMirror = "/keyed/mirror"

// peerTimeout bounds a call to a peer.
const peerTimeout = 700 * time.Millisecond

// question asks for the records of a topic from an offset on, or for the newest
// record of each key.
type question struct {
	Topic  string
	From   uint64
	Newest bool
}

// Serve lets peers read the mirrors of the topics.
func Serve(mux *http.ServeMux, mirrors map[string]*Mirror) {
	talk.Handle(mux, pathMirror, func(_ context.Context, q question) (track.KeyedPage, error) {
		mirror := mirrors[q.Topic]
		switch {
		case mirror == nil:
			return track.KeyedPage{}, track.Fail("read mirror", track.Invalid, fmt.Errorf("topic %q isn't mirrored", q.Topic))
		case q.Newest:
			return mirror.Newest()
		}
		return mirror.Since(q.From)
	})
}

// Peer reads the mirrors of a peer.
type Peer struct {
	client  *talk.Client
	address string
}

var _ track.KeyedLog = (*Peer)(nil)

// NewPeer returns the port to the mirrors of the peer at an address.
func NewPeer(client *talk.Client, address string) *Peer {
	return &Peer{client: client, address: address}
}

// Newest implements track.KeyedLog. It returns all keys in one page.
func (p *Peer) Newest(ctx context.Context, topic, _ string) (track.KeyedPage, error) {
	return p.ask(ctx, question{Topic: topic, Newest: true})
}

// Read implements track.KeyedLog. It doesn't wait.
func (p *Peer) Read(ctx context.Context, topic string, from uint64, _ time.Duration) (track.KeyedPage, error) {
	return p.ask(ctx, question{Topic: topic, From: from})
}

func (p *Peer) ask(ctx context.Context, q question) (track.KeyedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return talk.Call[question, track.KeyedPage](ctx, p.client, p.address, pathMirror, q)
}

var errReadOnly = errors.New("mirrors are read-only")

// Put implements track.KeyedLog. Mirrors take no records.
func (p *Peer) Put(context.Context, string, string, []byte) error {
	return track.Fail("put record", track.Refused, errReadOnly)
}
