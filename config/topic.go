package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"filberttrack.example/track"
)

// Bounds of one answer, so that it passes through Fetch.
const (
	// partBytes is the length of one part of a whole state.
	partBytes = 512 << 10
	// maxParts bounds the parts of a state that is taken from a peer.
	maxParts = 256
)

// question asks a peer for news, or for a further part of a state.
type question struct {
	Since track.ConfigPosition
	// Part is the number of the part asked for; Checksum names the state that
	// the parts before belong to.
	Part     int
	Checksum string
}

// answer carries news in the encoding between instances. A whole state comes in
// parts.
type answer struct {
	Position track.ConfigPosition
	Records  [][]byte
	Next     uint64
	State    []byte
	Parts    int
}

// Handler answers the questions of peers that come in through Fetch. It
// implements track.TopicHandler.
type Handler struct {
	store *Store

	mu sync.Mutex
	// state is the latest state that was handed out, by its checksum.
	state    []byte
	checksum string
}

// NewHandler returns the handler for a store.
func NewHandler(store *Store) *Handler { return &Handler{store: store} }

// Topic implements track.TopicHandler.
func (*Handler) Topic() track.Topic { return track.TopicConfig }

// Offer implements track.TopicHandler. Instances ask; nothing is offered.
func (*Handler) Offer(track.Instance) [][]byte { return nil }

// Receive implements track.TopicHandler.
func (*Handler) Receive(track.InstanceID, []byte) {}

// Fetch implements track.TopicHandler.
func (h *Handler) Fetch(_ track.InstanceID, request []byte) ([]byte, error) {
	var q question
	if err := json.Unmarshal(request, &q); err != nil {
		return nil, track.Fail("decode question for configuration", Invalid, err)
	}
	a, err := h.answer(q)
	if err != nil {
		return nil, err
	}
	return json.Marshal(a)
}

func (h *Handler) answer(q question) (answer, error) {
	if q.Part > 0 {
		return h.part(q)
	}
	news, err := h.store.News(context.Background(), q.Since)
	if err != nil {
		return answer{}, err
	}
	if size(news.Records) > partBytes {
		// A long way behind, the whole state is as short, and it comes in parts.
		news, err = h.store.News(context.Background(), track.ConfigPosition{})
		if err != nil {
			return answer{}, err
		}
	}
	a := answer{Position: news.Position, Records: news.Records, Next: news.Next}
	if len(news.State) > 0 {
		h.mu.Lock()
		h.state, h.checksum = news.State, news.Position.Checksum
		h.mu.Unlock()
		a.State, a.Parts = cut(news.State, 0)
	}
	return a, nil
}

func (h *Handler) part(q question) (answer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if q.Checksum != h.checksum {
		return answer{}, track.Fail("hand on part of state", Invalid, errors.New("the state has been replaced; begin again"))
	}
	var a answer
	a.State, a.Parts = cut(h.state, q.Part)
	return a, nil
}

// cut returns one part of the data and the number of parts.
func cut(data []byte, part int) ([]byte, int) {
	parts := (len(data) + partBytes - 1) / partBytes
	if part >= parts {
		return nil, parts
	}
	return data[part*partBytes : min(len(data), (part+1)*partBytes)], parts
}

func size(records [][]byte) int {
	n := 0
	for _, r := range records {
		n += len(r)
	}
	return n
}

// Remote finds peers through membership and asks them through Fetch. It
// implements track.ConfigPeers.
type Remote struct {
	Self   track.InstanceID
	Dialer track.PeerDialer
	// Near returns the peers to ask regularly, All every live instance known.
	Near func() []track.Instance
	All  func() []track.Instance
}

// Contacts implements track.ConfigPeers.
func (r *Remote) Contacts() []track.ConfigContact { return r.contacts(r.Near()) }

// Known implements track.ConfigPeers.
func (r *Remote) Known() []track.ConfigContact { return r.contacts(r.All()) }

func (r *Remote) contacts(instances []track.Instance) []track.ConfigContact {
	var contacts []track.ConfigContact
	for _, i := range instances {
		if i.ID == r.Self || i.Address == "" || i.Role == track.RoleBackendServer {
			continue
		}
		contacts = append(contacts, track.ConfigContact{Instance: i, Peer: &remotePeer{remote: r, instance: i}})
	}
	return contacts
}

// remotePeer implements track.ConfigPeer.
type remotePeer struct {
	remote   *Remote
	instance track.Instance
}

// News implements track.ConfigPeer.
func (p *remotePeer) News(ctx context.Context, since track.ConfigPosition) (track.ConfigNews, error) {
	peer, err := p.remote.Dialer.DialPeer(p.instance)
	if err != nil {
		return track.ConfigNews{}, err
	}
	first, err := p.fetch(ctx, peer, question{Since: since})
	if err != nil {
		return track.ConfigNews{}, err
	}
	if first.Parts > maxParts {
		return track.ConfigNews{}, track.Fail("fetch state", Invalid, fmt.Errorf("it has %d parts", first.Parts))
	}
	news := track.ConfigNews{Position: first.Position, Records: first.Records, Next: first.Next, State: first.State}
	for part := 1; part < first.Parts; part++ {
		next, err := p.fetch(ctx, peer, question{Part: part, Checksum: first.Position.Checksum})
		if err != nil {
			return track.ConfigNews{}, err
		}
		news.State = append(news.State, next.State...)
	}
	return news, nil
}

func (p *remotePeer) fetch(ctx context.Context, peer track.Peer, q question) (answer, error) {
	var a answer
	request, err := json.Marshal(q)
	if err != nil {
		return a, track.Fail("ask for configuration", Invalid, err)
	}
	data, err := peer.Fetch(ctx, p.remote.Self, track.Payload{Topic: track.TopicConfig, Data: request})
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, track.Fail("decode answer of a peer", Invalid, err)
	}
	return a, nil
}
