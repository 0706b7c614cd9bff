package beat

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

// handler returns the handler of a topic, or nil.
func (x *Exchange) handler(topic track.Topic) track.TopicHandler {
	i := slices.IndexFunc(x.options.Topics, func(h track.TopicHandler) bool { return h.Topic() == topic })
	if i < 0 {
		return nil
	}
	return x.options.Topics[i]
}

// offers collects the payloads for a peer. One that passes the bound is dropped.
func (x *Exchange) offers(to track.Instance) []track.Payload {
	var payloads []track.Payload
	for _, h := range x.options.Topics {
		for _, data := range h.Offer(to) {
			if len(data) > track.MaxPayloadBytes || len(payloads) == track.MaxPayloads {
				x.counts.oversize.Inc()
				x.options.Logger.Error("payload dropped for its size or number",
					zap.String("topic", string(h.Topic())), zap.Int("bytes", len(data)))
				continue
			}
			payloads = append(payloads, track.Payload{Topic: h.Topic(), Data: data})
		}
	}
	return payloads
}

// receive hands payloads to their handlers. Unknown topics belong to another
// version of the program and are passed over.
func (x *Exchange) receive(from track.InstanceID, payloads []track.Payload) {
	for _, p := range payloads[:min(len(payloads), track.MaxPayloads)] {
		h := x.handler(p.Topic)
		if h == nil || len(p.Data) > track.MaxPayloadBytes {
			x.counts.ignored.Inc()
			continue
		}
		h.Receive(from, p.Data)
	}
}

// Fetch implements track.Peer: it answers a peer that asks a handler for data.
func (x *Exchange) Fetch(_ context.Context, from track.InstanceID, request track.Payload) ([]byte, error) {
	const op = "answer fetch"
	h := x.handler(request.Topic)
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

// Ask asks the peer's handler of a topic for data.
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

// summarizer is a topic that sums up its zone for the entries of other zones.
type summarizer interface {
	Summary() []byte
	Summarized(from track.InstanceID, zone track.AvailabilityZone, data []byte)
}

// summaries returns what the topics tell another zone.
func (x *Exchange) summaries() []track.Payload {
	var payloads []track.Payload
	for _, h := range x.options.Topics {
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

// summarized hands the topics what another zone told.
func (x *Exchange) summarized(d track.Digest) {
	for _, p := range d.Payloads {
		s, ok := x.handler(p.Topic).(summarizer)
		if ok && len(p.Data) <= track.MaxPayloadBytes {
			s.Summarized(d.From, d.Zone, p.Data)
		}
	}
}
