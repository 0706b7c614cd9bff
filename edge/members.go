package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
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
	// zoneMessagePeers is the number of entries of a zone for which each message of an entry goes
	// to all others. In a zone of n times that number each peer gets each nth message only, so
	// that the messages of an entry don't grow with the zone.
	zoneMessagePeers = 10
	// otherGroupEvery is set to n to send agents of other groups only each nth message: it
	// merely tells them that the sender isn't in their group. A change of group is sent to
	// them at once.
	otherGroupEvery = 50
	// announceBackoff is the time after which a failed announcement is retried.
	announceBackoff = 500 * time.Millisecond
	// reannounceSpread is the time over which the processes write their records again when
	// the log has lost the latest records.
	reannounceSpread = 2 * time.Second
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

// validate returns an error if no process publishes such a record.
func (m Member) validate() error {
	if m.Role != track.RoleEntry && m.Role != track.RoleAgent {
		return fmt.Errorf("role %q is unknown", m.Role)
	}
	for _, address := range []string{m.MessageAddress, m.CallAddress} {
		if address == "" {
			continue
		}
		if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
			return fmt.Errorf("address %q has no IP address or no port", address)
		}
	}
	return nil
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
			// Members don't delete their records. The log has lost this one, and the member
			// writes it again.
			continue
		}
		var member Member
		err := json.Unmarshal(r.Value, &member)
		if err == nil {
			err = member.validate()
		}
		if err != nil {
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

// entriesByZone returns the names of the known entries of each zone, in order.
func (m *members) entriesByZone() map[track.AvailabilityZone][]track.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	entries := make(map[track.AvailabilityZone][]track.InstanceID)
	for name, member := range m.known {
		if member.Role == track.RoleEntry {
			entries[member.Zone] = append(entries[member.Zone], name)
		}
	}
	for _, names := range entries {
		slices.Sort(names)
	}
	return entries
}

// entriesIn returns the number of known entries of a zone, including this process if it is one.
func (m *members) entriesIn(zone track.AvailabilityZone) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, member := range m.known {
		if member.Role == track.RoleEntry && member.Zone == zone {
			n++
		}
	}
	return n
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

// maxEntriesToAsk is the number of entries that entryAddresses returns.
const maxEntriesToAsk = 3

// entryAddresses returns the addresses of some entries, of different ones over time: those of a zone
// first, then those of other zones and the seeds.
func (m *members) entryAddresses(zone track.AvailabilityZone) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far []string
	// The iteration order of a map varies.
	for _, member := range m.known {
		switch {
		case member.Role != track.RoleEntry || member.CallAddress == "":
		case member.Zone == zone:
			near = append(near, member.CallAddress)
		default:
			far = append(far, member.CallAddress)
		}
	}
	all := slices.Concat(near, far, m.seeds)
	return all[:min(len(all), maxEntriesToAsk)]
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

// announcer publishes the member record of a process.
type announcer struct {
	log    track.KeyedLog
	clock  clockwork.Clock
	self   track.InstanceID
	member Member
	logger *zap.Logger
	// again makes the announcer publish the record once more, since the log may have lost it.
	again chan struct{}
}

func newAnnouncer(
	log track.KeyedLog, clock clockwork.Clock, self track.InstanceID, member Member, logger *zap.Logger,
) *announcer {
	return &announcer{log: log, clock: clock, self: self, member: member, logger: logger, again: make(chan struct{}, 1)}
}

// Again makes the announcer publish the record once more.
func (a *announcer) Again() {
	select {
	case a.again <- struct{}{}:
	default:
	}
}

// Run publishes the record at intervals, sooner after a failure, until the context ends. It
// returns the context's cause.
func (a *announcer) Run(ctx context.Context) error {
	value, err := json.Marshal(a.member)
	if err != nil {
		return track.Fail("encode member", track.Invalid, err)
	}
	for {
		pause := announceInterval
		if err := a.log.Put(ctx, topicMembers, string(a.self), value); err != nil {
			a.logger.Warn("can't publish member record", zap.Error(err))
			pause = announceBackoff
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-a.clock.After(pause):
		case <-a.again:
			if err := a.pauseAtRandom(ctx); err != nil {
				return err
			}
		}
	}
}

// pauseAtRandom waits for a part of reannounceSpread that differs between processes, so that
// they don't all write at once.
func (a *announcer) pauseAtRandom(ctx context.Context) error {
	hash := fnv.New32a()
	hash.Write([]byte(a.self))
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-a.clock.After(time.Duration(float64(hash.Sum32()) / (1 << 32) * float64(reannounceSpread))):
		return nil
	}
}
