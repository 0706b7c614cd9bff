package track

// The topics of notices between entries.
const (
	// TopicUsage carries the demand of client accounts.
	TopicUsage Topic = "Usage"
	// TopicQuarantine carries the standing of crashing requests.
	TopicQuarantine Topic = "Quarantine"
)

// Notice is the whole of what an entry shares with other entries on a topic. A
// later notice replaces an earlier one.
type Notice struct {
	Topic Topic
	// From is the entry that published the notice.
	From InstanceID
	// Zone is set if the notice sums up what the entries of another availability
	// zone have to say.
	Zone AvailabilityZone
	Data []byte
}

// Gossip carries notices between the entries of a zone, and summaries between
// zones. Delivery is best
// effort: a notice may be late, lost, doubled or overtaken by a later one.
type Gossip interface {
	// Publish sends a notice to the other entries. It does not wait.
	Publish(n Notice)
	// Subscribe has handle called for each notice of the topic that another
	// entry published. Handle must not wait.
	Subscribe(topic Topic, handle func(Notice))
	// Summarize has the result of summary told to the entries of other zones.
	// Summary must not wait.
	Summarize(topic Topic, summary func() []byte)
}
