package beat

import (
	"sync"

	"filberttrack.example/track"
)

// NoticeHandler sends and receives the notices of one topic between the entries of a
// zone. Each notice contains the complete state of its sender, so that only the latest
// one is kept. It implements track.TopicHandler and is safe for concurrent use.
type NoticeHandler struct {
	topic track.Topic
	// sendNow makes heartbeats due at once, so that a new notice is sent immediately. If
	// it is nil, notices wait for the next regular heartbeats.
	sendNow func()

	mu sync.Mutex
	// latest is the last published notice, and version the number of notices published so
	// far.
	latest  []byte
	version uint64
	// sentVersions holds the version of the notice that was last sent to each peer.
	sentVersions map[track.InstanceID]uint64
	subscribers  []func(track.Notice)
	// summary returns the summary for other zones. It is nil if there is none.
	summary func() []byte
}

// NewNoticeHandler returns the handler of a topic.
func NewNoticeHandler(topic track.Topic) *NoticeHandler {
	return &NoticeHandler{topic: topic, sentVersions: make(map[track.InstanceID]uint64)}
}

// Topic implements track.TopicHandler.
func (h *NoticeHandler) Topic() track.Topic { return h.topic }

// PayloadsFor implements track.TopicHandler. It returns the latest notice, once for each peer
// that is an entry.
func (h *NoticeHandler) PayloadsFor(to track.Instance) [][]byte {
	if to.Role != track.RoleEntry {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sentVersions[to.ID] == h.version {
		return nil
	}
	h.sentVersions[to.ID] = h.version
	return [][]byte{h.latest}
}

// Receive implements track.TopicHandler. It calls the subscribers with the notice of a
// peer.
func (h *NoticeHandler) Receive(from track.InstanceID, data []byte) {
	h.mu.Lock()
	subscribers := h.subscribers
	h.mu.Unlock()
	for _, notify := range subscribers {
		notify(track.Notice{Topic: h.topic, From: from, Data: data})
	}
}

// Summary returns the summary for other zones, or nil if there is none.
func (h *NoticeHandler) Summary() []byte {
	h.mu.Lock()
	summary := h.summary
	h.mu.Unlock()
	if summary == nil {
		return nil
	}
	return summary()
}

// ReceiveSummary calls the subscribers with the summary of another zone.
func (h *NoticeHandler) ReceiveSummary(from track.InstanceID, zone track.AvailabilityZone, data []byte) {
	h.mu.Lock()
	subscribers := h.subscribers
	h.mu.Unlock()
	for _, notify := range subscribers {
		notify(track.Notice{Topic: h.topic, From: from, Zone: zone, Data: data})
	}
}

// Fetch implements track.TopicHandler. It always fails, since notices are only sent with
// heartbeats.
func (h *NoticeHandler) Fetch(track.InstanceID, []byte) ([]byte, error) {
	return nil, track.Fail("fetch notices", UnknownTopic, nil)
}

func (h *NoticeHandler) publish(data []byte) {
	h.mu.Lock()
	h.version++
	h.latest = data
	sendNow := h.sendNow
	h.mu.Unlock()
	if sendNow != nil {
		sendNow()
	}
}

func (h *NoticeHandler) subscribe(notify func(track.Notice)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, notify)
}

// Notices combines the notice handlers of several topics. It implements track.Gossip.
type Notices struct {
	handlers map[track.Topic]*NoticeHandler
}

// NewNotices returns Notices with a handler for each of the topics.
func NewNotices(topics ...track.Topic) *Notices {
	n := &Notices{handlers: make(map[track.Topic]*NoticeHandler, len(topics))}
	for _, t := range topics {
		n.handlers[t] = NewNoticeHandler(t)
	}
	return n
}

// Handlers returns the notice handlers, for use in Options.TopicHandlers.
func (n *Notices) Handlers() []track.TopicHandler {
	handlers := make([]track.TopicHandler, 0, len(n.handlers))
	for _, h := range n.handlers {
		handlers = append(handlers, h)
	}
	return handlers
}

// SendImmediately makes the notices of a topic trigger heartbeats to all entries of the zone at
// once, instead of waiting for the regular ones.
func (n *Notices) SendImmediately(topic track.Topic, x *Exchange) {
	if h := n.handlers[topic]; h != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.sendNow = x.sendHeartbeatsNow
	}
}

// Publish implements track.Gossip. Notices of a topic without a handler are ignored.
func (n *Notices) Publish(notice track.Notice) {
	if h := n.handlers[notice.Topic]; h != nil {
		h.publish(notice.Data)
	}
}

// Subscribe implements track.Gossip.
func (n *Notices) Subscribe(topic track.Topic, notify func(track.Notice)) {
	if h := n.handlers[topic]; h != nil {
		h.subscribe(notify)
	}
}

// Summarize implements track.Gossip.
func (n *Notices) Summarize(topic track.Topic, summary func() []byte) {
	if h := n.handlers[topic]; h != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.summary = summary
	}
}
