package edge

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/gossip"
	"filberttrack.example/track/keyed"
	"filberttrack.example/track/talk"
)

// topicMembers is the topic in which entries and agents publish their member records.
const topicMembers = "members"

const (
	// speakerEvery is set to n to send the speakers of other zones only each nth message:
	// traffic between zones is expensive, and replicas of the own zone are preferred.
	speakerEvery = 2
	// otherGroupEvery is set to n to send agents of other groups only each nth message: it
	// merely tells them that the sender isn't in their group. A change of group is sent to
	// them at once.
	otherGroupEvery = 50
	// announceBackoff is the time after which a failed announcement is retried.
	announceBackoff = 500 * time.Millisecond
	// announceInterval is the time after which a process announces itself again, in case
	// its record was lost.
	announceInterval = time.Minute
)

// Member is the record that an entry or agent publishes about itself.
type Member struct {
	Role track.Role
	Zone track.AvailabilityZone
	// MessageAddress is the UDP address at which the process receives messages, and CallAddress the TCP
	// address at which peers call it.
	MessageAddress string `json:"Notes"`
	CallAddress    string `json:"API"`
}

// members holds the entries and agents that this process knows.
type members struct {
	self   track.InstanceID
	client *talk.Client
	// seeds are the addresses of peers that are asked in addition to known entries.
	seeds  []string
	logger *zap.Logger

	mu sync.Mutex
	// known holds the members by ID.
	known map[track.InstanceID]Member
}

func newMembers(self track.InstanceID, seeds []string, logger *zap.Logger) *members {
	return &members{
		self: self, client: talk.NewClient(), seeds: seeds, logger: logger, known: make(map[track.InstanceID]Member),
	}
}

// applyRecords applies records of topicMembers.
func (m *members) applyRecords(records []track.KeyedRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		name := track.InstanceID(r.Key)
		if len(r.Value) == 0 {
			delete(m.known, name)
			continue
		}
		var member Member
		if err := json.Unmarshal(r.Value, &member); err != nil {
			m.logger.Warn("can't decode member record", zap.String("Member", r.Key), zap.Error(err))
			continue
		}
		if m.known[name] != member {
			m.logger.Info("member", zap.String("Member", r.Key),
				zap.String("Role", string(member.Role)), zap.String("Notes", member.MessageAddress))
		}
		m.known[name] = member
	}
}

// addSender adds the sender of a message, which may have started after the latest read of
// the topic.
func (m *members) addSender(note gossip.Message) {
	if note.Address == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known[note.From] = Member{Role: note.Role, Zone: note.Zone, MessageAddress: note.Address, CallAddress: note.API}
}

// entryCount returns the number of known entries, including this one.
func (m *members) entryCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for name, member := range m.known {
		if member.Role == track.RoleEntry && name != m.self {
			n++
		}
	}
	return n + 1
}

// targets returns the peers that a process of the given zone sends messages to. Every
// returns which messages a peer gets: 1 for each, n for each nth, 0 for none.
func (m *members) targets(zone track.AvailabilityZone, every func(track.InstanceID, Member) int) []gossip.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []gossip.Peer
	for name, member := range m.known {
		if n := every(name, member); n > 0 && name != m.self {
			peers = append(peers, gossip.Peer{
				ID: name, Address: member.MessageAddress, EveryNth: n,
				OtherZone: member.Zone != zone,
			})
		}
	}
	return peers
}

// entryMirrors returns the mirrors of the entries with a live message or, if there are
// none, of any known entry. The seeds come last.
func (m *members) entryMirrors(live []gossip.Message) []track.KeyedLog {
	m.mu.Lock()
	defer m.mu.Unlock()
	var mirrors []track.KeyedLog
	for _, note := range live {
		member, ok := m.known[note.From]
		if ok && member.Role == track.RoleEntry && member.CallAddress != "" {
			mirrors = append(mirrors, keyed.NewPeerClient(m.client, member.CallAddress))
		}
	}
	for _, member := range m.known {
		if len(mirrors) == 0 && member.Role == track.RoleEntry && member.CallAddress != "" {
			mirrors = append(mirrors, keyed.NewPeerClient(m.client, member.CallAddress))
		}
	}
	for _, seed := range m.seeds {
		mirrors = append(mirrors, keyed.NewPeerClient(m.client, seed))
	}
	return mirrors
}

// mirrorsOf returns the mirrors of the given entry; false if its address isn't known.
func (m *members) mirrorsOf(name track.InstanceID) (track.KeyedLog, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.known[name]
	if !ok || member.CallAddress == "" {
		return nil, false
	}
	return keyed.NewPeerClient(m.client, member.CallAddress), true
}

// mirrorsInZone returns the mirrors of an entry of a zone, of different entries over time;
// false if none is known.
func (m *members) mirrorsInZone(zone track.AvailabilityZone) (track.KeyedLog, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The iteration order of a map varies.
	for _, member := range m.known {
		if member.Role == track.RoleEntry && member.Zone == zone && member.CallAddress != "" {
			return keyed.NewPeerClient(m.client, member.CallAddress), true
		}
	}
	return nil, false
}

// announce publishes the member record of this process at intervals, sooner after a
// failure, until the context ends. It returns the context's cause.
func announce(
	ctx context.Context, log track.KeyedLog, clock clockwork.Clock,
	self track.InstanceID, member Member, logger *zap.Logger,
) error {
	value, err := json.Marshal(member)
	if err != nil {
		return track.Fail("encode member", track.Invalid, err)
	}
	for {
		pause := announceInterval
		if err := log.Put(ctx, topicMembers, string(self), value); err != nil {
			logger.Warn("can't publish member record", zap.Error(err))
			pause = announceBackoff
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-clock.After(pause):
		}
	}
}
