package config

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track/change"
)

// The snapshot schedule in parts of the log's retention.
const (
	snapshotChecks  = 64
	snapshotDue     = 4
	snapshotOverdue = 2
)

// recoveryIntervals is the number of peer intervals for which an instance looks
// for expired records before it takes them for lost.
const recoveryIntervals = 15

// keepSnapshots appends a snapshot whenever the newest one grows old. Any number
// of instances may do so.
func (s *Store) keepSnapshots(ctx context.Context) error {
	rng := s.rand(3)
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.o.Clock.After(s.o.Retention / snapshotChecks):
		case <-s.o.Clock.After(recoveryIntervals * s.o.PeerInterval):
		}
		if s.recoveryWanted() || s.snapshotWanted(rng) {
			s.appendSnapshot(ctx)
		}
	}
}

func (s *Store) snapshotWanted(rng *rand.Rand) bool {
	s.mu.Lock()
	ready := s.state != nil && !s.searching && s.caughtUp && s.state.Seq() > 0
	age := s.since(s.snapshotTime)
	s.mu.Unlock()
	return ready && snapshotNow(age, s.o.Retention, s.entries(), rng)
}

// snapshotNow decides whether to append a snapshot, given the age of the newest
// one (negative if there is none) and the number of instances that decide
// likewise.
func snapshotNow(age, retention time.Duration, instances int, rng *rand.Rand) bool {
	if age >= retention/snapshotOverdue {
		return true
	}
	if age >= 0 && age < retention/snapshotDue {
		return false
	}
	return rng.IntN(max(1, instances)) == 0
}

// recoveryWanted reports whether records have expired that this instance never
// read, the log holds no snapshot, and all instances have answered and know no
// more. Agents count too: one may be all that is left of those who read a record. That is so after an outage longer than the retention. The records that
// expired were never decided by anyone, so the state is still the newest; a
// snapshot that starts at the end of the log lets all instances go on from it.
func (s *Store) recoveryWanted() bool {
	contacts := s.o.Peers.Known()
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
	return s.o.Clock.Since(s.searchingSince) >= recoveryIntervals*s.o.PeerInterval
}

func (s *Store) appendSnapshot(ctx context.Context) {
	data, err := s.logSnapshot()
	if err != nil {
		s.o.Logger.Error("snapshot failed", zap.Error(err))
		return
	}
	offset, err := s.appender.Append(ctx, data)
	if err != nil {
		s.o.Logger.Warn("snapshot not appended", zap.Error(err))
		return
	}
	s.counters.snapshots.Inc()
	s.o.Logger.Info("snapshot appended", zap.Uint64("Offset", offset), zap.Int("Bytes", len(data)))
}

// logSnapshot returns the record to append to the log. An instance that has
// given up the search for expired records lets it start after all that it saw.
func (s *Store) logSnapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.searching {
		return s.snapshot(s.scan)
	}
	return s.snapshot(s.next)
}

// snapshot returns the record of the state, which goes on at the given offset.
// The caller holds the lock.
func (s *Store) snapshot(next uint64) ([]byte, error) {
	body, err := s.state.Marshal()
	if err != nil {
		return nil, err
	}
	return change.EncodeSnapshot(change.Snapshot{
		Next: next, Seq: s.state.Seq(), Version: s.state.Version(), Checksum: s.sum(), Body: body,
	})
}
