package config

import (
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
	"filberttrack.example/track/tail"
)

// follower is the store as its reader of the log sees it.
type follower Store

// Position implements tail.Follower.
func (f *follower) Position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.searching {
		return f.scan
	}
	return f.next
}

// Failed implements tail.Follower.
func (f *follower) Failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logFault = err.Error()
}

// Handle implements tail.Follower.
func (f *follower) Handle(b tail.Batch[change.Record]) {
	s := (*Store)(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logFault = ""
	s.begin(b)
	if !s.searching && s.next < b.From {
		// A peer ended the search while the read was under way. The records
		// between are to be judged first.
		return
	}
	before := s.seq()
	for _, entry := range b.Entries {
		s.noteSnapshot(entry)
	}
	if s.searching {
		s.searchBatch(b)
	} else {
		s.takeBatch(b)
	}
	s.end(b, before)
}

func (s *Store) takeBatch(b tail.Batch[change.Record]) {
	for _, entry := range b.Entries {
		if entry.Offset >= s.next {
			s.take(entry)
		}
	}
}

// searchBatch ends with the batch or with the first usable snapshot. The records
// after that are read again, since some before it are to be judged first.
func (s *Store) searchBatch(b tail.Batch[change.Record]) {
	for _, entry := range b.Entries {
		s.search(entry, b.Oldest)
		if !s.searching {
			return
		}
	}
}

// seq returns the number of decided changes; 0 while no state is known.
func (s *Store) seq() uint64 {
	if s.state == nil {
		return 0
	}
	return s.state.Seq()
}

// begin decides whether the batch follows on from the state.
func (s *Store) begin(b tail.Batch[change.Record]) {
	if s.state == nil && !s.searching {
		if b.Oldest == 0 {
			s.state = change.New()
			s.publish()
			return
		}
		s.startSearch(b.Oldest)
	}
	// Peers may have moved the state on since the read was sent.
	if !s.searching && s.next < b.Oldest {
		s.startSearch(b.Oldest)
	}
}

func (s *Store) startSearch(oldest uint64) {
	s.searching, s.scan, s.searchingSince = true, oldest, s.o.Clock.Now()
	s.answered = make(map[track.InstanceID]bool)
}

// noteSnapshot keeps the time of the newest snapshot in the log.
func (s *Store) noteSnapshot(entry tail.Entry[change.Record]) {
	if entry.Err == nil && entry.Value.Snapshot != nil && entry.Time.After(s.snapshotTime) {
		s.snapshotTime = entry.Time
	}
}

// search takes the first snapshot from which all later records are still kept.
func (s *Store) search(entry tail.Entry[change.Record], oldest uint64) {
	s.scan = entry.Offset + 1
	snapshot := entry.Value.Snapshot
	if entry.Err != nil || snapshot == nil || snapshot.Next < max(oldest, s.next) || snapshot.Next > entry.Offset {
		return
	}
	state, err := snapshot.State()
	if err != nil {
		s.o.Logger.Error("snapshot refused", zap.Uint64("Offset", entry.Offset), zap.Error(err))
		return
	}
	if s.adopt(state, snapshot.Next, "snapshot in the log") {
		return
	}
	if state.Seq() == s.seq() {
		// Nothing was decided in the records that expired.
		s.next, s.searching = snapshot.Next, false
	}
}

// take applies a record that follows on from the state.
func (s *Store) take(entry tail.Entry[change.Record]) {
	s.next = entry.Offset + 1
	switch {
	case entry.Err != nil:
		// The reader has logged it. All instances skip it alike.
	case entry.Value.Change != nil:
		s.decide(*entry.Value.Change)
	case entry.Value.Snapshot != nil:
		s.compare(entry.Value.Snapshot.Seq, entry.Value.Snapshot.Checksum, "snapshot in the log")
	}
}

func (s *Store) decide(c change.Change) {
	before := s.state.Seq()
	d := s.state.Apply(c)
	if s.state.Seq() == before {
		s.o.Logger.Info("change appended again", zap.String("Change", c.ID))
		return
	}
	s.note(d)
}

// note logs and counts a decision.
func (s *Store) note(d change.Decided) {
	fields := []zap.Field{
		zap.String("Change", d.Change.ID), zap.String("Operator", d.Change.Operator),
		zap.Uint64("Seq", d.Seq), zap.Uint64("Version", d.Verdict.Version),
	}
	if d.Verdict.Accepted {
		s.counters.changes.Inc()
		s.o.Logger.Info("change accepted", fields...)
		return
	}
	s.counters.refused.Inc()
	s.o.Logger.Warn("change refused", append(fields,
		zap.String("Reason", string(d.Verdict.Reason)), zap.String("Detail", d.Verdict.Detail))...)
}

// compare reports a difference between two states that should be equal, and
// returns whether they are known to be equal.
func (s *Store) compare(seq uint64, checksum, source string) bool {
	if s.state == nil || seq != s.state.Seq() || checksum == "" {
		return false
	}
	own := s.sum()
	if own == checksum {
		return true
	}
	s.counters.diverged.Inc()
	s.o.Logger.Error("configurations differ", zap.String("Source", source), zap.Uint64("Seq", seq),
		zap.String("Own", own), zap.String("Other", checksum))
	return false
}

func (s *Store) end(b tail.Batch[change.Record], before uint64) {
	if s.searching {
		s.scan = max(s.scan, b.Next)
		s.caughtUp = b.CaughtUp()
		return
	}
	if len(b.Entries) == 0 {
		s.next = max(s.next, b.Next)
	}
	if s.seq() != before {
		s.publish()
	}
	s.caughtUp = b.CaughtUp() && s.next >= b.End
	if s.caughtUp {
		s.confirm(b.Asked)
	}
}
