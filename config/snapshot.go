package config

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track/change"
)

// The schedule of snapshots, as divisors of the log's retention: how often the
// age of the newest snapshot is checked, from which age on any instance may
// append a new one, and from which age on every instance does.
const (
	snapshotChecksPerRetention = 64
	snapshotDueDivisor         = 4
	snapshotOverdueDivisor     = 2
)

// recoveryIntervals is the number of peer poll intervals for which an instance
// searches for expired records before it considers them lost.
const recoveryIntervals = 15

// writeSnapshots appends a snapshot whenever the newest one is too old or is
// needed for recovery. Any number of instances may run it.
func (s *Store) writeSnapshots(ctx context.Context) error {
	rng := s.newRand(3)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.options.Clock.After(s.options.Retention / snapshotChecksPerRetention):
		case <-s.options.Clock.After(recoveryIntervals * s.options.PeerInterval):
		}
		if s.recoverySnapshotNeeded() || s.snapshotDue(rng) {
			s.appendSnapshot(ctx)
		}
	}
}

func (s *Store) snapshotDue(rng *rand.Rand) bool {
	s.mu.Lock()
	ready := s.state != nil && !s.searching && s.caughtUp && s.state.Seq() > 0
	age := s.age(s.snapshotTime)
	s.mu.Unlock()
	return ready && shouldAppendSnapshot(age, s.options.Retention, s.entryCount(), rng)
}

// shouldAppendSnapshot decides whether to append a snapshot, given the age of the
// newest one (negative if there is none). instances is the number of instances
// that make this decision; on average one of them appends at each check.
func shouldAppendSnapshot(age, retention time.Duration, instances int, rng *rand.Rand) bool {
	if age >= retention/snapshotOverdueDivisor {
		return true
	}
	if age >= 0 && age < retention/snapshotDueDivisor {
		return false
	}
	return rng.IntN(max(1, instances)) == 0
}

// recoverySnapshotNeeded reports whether records have expired that this instance
// never read, the log holds no usable snapshot, and no known instance has a newer
// state: each one has answered, including the agents, since an agent may be the
// only one left that has read a record. This is the case after an outage of the
// log that is longer than its retention. No instance ever applied the expired
// records, so the state is still the newest. A snapshot that continues at the end
// of the log lets all instances go on from this state.
func (s *Store) recoverySnapshotNeeded() bool {
	contacts := s.options.Peers.AllContacts()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || !s.searching || !s.caughtUp {
		return false
	}
	for _, c := range contacts {
		if !s.answered[c.Instance.ID] {
			return false
		}
	}
	return s.options.Clock.Since(s.searchStarted) >= recoveryIntervals*s.options.PeerInterval
}

func (s *Store) appendSnapshot(ctx context.Context) {
	data, err := s.encodeLogSnapshot()
	if err != nil {
		s.options.Logger.Error("encoding a snapshot failed", zap.Error(err))
		return
	}
	offset, err := s.appender.Append(ctx, data)
	if err != nil {
		s.options.Logger.Warn("appending a snapshot to the log failed", zap.Error(err))
		return
	}
	s.counters.snapshots.Inc()
	s.options.Logger.Info("snapshot appended", zap.Uint64("Offset", offset), zap.Int("Bytes", len(data)))
}

// encodeLogSnapshot returns the snapshot record to append to the log. If the
// instance has given up the search for expired records, the snapshot continues
// after the last record that it has searched.
func (s *Store) encodeLogSnapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.searching {
		return s.encodeSnapshot(s.searchOffset)
	}
	return s.encodeSnapshot(s.nextOffset)
}

// encodeSnapshot returns the snapshot record of the state. next is the offset of
// the first record that is not part of the state. The caller holds the lock.
func (s *Store) encodeSnapshot(next uint64) ([]byte, error) {
	body, err := s.state.Marshal()
	if err != nil {
		return nil, err
	}
	return change.EncodeSnapshot(change.Snapshot{
		Next: next, Seq: s.state.Seq(), Version: s.state.Version(), Checksum: s.stateChecksum(), Body: body,
	})
}
