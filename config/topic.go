package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"filberttrack.example/track"
)

// A state larger than one part is transferred in several, so that each response
// is within the size limit of Fetch.
const (
	// partBytes is the length of one part of a complete state.
	partBytes = 512 << 10
	// maxParts is the maximum number of parts accepted from a peer.
	maxParts = 256
)

// configRequest asks a peer for newer configuration or for a further part of a
// state.
type configRequest struct {
	Since track.ConfigPosition
	// Part is the number of the requested part; 0 requests newer configuration.
	// Checksum identifies the state that the previous parts belong to.
	Part     int
	Checksum string
}

// configResponse is the encoding of track.ConfigUpdate between instances. A
// complete state is split into Parts parts, of which State holds one.
type configResponse struct {
	Position track.ConfigPosition
	Records  [][]byte
	Next     uint64
	State    []byte
	Parts    int
}

// Handler responds to the requests of peers through Fetch. It implements
// track.TopicHandler.
type Handler struct {
	store *Store

	mu sync.Mutex
	// state is the encoded state that was last sent to a peer; checksum is its
	// checksum.
	state    []byte
	checksum string
}

// NewHandler returns the handler for a store.
func NewHandler(store *Store) *Handler { return &Handler{store: store} }

// Topic implements track.TopicHandler.
func (*Handler) Topic() track.Topic { return track.TopicConfig }

// PayloadsFor implements track.TopicHandler. Instances fetch the configuration; nothing
// is pushed to them.
func (*Handler) PayloadsFor(track.Instance) [][]byte { return nil }

// Receive implements track.TopicHandler.
func (*Handler) Receive(track.InstanceID, []byte) {}

// Fetch implements track.TopicHandler.
func (h *Handler) Fetch(_ track.InstanceID, request []byte) ([]byte, error) {
	var req configRequest
	if err := json.Unmarshal(request, &req); err != nil {
		return nil, track.Fail("decode configuration request", Invalid, err)
	}
	resp, err := h.respond(req)
	if err != nil {
		return nil, err
	}
	return json.Marshal(resp)
}

func (h *Handler) respond(req configRequest) (configResponse, error) {
	if req.Part > 0 {
		return h.statePart(req)
	}
	update, err := h.store.FetchUpdate(context.Background(), req.Since)
	if err != nil {
		return configResponse{}, err
	}
	if totalBytes(update.Records) > partBytes {
		// For a peer that is far behind, the complete state is about as short
		// as the records, and it can be sent in parts.
		update, err = h.store.FetchUpdate(context.Background(), track.ConfigPosition{})
		if err != nil {
			return configResponse{}, err
		}
	}
	resp := configResponse{Position: update.Position, Records: update.Records, Next: update.Next}
	if len(update.State) > 0 {
		h.mu.Lock()
		h.state, h.checksum = update.State, update.Position.Checksum
		h.mu.Unlock()
		resp.State, resp.Parts = statePartOf(update.State, 0)
	}
	return resp, nil
}

func (h *Handler) statePart(req configRequest) (configResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if req.Checksum != h.checksum {
		return configResponse{}, track.Fail("send part of state", Invalid,
			errors.New("the state has been replaced; start again with the first part"))
	}
	var resp configResponse
	resp.State, resp.Parts = statePartOf(h.state, req.Part)
	return resp, nil
}

// statePartOf returns one part of the data and the number of parts.
func statePartOf(data []byte, part int) ([]byte, int) {
	parts := (len(data) + partBytes - 1) / partBytes
	if part >= parts {
		return nil, parts
	}
	return data[part*partBytes : min(len(data), (part+1)*partBytes)], parts
}

func totalBytes(records [][]byte) int {
	n := 0
	for _, r := range records {
		n += len(r)
	}
	return n
}

// MemberPeers finds peers through membership and sends them requests through Fetch. It
// implements track.ConfigPeers.
type MemberPeers struct {
	Self   track.InstanceID
	Dialer track.PeerDialer
	// PollTargets returns the peers to poll regularly.
	PollTargets func() []track.Instance
	// KnownInstances returns all known live instances.
	KnownInstances func() []track.Instance
}

// Contacts implements track.ConfigPeers.
func (r *MemberPeers) Contacts() []track.ConfigContact { return r.contacts(r.PollTargets()) }

// AllContacts implements track.ConfigPeers.
func (r *MemberPeers) AllContacts() []track.ConfigContact { return r.contacts(r.KnownInstances()) }

func (r *MemberPeers) contacts(instances []track.Instance) []track.ConfigContact {
	var contacts []track.ConfigContact
	for _, i := range instances {
		if i.ID == r.Self || i.Address == "" || i.Role == track.RoleBackendServer {
			continue
		}
		contacts = append(contacts, track.ConfigContact{Instance: i, Peer: &remotePeer{remote: r, instance: i}})
	}
	return contacts
}

// remotePeer implements track.ConfigPeer for one instance.
type remotePeer struct {
	remote   *MemberPeers
	instance track.Instance
}

// FetchUpdate implements track.ConfigPeer.
func (p *remotePeer) FetchUpdate(ctx context.Context, since track.ConfigPosition) (track.ConfigUpdate, error) {
	peer, err := p.remote.Dialer.DialPeer(p.instance)
	if err != nil {
		return track.ConfigUpdate{}, err
	}
	first, err := p.fetch(ctx, peer, configRequest{Since: since})
	if err != nil {
		return track.ConfigUpdate{}, err
	}
	if first.Parts > maxParts {
		return track.ConfigUpdate{}, track.Fail("fetch state", Invalid,
			fmt.Errorf("the state has too many parts: %d", first.Parts))
	}
	update := track.ConfigUpdate{Position: first.Position, Records: first.Records, Next: first.Next, State: first.State}
	for part := 1; part < first.Parts; part++ {
		next, err := p.fetch(ctx, peer, configRequest{Part: part, Checksum: first.Position.Checksum})
		if err != nil {
			return track.ConfigUpdate{}, err
		}
		update.State = append(update.State, next.State...)
	}
	return update, nil
}

func (p *remotePeer) fetch(ctx context.Context, peer track.Peer, req configRequest) (configResponse, error) {
	var resp configResponse
	request, err := json.Marshal(req)
	if err != nil {
		return resp, track.Fail("encode configuration request", Invalid, err)
	}
	data, err := peer.Fetch(ctx, p.remote.Self, track.Payload{Topic: track.TopicConfig, Data: request})
	if err != nil {
		return resp, err
	}
	if err := json.Unmarshal(data, &resp); err != nil {
		return resp, track.Fail("decode configuration response", Invalid, err)
	}
	return resp, nil
}
