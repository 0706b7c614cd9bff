package config

import (
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
	"filberttrack.example/track/tail"
)

// follower implements tail.Handler for the store's reader of the log.
type follower Store

// NextOffset implements tail.Handler.
func (f *follower) NextOffset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.searching {
		return f.searchOffset
	}
	return f.nextOffset
}

// HandleError implements tail.Handler.
func (f *follower) HandleError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logError = err.Error()
}

// HandleBatch implements tail.Handler.
func (f *follower) HandleBatch(b tail.Batch[change.Record]) {
	s := (*Store)(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logError = ""
	s.beginBatch(b)
	if !s.searching && s.nextOffset < b.From {
		// State from a peer ended the search while the read was in progress.
		// The records between its offset and the batch must be applied first.
		return
	}
	before := s.seq()
	for _, record := range b.Records {
		s.updateSnapshotTime(record)
	}
	if s.searching {
		s.searchBatch(b)
	} else {
		s.applyBatch(b)
	}
	s.finishBatch(b, before)
}

func (s *Store) applyBatch(b tail.Batch[change.Record]) {
	for _, record := range b.Records {
		if record.Offset >= s.nextOffset {
			s.applyRecord(record)
		}
	}
}

// searchBatch searches a batch up to its end or the first usable snapshot. The
// records after the snapshot are read again, since a snapshot may not include
// some of the records before it, which must be applied first.
func (s *Store) searchBatch(b tail.Batch[change.Record]) {
	for _, record := range b.Records {
		s.searchRecord(record, b.Oldest)
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

// beginBatch starts the search for a snapshot if records between the state and
// the batch have expired. With a log that is still complete, a store without a
// state starts from the empty one.
func (s *Store) beginBatch(b tail.Batch[change.Record]) {
	if s.state == nil && !s.searching {
		if b.Oldest == 0 {
			s.state = change.NewState()
			s.activate()
			return
		}
		s.startSearch(b.Oldest)
	}
	// State from peers may have advanced the offset since the read was sent.
	if !s.searching && s.nextOffset < b.Oldest {
		s.startSearch(b.Oldest)
	}
}

func (s *Store) startSearch(oldest uint64) {
	s.searching, s.searchOffset, s.searchStarted = true, oldest, s.options.Clock.Now()
	s.answered = make(map[track.InstanceID]bool)
}

// updateSnapshotTime records the time of the newest snapshot in the log.
func (s *Store) updateSnapshotTime(record tail.Record[change.Record]) {
	if record.Err == nil && record.Value.Snapshot != nil && record.Time.After(s.snapshotTime) {
		s.snapshotTime = record.Time
	}
}

// searchRecord adopts the state of a snapshot if the log still holds all records
// that are not part of the snapshot.
func (s *Store) searchRecord(record tail.Record[change.Record], oldest uint64) {
	s.searchOffset = record.Offset + 1
	snapshot := record.Value.Snapshot
	if record.Err != nil || snapshot == nil || snapshot.Next < max(oldest, s.nextOffset) || snapshot.Next > record.Offset {
		return
	}
	state, err := snapshot.State()
	if err != nil {
		s.options.Logger.Error("snapshot in the log rejected", zap.Uint64("Offset", record.Offset), zap.Error(err))
		return
	}
	if s.replaceState(state, snapshot.Next, "snapshot in the log") {
		return
	}
	if state.Seq() == s.seq() {
		// The expired records contained no decision.
		s.nextOffset, s.searching = snapshot.Next, false
	}
}

// applyRecord applies the record that follows the state.
func (s *Store) applyRecord(record tail.Record[change.Record]) {
	s.nextOffset = record.Offset + 1
	switch {
	case record.Err != nil:
		// The reader has logged the error. All instances skip the record.
	case record.Value.Change != nil:
		s.applyChange(*record.Value.Change)
	case record.Value.Snapshot != nil:
		s.compareChecksum(record.Value.Snapshot.Seq, record.Value.Snapshot.Checksum, "snapshot in the log")
	}
}

func (s *Store) applyChange(c change.Change) {
	before := s.state.Seq()
	d := s.state.Apply(c)
	if s.state.Seq() == before {
		s.options.Logger.Info("change appended again", zap.String("Change", c.ID))
		return
	}
	s.reportDecision(d)
}

// reportDecision logs and counts a decision.
func (s *Store) reportDecision(d change.Decision) {
	fields := []zap.Field{
		zap.String("Change", d.Change.ID), zap.String("Operator", d.Change.Operator),
		zap.Uint64("Seq", d.Seq), zap.Uint64("Version", d.Verdict.Version),
	}
	if d.Verdict.Accepted {
		s.counters.acceptedChanges.Inc()
		s.options.Logger.Info("change accepted", fields...)
		return
	}
	s.counters.refusedChanges.Inc()
	s.options.Logger.Warn("change refused", append(fields,
		zap.String("Reason", string(d.Verdict.Reason)), zap.String("Detail", d.Verdict.Detail))...)
}

// compareChecksum compares the state with another one by checksum, and logs and
// counts a difference. It returns true only if the states are equal; if their
// sequence numbers differ, they are not compared.
func (s *Store) compareChecksum(seq uint64, checksum, source string) bool {
	if s.state == nil || seq != s.state.Seq() || checksum == "" {
		return false
	}
	own := s.stateChecksum()
	if own == checksum {
		return true
	}
	s.counters.diverged.Inc()
	s.options.Logger.Error("configuration checksums differ", zap.String("Source", source), zap.Uint64("Seq", seq),
		zap.String("Own", own), zap.String("Other", checksum))
	return false
}

func (s *Store) finishBatch(b tail.Batch[change.Record], before uint64) {
	if s.searching {
		s.searchOffset = max(s.searchOffset, b.Next)
		s.caughtUp = b.CaughtUp()
		return
	}
	if len(b.Records) == 0 {
		s.nextOffset = max(s.nextOffset, b.Next)
	}
	if s.seq() != before {
		s.activate()
	}
	s.caughtUp = b.CaughtUp() && s.nextOffset >= b.End
	if s.caughtUp {
		s.confirmCurrent(b.RequestedAt)
	}
}
