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

// TopicMembers is the topic in which own processes make themselves known.
const TopicMembers = "members"

const (
	// speakerNotes is the share of notes that speakers of other zones get: what is
	// between zones is dear, and replicas of the own zone are preferred.
	speakerNotes = 2
	// strangerNotes is the share of notes that agents of other groups get: it only tells
	// them that the sender isn't of theirs. They hear of a change of group at once.
	strangerNotes = 50
	// announceBackoff is the time between two tries to make oneself known.
	announceBackoff = 500 * time.Millisecond
	// announceInterval is the time after which a process makes itself known again,
	// should its record have been lost.
	announceInterval = time.Minute
)

// Member is what a process makes known of itself.
type Member struct {
	Role track.Role
	Zone track.AvailabilityZone
	// Notes takes notes over UDP, API calls of peers over TCP.
	Notes string
	API   string
}

// members holds the own processes that are known.
type members struct {
	self   track.InstanceID
	client *talk.Client
	seeds  []string
	logger *zap.Logger

	mu    sync.Mutex
	known map[track.InstanceID]Member
}

func newMembers(self track.InstanceID, seeds []string, logger *zap.Logger) *members {
	return &members{self: self, client: talk.NewClient(), seeds: seeds, logger: logger, known: make(map[track.InstanceID]Member)}
}

// apply takes records of TopicMembers.
func (m *members) apply(records []track.KeyedRecord) {
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
			m.logger.Warn("record of a member can't be read", zap.String("Member", r.Key), zap.Error(err))
			continue
		}
		if m.known[name] != member {
			m.logger.Info("member", zap.String("Member", r.Key), zap.String("Role", string(member.Role)), zap.String("Notes", member.Notes))
		}
		m.known[name] = member
	}
}

// heard takes the sender of a note, which may have started just now.
func (m *members) heard(note gossip.Note) {
	if note.Address == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known[note.From] = Member{Role: note.Role, Zone: note.Zone, Notes: note.Address, API: note.API}
}

// entries returns the number of known entries, this one included.
func (m *members) entries() int {
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

// targets returns the peers of a process in a zone to send notes to. Every tells for
// each of them which notes it gets: 1 for each, n for each nth, 0 for none.
func (m *members) targets(zone track.AvailabilityZone, every func(track.InstanceID, Member) int) []gossip.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []gossip.Peer
	for name, member := range m.known {
		if n := every(name, member); n > 0 && name != m.self {
			peers = append(peers, gossip.Peer{Name: name, Address: member.Notes, Every: n, Far: member.Zone != zone})
		}
	}
	return peers
}

// logs returns the mirrors of entries, those heard lately first, and the seeds if
// no entry is known.
func (m *members) logs(live []gossip.Note) []track.KeyedLog {
	m.mu.Lock()
	defer m.mu.Unlock()
	var logs []track.KeyedLog
	for _, note := range live {
		member, ok := m.known[note.From]
		if ok && member.Role == track.RoleEntry && member.API != "" {
			logs = append(logs, keyed.NewPeer(m.client, member.API))
		}
	}
	for _, member := range m.known {
		if len(logs) == 0 && member.Role == track.RoleEntry && member.API != "" {
			logs = append(logs, keyed.NewPeer(m.client, member.API))
		}
	}
	for _, seed := range m.seeds {
		logs = append(logs, keyed.NewPeer(m.client, seed))
	}
	return logs
}

// mirror returns the mirrors of an entry.
func (m *members) mirror(name track.InstanceID) (track.KeyedLog, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.known[name]
	if !ok || member.API == "" {
		return nil, false
	}
	return keyed.NewPeer(m.client, member.API), true
}

// mirrorIn returns the mirrors of an entry of a zone; different ones over time.
func (m *members) mirrorIn(zone track.AvailabilityZone) (track.KeyedLog, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The order of a map varies.
	for _, member := range m.known {
		if member.Role == track.RoleEntry && member.Zone == zone && member.API != "" {
			return keyed.NewPeer(m.client, member.API), true
		}
	}
	return nil, false
}

// announce makes this process known, again after each failure.
func announce(ctx context.Context, log track.KeyedLog, clock clockwork.Clock, self track.InstanceID, member Member, logger *zap.Logger) error {
	value, err := json.Marshal(member)
	if err != nil {
		return track.Fail("encode member", track.Invalid, err)
	}
	for {
		pause := announceInterval
		if err := log.Put(ctx, TopicMembers, string(self), value); err != nil {
			logger.Warn("not made known to members", zap.Error(err))
			pause = announceBackoff
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-clock.After(pause):
		}
	}
}
