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

var errUnknownState = errors.New("no configuration is known yet")

// localShare is the probability that an entry of the own zone is asked, if there
// is one.
const localShare = 0.75

// askPeers asks one peer after the other for newer configuration.
func (s *Store) askPeers(ctx context.Context) error {
	rng := s.rand(2)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.o.Clock.After(tail.Jitter(rng, s.peerWait())):
		}
		if contact, ok := s.choose(rng); ok {
			s.ask(ctx, contact)
		}
	}
}

// hurry shortens the interval while nothing is known or records are lacking.
const hurry = 8

func (s *Store) peerWait() time.Duration {
	if s.lost() {
		return s.o.PeerInterval / hurry
	}
	return s.o.PeerInterval
}

// lost reports whether nothing is known or records are lacking.
func (s *Store) lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == nil || s.searching
}

// choose picks the peer to ask: mostly an entry of the own zone, else any entry.
// Agents are asked as well while nothing is known, since they may be all that is
// left of the deployment.
func (s *Store) choose(rng *rand.Rand) (track.ConfigContact, bool) {
	contacts := s.o.Peers.Contacts()
	if len(contacts) == 0 || s.lost() {
		contacts = s.o.Peers.Known()
	}
	entries := slices.DeleteFunc(slices.Clone(contacts), func(c track.ConfigContact) bool {
		return c.Instance.Role != track.RoleEntry
	})
	local := slices.DeleteFunc(slices.Clone(entries), func(c track.ConfigContact) bool {
		return c.Instance.Zone != s.o.Self.Zone
	})
	unanswered := s.unanswered(contacts)
	candidates := contacts
	switch {
	case len(unanswered) > 0 && rng.Float64() < unansweredShare:
		candidates = unanswered
	case s.Live() == nil || len(entries) == 0:
	case len(local) > 0 && rng.Float64() < localShare:
		candidates = local
	default:
		candidates = entries
	}
	if len(candidates) == 0 {
		return track.ConfigContact{}, false
	}
	return candidates[rng.IntN(len(candidates))], true
}

// unansweredShare is the probability that an instance is asked that has not been
// asked yet for records that have expired.
const unansweredShare = 0.5

// unanswered returns the instances that are still to be asked for records that
// have expired.
func (s *Store) unanswered(contacts []track.ConfigContact) []track.ConfigContact {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || !s.searching {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(contacts), func(c track.ConfigContact) bool { return s.answered[c.Instance.ID] })
}

// entries returns the number of live entries, this one included.
func (s *Store) entries() int {
	n := 1
	for _, c := range s.o.Peers.Known() {
		if c.Instance.Role == track.RoleEntry {
			n++
		}
	}
	return n
}

func (s *Store) ask(ctx context.Context, contact track.ConfigContact) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.o.Clock, s.o.PeerTimeout)
	defer cancel()
	asked := s.o.Clock.Now()
	s.counters.peerQuestions.Inc()
	news, err := contact.Peer.News(ctx, s.Position())
	if err != nil {
		s.counters.peerFailures.Inc()
		s.o.Logger.Debug("peer gave no configuration", zap.String("Peer", string(contact.Instance.ID)), zap.Error(err))
		return
	}
	if err := s.learn(news, string(contact.Instance.ID)); err != nil {
		s.counters.peerFailures.Inc()
		s.o.Logger.Error("configuration of a peer refused", zap.String("Peer", string(contact.Instance.ID)), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.searching {
		s.answered[contact.Instance.ID] = true
	}
	if news.Position.Known && news.Position.Age >= 0 && news.Position.Seq >= s.seq() {
		s.confirm(asked.Add(-news.Position.Age))
	}
}

// learn takes over what a peer handed on, if it is newer and checks out.
func (s *Store) learn(news track.ConfigNews, peer string) error {
	for _, record := range news.Records {
		s.counters.peerBytes.Add(len(record))
	}
	s.counters.peerBytes.Add(len(news.State))
	if len(news.State) > 0 {
		return s.learnState(news, peer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || !news.Position.Known {
		return nil
	}
	if len(news.Records) == 0 || news.Position.Seq <= s.state.Seq() {
		if s.compare(news.Position.Seq, news.Position.Checksum, peer) {
			s.skipTo(news.Next)
		}
		return nil
	}
	return s.learnRecords(news, peer)
}

// learnState decodes outside the lock, since a whole state is large.
func (s *Store) learnState(news track.ConfigNews, peer string) error {
	record, err := change.Decode(news.State)
	if err != nil {
		return err
	}
	if record.Snapshot == nil {
		return track.Fail("take over state", Invalid, errors.New("the record is no snapshot"))
	}
	state, err := record.Snapshot.State()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(state, record.Snapshot.Next, peer)
	return nil
}

// learnRecords replays decisions on a copy and takes it over if it has the
// peer's checksum.
func (s *Store) learnRecords(news track.ConfigNews, peer string) error {
	copied := s.state.Clone()
	var decided []change.Decided
	for _, data := range news.Records {
		record, err := change.Decode(data)
		if err != nil {
			return err
		}
		if record.Change == nil {
			return track.Fail("take over records", Invalid, errors.New("the record is no change"))
		}
		before := copied.Seq()
		if d := copied.Apply(*record.Change); d.Seq > before {
			decided = append(decided, d)
		}
	}
	if copied.Seq() != news.Position.Seq || copied.Checksum() != news.Position.Checksum {
		s.counters.diverged.Inc()
		return track.Fail("take over records", Invalid, errors.New("the checksum does not match"))
	}
	for _, d := range decided {
		s.note(d)
	}
	s.adopt(copied, news.Next, peer)
	s.checksum, s.checksumSeq = news.Position.Checksum, copied.Seq()
	return nil
}

// skipTo moves the position in the log past records that a peer with the same
// state has read. The caller holds the lock.
func (s *Store) skipTo(next uint64) {
	if next <= s.next {
		return
	}
	s.next = next
	// The next read finds out whether this closes the gap.
	s.searching = false
}

// News implements track.ConfigPeer.
func (s *Store) News(_ context.Context, since track.ConfigPosition) (track.ConfigNews, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := track.ConfigNews{Position: s.position(), Next: s.next}
	if s.state == nil {
		return news, nil
	}
	news.Position.Checksum = s.sum()
	if since.Known && since.Seq >= s.state.Seq() {
		return news, nil
	}
	if decisions, ok := s.state.DecisionsSince(since.Seq); since.Known && ok {
		return s.withRecords(news, decisions)
	}
	var err error
	news.State, err = s.snapshot(s.next)
	return news, err
}

func (s *Store) withRecords(news track.ConfigNews, decisions []change.Decided) (track.ConfigNews, error) {
	for _, d := range decisions {
		data, err := change.EncodeChange(d.Change)
		if err != nil {
			return news, err
		}
		news.Records = append(news.Records, data)
	}
	return news, nil
}
