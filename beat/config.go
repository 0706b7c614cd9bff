package beat

import (
	"context"
	"encoding/json"

	"filberttrack.example/track"
)

// ConfigTopic hands out configuration to peers that ask for it. It implements
// track.TopicHandler.
type ConfigTopic struct {
	source track.ConfigPeer
}

// NewConfigTopic returns the handler that answers from the source.
func NewConfigTopic(source track.ConfigPeer) *ConfigTopic {
	return &ConfigTopic{source: source}
}

// Topic implements track.TopicHandler.
func (*ConfigTopic) Topic() track.Topic { return track.TopicConfig }

// Offer implements track.TopicHandler. Configuration is sent on request only.
func (*ConfigTopic) Offer(track.Instance) [][]byte { return nil }

// Receive implements track.TopicHandler.
func (*ConfigTopic) Receive(track.InstanceID, []byte) {}

// Fetch implements track.TopicHandler.
func (c *ConfigTopic) Fetch(_ track.InstanceID, request []byte) ([]byte, error) {
	var since track.ConfigPosition
	if err := json.Unmarshal(request, &since); err != nil {
		return nil, track.Fail("decode position", track.Invalid, err)
	}
	news, err := c.source.News(context.Background(), since)
	if err != nil {
		return nil, err
	}
	return json.Marshal(news)
}

// Contacts implements track.ConfigPeers: the live entries of the own zone, and
// the entry of each other zone that is asked for digests.
func (x *Exchange) Contacts() []track.ConfigContact {
	x.mu.Lock()
	defer x.mu.Unlock()
	var contacts []track.ConfigContact
	add := func(i track.Instance) {
		contacts = append(contacts, track.ConfigContact{Instance: i, Peer: &configPeer{x, i.ID}})
	}
	for _, e := range x.state.Entries() {
		if i, ok := x.state.Find(e.ID); ok && e.ID != x.options.Self.ID {
			add(i)
		}
	}
	for _, z := range x.state.ZoneContacts() {
		add(z.Entries[0])
	}
	return contacts
}

// configPeer implements track.ConfigPeer by asking a peer.
type configPeer struct {
	exchange *Exchange
	id       track.InstanceID
}

// News implements track.ConfigPeer.
func (p *configPeer) News(ctx context.Context, since track.ConfigPosition) (track.ConfigNews, error) {
	var news track.ConfigNews
	request, err := json.Marshal(since)
	if err != nil {
		return news, track.Fail("encode position", track.Internal, err)
	}
	data, err := p.exchange.Ask(ctx, p.id, track.Payload{Topic: track.TopicConfig, Data: request})
	if err != nil {
		return news, err
	}
	if err := json.Unmarshal(data, &news); err != nil {
		return news, track.Fail("decode configuration of a peer", track.Invalid, err)
	}
	return news, nil
}
