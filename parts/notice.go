package parts

import (
	"encoding/json"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

// Sharer sends the charges of a Tracker to the other entries, and merges theirs.
type Sharer struct {
	tracker *Tracker
	gossip  track.Gossip
	self    track.InstanceID
	logger  *zap.Logger
}

// NewSharer returns a Sharer for the entry self.
func NewSharer(tracker *Tracker, self track.InstanceID, gossip track.Gossip, logger *zap.Logger) *Sharer {
	s := &Sharer{tracker: tracker, gossip: gossip, self: self, logger: logger}
	gossip.Subscribe(track.TopicParts, s.receive)
	gossip.Summarize(track.TopicParts, s.encode)
	return s
}

// Publish sends the charges to the other entries, if there are any.
func (s *Sharer) Publish() {
	if data := s.encode(); data != nil {
		s.gossip.Publish(track.Notice{Topic: track.TopicParts, From: s.self, Data: data})
	}
}

// encode returns the charges to share; nil if there are none.
func (s *Sharer) encode() []byte {
	charges := s.tracker.Share()
	if len(charges) == 0 {
		return nil
	}
	data, err := json.Marshal(charges)
	if err != nil {
		s.logger.Error("cannot encode charges of parts", zap.Error(err))
		return nil
	}
	return data
}

// receive merges the charges of another entry.
func (s *Sharer) receive(n track.Notice) {
	var charges []Charge
	if err := json.Unmarshal(n.Data, &charges); err != nil {
		s.logger.Warn("charges of parts rejected", zap.String("from", string(n.From)), zap.Error(err))
		return
	}
	s.tracker.Merge(charges)
}
