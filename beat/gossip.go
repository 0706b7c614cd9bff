package beat

import (
	"sync"

	"filberttrack.example/track"
)

// Gossip carries notices of one topic between the entries of a zone. Each notice
// holds all that its sender has to say, so that only the latest is kept. It
// implements track.TopicHandler.
type Gossip struct {
	topic track.Topic
	// urgent makes notices go out at once; nil lets them wait for heartbeats.
	urgent func()

	mu sync.Mutex
	// latest is the latest notice, and version its number.
	latest  []byte
	version uint64
	// sent holds the version that each peer was sent last.
	sent   map[track.InstanceID]uint64
	handle []func(track.Notice)
	// summary returns what other zones are told; nil if they are told nothing.
	summary func() []byte
}

// NewGossip returns the carrier of a topic.
func NewGossip(topic track.Topic) *Gossip {
	return &Gossip{topic: topic, sent: make(map[track.InstanceID]uint64)}
}

// Topic implements track.TopicHandler.
func (g *Gossip) Topic() track.Topic { return g.topic }

// Offer implements track.TopicHandler. It hands a peer the latest notice once.
func (g *Gossip) Offer(to track.Instance) [][]byte {
	if to.Role != track.RoleEntry {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sent[to.ID] == g.version {
		return nil
	}
	g.sent[to.ID] = g.version
	return [][]byte{g.latest}
}

// Receive implements track.TopicHandler.
func (g *Gossip) Receive(from track.InstanceID, data []byte) {
	g.mu.Lock()
	handle := g.handle
	g.mu.Unlock()
	for _, h := range handle {
		h(track.Notice{Topic: g.topic, From: from, Data: data})
	}
}

// Summary returns what other zones are told, or nil.
func (g *Gossip) Summary() []byte {
	g.mu.Lock()
	summary := g.summary
	g.mu.Unlock()
	if summary == nil {
		return nil
	}
	return summary()
}

// Summarized takes the summary of another zone.
func (g *Gossip) Summarized(from track.InstanceID, zone track.AvailabilityZone, data []byte) {
	g.mu.Lock()
	handle := g.handle
	g.mu.Unlock()
	for _, h := range handle {
		h(track.Notice{Topic: g.topic, From: from, Zone: zone, Data: data})
	}
}

// Fetch implements track.TopicHandler. Notices are not fetched.
func (g *Gossip) Fetch(track.InstanceID, []byte) ([]byte, error) {
	return nil, track.Fail("fetch notices", UnknownTopic, nil)
}

func (g *Gossip) publish(data []byte) {
	g.mu.Lock()
	g.version++
	g.latest = data
	urgent := g.urgent
	g.mu.Unlock()
	if urgent != nil {
		urgent()
	}
}

func (g *Gossip) subscribe(handle func(track.Notice)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handle = append(g.handle, handle)
}

// Notices joins the carriers of several topics. It implements track.Gossip.
type Notices struct {
	carriers map[track.Topic]*Gossip
}

// NewNotices returns carriers for the topics.
func NewNotices(topics ...track.Topic) *Notices {
	n := &Notices{carriers: make(map[track.Topic]*Gossip, len(topics))}
	for _, t := range topics {
		n.carriers[t] = NewGossip(t)
	}
	return n
}

// Handlers returns the carriers, for Options.
func (n *Notices) Handlers() []track.TopicHandler {
	handlers := make([]track.TopicHandler, 0, len(n.carriers))
	for _, g := range n.carriers {
		handlers = append(handlers, g)
	}
	return handlers
}

// Hurry makes the notices of a topic go out with heartbeats of their own.
func (n *Notices) Hurry(topic track.Topic, x *Exchange) {
	if g := n.carriers[topic]; g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.urgent = x.hurry
	}
}

// Publish implements track.Gossip. Topics without a carrier are passed over.
func (n *Notices) Publish(notice track.Notice) {
	if g := n.carriers[notice.Topic]; g != nil {
		g.publish(notice.Data)
	}
}

// Subscribe implements track.Gossip.
func (n *Notices) Subscribe(topic track.Topic, handle func(track.Notice)) {
	if g := n.carriers[topic]; g != nil {
		g.subscribe(handle)
	}
}

// Summarize implements track.Gossip.
func (n *Notices) Summarize(topic track.Topic, summary func() []byte) {
	if g := n.carriers[topic]; g != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.summary = summary
	}
}
