package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
	"filberttrack.example/track/tail"
)

var errNoConfiguration = errors.New("no configuration is known yet")

// sameZoneProbability is the probability of polling an entry of the own zone, if
// there is one.
const sameZoneProbability = 0.75

// pollPeers polls one peer after the other for a newer configuration.
func (s *Store) pollPeers(ctx context.Context) error {
	rng := s.newRand(2)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.options.Clock.After(tail.Jitter(rng, s.peerPollInterval())):
		}
		if contact, ok := s.choosePeer(rng); ok {
			s.pollPeer(ctx, contact)
		}
	}
}

// catchUpFactor divides the poll interval while no configuration is known or
// records are missing.
const catchUpFactor = 8

func (s *Store) peerPollInterval() time.Duration {
	if s.needsCatchUp() {
		return s.options.PeerInterval / catchUpFactor
	}
	return s.options.PeerInterval
}

// needsCatchUp reports whether no configuration is known or records are missing.
func (s *Store) needsCatchUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == nil || s.searching
}

// choosePeer picks the peer to poll: usually an entry of the own zone, otherwise
// any entry. While no configuration is known, agents are polled as well, since
// they may be the only instances left of the deployment.
func (s *Store) choosePeer(rng *rand.Rand) (track.ConfigContact, bool) {
	contacts := s.options.Peers.Contacts()
	if len(contacts) == 0 || s.needsCatchUp() {
		contacts = s.options.Peers.AllContacts()
	}
	entries := slices.DeleteFunc(slices.Clone(contacts), func(c track.ConfigContact) bool {
		return c.Instance.Role != track.RoleEntry
	})
	local := slices.DeleteFunc(slices.Clone(entries), func(c track.ConfigContact) bool {
		return c.Instance.Zone != s.options.Self.Zone
	})
	unanswered := s.unanswered(contacts)
	candidates := contacts
	switch {
	case len(unanswered) > 0 && rng.Float64() < unansweredProbability:
		candidates = unanswered
	case s.Current() == nil || len(entries) == 0:
	case len(local) > 0 && rng.Float64() < sameZoneProbability:
		candidates = local
	default:
		candidates = entries
	}
	if len(candidates) == 0 {
		return track.ConfigContact{}, false
	}
	return candidates[rng.IntN(len(candidates))], true
}

// unansweredProbability is the probability of polling an instance that has not
// yet answered since the search for expired records began.
const unansweredProbability = 0.5

// unanswered returns the instances that have not yet answered since the search
// for expired records began.
func (s *Store) unanswered(contacts []track.ConfigContact) []track.ConfigContact {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || !s.searching {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(contacts), func(c track.ConfigContact) bool { return s.answered[c.Instance.ID] })
}

// entryCount returns the number of known live entries, including this one.
func (s *Store) entryCount() int {
	n := 1
	for _, c := range s.options.Peers.AllContacts() {
		if c.Instance.Role == track.RoleEntry {
			n++
		}
	}
	return n
}

func (s *Store) pollPeer(ctx context.Context, contact track.ConfigContact) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, s.options.PeerTimeout)
	defer cancel()
	requested := s.options.Clock.Now()
	s.counters.peerRequests.Inc()
	update, err := contact.Peer.FetchUpdate(ctx, s.Position())
	if err != nil {
		s.counters.peerFailures.Inc()
		s.options.Logger.Debug("polling a peer for configuration failed",
			zap.String("Peer", string(contact.Instance.ID)), zap.Error(err))
		return
	}
	if err := s.applyUpdate(update, string(contact.Instance.ID)); err != nil {
		s.counters.peerFailures.Inc()
		s.options.Logger.Error("configuration from a peer rejected",
			zap.String("Peer", string(contact.Instance.ID)), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.searching {
		s.answered[contact.Instance.ID] = true
	}
	if update.Position.Known && update.Position.Age >= 0 && update.Position.Seq >= s.seq() {
		s.confirmCurrent(requested.Add(-update.Position.Age))
	}
}

// applyUpdate applies the answer of a peer if it is newer and valid.
func (s *Store) applyUpdate(update track.ConfigUpdate, peer string) error {
	for _, record := range update.Records {
		s.counters.peerBytes.Add(len(record))
	}
	s.counters.peerBytes.Add(len(update.State))
	if len(update.State) > 0 {
		return s.applyPeerState(update, peer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || !update.Position.Known {
		return nil
	}
	if len(update.Records) == 0 || update.Position.Seq <= s.state.Seq() {
		if s.compareChecksum(update.Position.Seq, update.Position.Checksum, peer) {
			s.advanceOffset(update.Next)
		}
		return nil
	}
	return s.applyPeerRecords(update, peer)
}

// applyPeerState decodes and adopts a complete state. It decodes without holding
// the lock, since a state is large.
func (s *Store) applyPeerState(update track.ConfigUpdate, peer string) error {
	record, err := change.Decode(update.State)
	if err != nil {
		return err
	}
	if record.Snapshot == nil {
		return track.Fail("adopt state of a peer", Invalid, errors.New("the record is not a snapshot"))
	}
	state, err := record.Snapshot.State()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceState(state, record.Snapshot.Next, peer)
	return nil
}

// applyPeerRecords replays decided changes on a copy of the state and adopts the
// copy if its checksum matches the peer's. The caller holds the lock.
func (s *Store) applyPeerRecords(update track.ConfigUpdate, peer string) error {
	replayed := s.state.Clone()
	var decided []change.Decision
	for _, data := range update.Records {
		record, err := change.Decode(data)
		if err != nil {
			return err
		}
		if record.Change == nil {
			return track.Fail("apply records of a peer", Invalid, errors.New("the record is not a change"))
		}
		before := replayed.Seq()
		if d := replayed.Apply(*record.Change); d.Seq > before {
			decided = append(decided, d)
		}
	}
	if replayed.Seq() != update.Position.Seq || replayed.Checksum() != update.Position.Checksum {
		s.counters.diverged.Inc()
		return track.Fail("apply records of a peer", Invalid, errors.New("the checksum does not match"))
	}
	for _, d := range decided {
		s.reportDecision(d)
	}
	s.replaceState(replayed, update.Next, peer)
	s.checksum, s.checksumSeq = update.Position.Checksum, replayed.Seq()
	return nil
}

// advanceOffset moves the offset in the log past records that a peer with the
// same state has read. The caller holds the lock.
func (s *Store) advanceOffset(next uint64) {
	if next <= s.nextOffset {
		return
	}
	s.nextOffset = next
	// If records are still missing, the next read starts a new search.
	s.searching = false
}

// FetchUpdate implements track.ConfigPeer.
func (s *Store) FetchUpdate(_ context.Context, since track.ConfigPosition) (track.ConfigUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := track.ConfigUpdate{Position: s.position(), Next: s.nextOffset}
	if s.state == nil {
		return update, nil
	}
	update.Position.Checksum = s.stateChecksum()
	if since.Known && since.Seq >= s.state.Seq() {
		return update, nil
	}
	if decisions, ok := s.state.DecisionsSince(since.Seq); since.Known && ok {
		return s.addRecords(update, decisions)
	}
	var err error
	update.State, err = s.encodeSnapshot(s.nextOffset)
	return update, err
}

func (s *Store) addRecords(update track.ConfigUpdate, decisions []change.Decision) (track.ConfigUpdate, error) {
	for _, d := range decisions {
		data, err := change.EncodeChange(d.Change)
		if err != nil {
			return update, err
		}
		update.Records = append(update.Records, data)
	}
	return update, nil
}
