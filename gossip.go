package track

// Topic names a kind of digest.
type Topic string

// The topics of digests between entries.
const (
	// TopicUsage carries the demand of client accounts.
	TopicUsage Topic = "Usage"
	// TopicQuarantine carries the standing of crashing requests.
	TopicQuarantine Topic = "Quarantine"
)

// Digest is a small piece of state that an entry shares with other entries.
type Digest struct {
	Topic Topic
	// From is the entry that published the digest.
	From InstanceID
	Data []byte
}

// Gossip carries digests between the entries of a zone. Delivery is best
// effort: a digest may be late, lost, doubled or overtaken by a later one.
type Gossip interface {
	// Publish sends a digest to the other entries. It does not wait.
	Publish(d Digest)
	// Subscribe has handle called for each digest of the topic that another
	// entry published. Handle must not wait.
	Subscribe(topic Topic, handle func(Digest))
}
