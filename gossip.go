package track

// The topics of notices that entries exchange.
const (
	// TopicUsage carries the demand of client accounts.
	TopicUsage Topic = "Usage"
	// TopicQuarantine carries the state of requests that are suspected of crashing
	// backend servers.
	TopicQuarantine Topic = "Quarantine"
	// TopicParts carries the parts of prompts that are suspected of crashing backend
	// servers.
	TopicParts Topic = "Parts"
)

// Notice holds all that an entry shares with other entries on a topic. A later
// notice replaces an earlier one of the same entry.
type Notice struct {
	Topic Topic
	// From is the entry that published the notice.
	From InstanceID
	// Zone is set if the notice is a summary of the notices of all entries of another
	// availability zone.
	Zone AvailabilityZone
	Data []byte
}

// Gossip carries notices between the entries of an availability zone, and
// summaries between zones. Delivery is best effort: a notice may be late, lost,
// duplicated or overtaken by a later one.
type Gossip interface {
	// Publish sends a notice to the other entries. It does not block.
	Publish(n Notice)
	// Subscribe registers handle to be called for each notice of the topic that
	// another entry published. Handle must not block.
	Subscribe(topic Topic, handle func(Notice))
	// Summarize registers summary, whose results are sent to the entries of other
	// zones. Summary must not block.
	Summarize(topic Topic, summary func() []byte)
}
