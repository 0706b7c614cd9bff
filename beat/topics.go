package beat

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

// handlerOf returns the handler of a topic, or nil.
func (x *Exchange) handlerOf(topic track.Topic) track.TopicHandler {
	i := slices.IndexFunc(x.options.TopicHandlers, func(h track.TopicHandler) bool { return h.Topic() == topic })
	if i < 0 {
		return nil
	}
	return x.options.TopicHandlers[i]
}

// payloadsFor collects the payloads for a peer. It drops payloads that exceed the limits
// on their size or number.
func (x *Exchange) payloadsFor(to track.Instance) []track.Payload {
	var payloads []track.Payload
	for _, h := range x.options.TopicHandlers {
		for _, data := range h.PayloadsFor(to) {
			if len(data) > track.MaxPayloadBytes || len(payloads) == track.MaxPayloads {
				x.counters.payloadsOversize.Inc()
				x.options.Logger.Error("payload dropped: too large or too many",
					zap.String("topic", string(h.Topic())), zap.Int("bytes", len(data)))
				continue
			}
			payloads = append(payloads, track.Payload{Topic: h.Topic(), Data: data})
		}
	}
	return payloads
}

// handlePayloads passes payloads on to the handlers of their topics. Unknown topics come
// from another version of the program and are ignored.
func (x *Exchange) handlePayloads(from track.InstanceID, payloads []track.Payload) {
	for _, p := range payloads[:min(len(payloads), track.MaxPayloads)] {
		h := x.handlerOf(p.Topic)
		if h == nil || len(p.Data) > track.MaxPayloadBytes {
			x.counters.payloadsIgnored.Inc()
			continue
		}
		h.Receive(from, p.Data)
	}
}

// Fetch implements track.Peer. It passes the request of a peer on to the handler of its
// topic.
func (x *Exchange) Fetch(_ context.Context, from track.InstanceID, request track.Payload) ([]byte, error) {
	const op = "handle fetch request"
	h := x.handlerOf(request.Topic)
	if h == nil {
		return nil, track.Fail(op, track.Refused, track.Fail(op, UnknownTopic, errors.New(string(request.Topic))))
	}
	data, err := h.Fetch(from, request.Data)
	if err != nil {
		return nil, track.Fail(op, track.Refused, err)
	}
	if len(data) > track.MaxFetchBytes {
		return nil, track.Fail(op, track.Refused, track.Fail(op, TooLarge, errors.New(string(request.Topic))))
	}
	return data, nil
}

// Ask fetches data from a peer's handler of a topic. The error is of kind TooLarge or
// UnknownPeer, or that of the call.
func (x *Exchange) Ask(ctx context.Context, to track.InstanceID, request track.Payload) ([]byte, error) {
	const op = "fetch from peer"
	if len(request.Data) > track.MaxFetchBytes {
		return nil, track.Fail(op, TooLarge, errors.New(string(request.Topic)))
	}
	x.mu.Lock()
	instance, ok := x.state.Find(to)
	x.mu.Unlock()
	if !ok {
		return nil, track.Fail(op, UnknownPeer, errors.New(string(to)))
	}
	peer, err := x.options.Dialer.DialPeer(instance)
	if err != nil {
		return nil, err
	}
	return peer.Fetch(ctx, x.options.Self.ID, request)
}

// summarizer is a topic handler that sends a summary of its zone to the entries of other
// zones.
type summarizer interface {
	// Summary returns the summary for other zones, or nil if there is none.
	Summary() []byte
	// ReceiveSummary handles the summary of another zone.
	ReceiveSummary(from track.InstanceID, zone track.AvailabilityZone, data []byte)
}

// summaryPayloads returns the summaries of all topics for another zone.
func (x *Exchange) summaryPayloads() []track.Payload {
	var payloads []track.Payload
	for _, h := range x.options.TopicHandlers {
		s, ok := h.(summarizer)
		if !ok {
			continue
		}
		data := s.Summary()
		if len(data) > 0 && len(data) <= track.MaxPayloadBytes {
			payloads = append(payloads, track.Payload{Topic: h.Topic(), Data: data})
		}
	}
	return payloads
}

// handleSummaries passes the summaries in another zone's digest on to the handlers of
// their topics.
func (x *Exchange) handleSummaries(d track.Digest) {
	for _, p := range d.Payloads {
		s, ok := x.handlerOf(p.Topic).(summarizer)
		if ok && len(p.Data) <= track.MaxPayloadBytes {
			s.ReceiveSummary(d.From, d.Zone, p.Data)
		}
	}
}
