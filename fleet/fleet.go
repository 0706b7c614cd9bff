// Package fleet maintains the list of replicas that requests may be sent to, from the
// records of the platform's log.
package fleet

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

// relistGrace is the time after the end of a log outage within which a live replica is
// listed again if its entry expired during the outage.
const relistGrace = 2300 * time.Millisecond

// departureMemory is the time for which the last report of a replica that has left is kept.
// It is longer than the history that a log restored from an older copy can lack.
const departureMemory = 5 * time.Minute

// DecodeFunc decodes the record of the replica with the given ID.
type DecodeFunc func(id string, data []byte) (track.Replica, error)

// Options holds the dependencies of a ReplicaList.
type Options struct {
	Decode DecodeFunc
	// LogOutage reports since when the log has not answered and, once it answers again, when
	// the outage ended. Both are zero if there was no outage.
	LogOutage func() (since, returned time.Time)
	// OnChange is called after each change with all replicas that may be used, which
	// excludes draining ones. It must not call methods of the ReplicaList.
	OnChange func([]track.Replica)
	Clock    clockwork.Clock
	Logger   *zap.Logger
}

// ReplicaList is the platform's list of replicas, kept up to date from the log. It is safe for
// concurrent use.
type ReplicaList struct {
	options Options

	mu       sync.Mutex
	replicas map[track.ReplicaID]*listedReplica
	// departed holds the replicas that have left.
	departed map[track.ReplicaID]departedReplica
}

// departedReplica is the last that is known of a replica that has left.
type departedReplica struct {
	replica track.Replica
	leftAt  time.Time
}

// listedReplica is a replica that is listed, or that was until recently.
type listedReplica struct {
	replica track.Replica
	// removeAt is when a replica whose entry was deleted counts as gone unless it is
	// listed again; zero while it is listed.
	removeAt time.Time
}

// New returns a ReplicaList without replicas.
func New(options Options) *ReplicaList {
	return &ReplicaList{
		options: options, replicas: make(map[track.ReplicaID]*listedReplica),
		departed: make(map[track.ReplicaID]departedReplica),
	}
}

// Apply applies records of the list, which must be in the order of the log.
func (f *ReplicaList) Apply(records []track.KeyedRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = f.applyRecord(r) || changed
	}
	changed = f.removeLapsed() || changed
	if changed {
		f.publish()
	}
}

// ApplyRestored applies the records of a log that came back from an older copy of itself. A
// record is ignored if the replica has reported since, so that one that is draining or has
// left isn't used again. Replicas without a record have relistGrace to report again.
func (f *ReplicaList) ApplyRestored(records []track.KeyedRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := f.options.Clock.Now().Add(relistGrace)
	for _, r := range records {
		id := track.ReplicaID(r.Key)
		known := f.replicas[id]
		if len(r.Value) == 0 {
			if known != nil {
				f.options.Logger.Info("entry of a replica was lost", zap.String("Replica", r.Key), zap.Time("KeptUntil", until))
				known.removeAt = until
			}
			continue
		}
		if f.isOutdated(r, known) {
			f.options.Logger.Info("ignored an older entry of a replica", zap.String("Replica", r.Key))
			continue
		}
		f.applyRecord(r)
	}
	f.publish()
}

// isOutdated reports whether a replica has reported since the record was written.
func (f *ReplicaList) isOutdated(r track.KeyedRecord, known *listedReplica) bool {
	replica, err := f.options.Decode(r.Key, r.Value)
	if err != nil {
		return known != nil
	}
	if known != nil {
		// A replica that drains never becomes ready again without another start.
		drains := replica.Draining && replica.StartID == known.replica.StartID
		return !drains && !reportedLater(replica, known.replica)
	}
	left, ok := f.departed[replica.ID]
	return ok && !reportedLater(replica, left.replica)
}

// reportedLater reports whether a is a later report of a replica than b.
func reportedLater(a, b track.Replica) bool {
	return a.StartID > b.StartID || a.StartID == b.StartID && a.Heartbeat > b.Heartbeat
}

// RemoveLapsed removes the replicas whose entry expired during a log outage and that were not
// listed again in time. It should be called regularly.
func (f *ReplicaList) RemoveLapsed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.removeLapsed() {
		f.publish()
	}
}

// applyRecord applies one record and reports whether the list changed.
func (f *ReplicaList) applyRecord(r track.KeyedRecord) bool {
	id := track.ReplicaID(r.Key)
	known := f.replicas[id]
	if len(r.Value) == 0 {
		return f.handleDeletion(id, known)
	}
	replica, err := f.options.Decode(r.Key, r.Value)
	if err != nil {
		// The entry no longer describes a replica, so nothing confirms that the one
		// known under this ID still exists.
		f.options.Logger.Warn("entry of a replica can't be decoded", zap.String("Replica", r.Key),
			zap.Uint64("Offset", r.Offset), zap.Error(err))
		return f.removeReplica(id, known, "Unreadable")
	}
	if known != nil && known.removeAt.IsZero() && sameState(known.replica, replica) {
		known.replica.Heartbeat = replica.Heartbeat
		return false
	}
	if known == nil || known.replica.Draining != replica.Draining ||
		known.replica.Address != replica.Address || known.replica.StartID != replica.StartID {
		f.options.Logger.Info("replica", zap.String("Replica", r.Key), zap.String("Service", replica.Service),
			zap.String("Address", replica.Address), zap.String("Zone", string(replica.Zone)),
			zap.Bool("Draining", replica.Draining), zap.Uint64("Offset", r.Offset))
	}
	f.replicas[id] = &listedReplica{replica: replica}
	return true
}

// sameState reports whether two reports of a replica differ in their numbers at most. Each report that the replica is
// still cold is news: without a new one, the replica counts as warm after a while.
func sameState(a, b track.Replica) bool {
	a.Heartbeat = b.Heartbeat
	return a == b && b.WarmupTime == 0
}

// handleDeletion handles the deletion of an entry, and reports whether the list changed.
// The replica has left, unless its entry may have expired during a log outage. In that
// case, it stays for relistGrace after the outage.
func (f *ReplicaList) handleDeletion(id track.ReplicaID, known *listedReplica) bool {
	if known == nil {
		return false
	}
	_, returned := f.options.LogOutage()
	if until := returned.Add(relistGrace); !returned.IsZero() && f.options.Clock.Now().Before(until) && !known.replica.Draining {
		f.options.Logger.Info("entry of a replica has lapsed", zap.String("Replica", string(id)), zap.Time("KeptUntil", until))
		known.removeAt = until
		return false
	}
	return f.removeReplica(id, known, "Left")
}

// removeReplica removes a replica, if it is known, and reports whether it was.
func (f *ReplicaList) removeReplica(id track.ReplicaID, known *listedReplica, reason string) bool {
	if known == nil {
		return false
	}
	f.options.Logger.Info("replica gone", zap.String("Replica", string(id)), zap.String("Reason", reason))
	delete(f.replicas, id)
	now := f.options.Clock.Now()
	for old, left := range f.departed {
		if now.Sub(left.leftAt) > departureMemory {
			delete(f.departed, old)
		}
	}
	f.departed[id] = departedReplica{replica: known.replica, leftAt: now}
	return true
}

// removeLapsed removes the replicas whose grace time is over, and reports whether there
// were any.
func (f *ReplicaList) removeLapsed() bool {
	now := f.options.Clock.Now()
	changed := false
	for id, listed := range f.replicas {
		if !listed.removeAt.IsZero() && !now.Before(listed.removeAt) {
			changed = f.removeReplica(id, listed, "Lapsed") || changed
		}
	}
	return changed
}

func (f *ReplicaList) publish() {
	usable := make([]track.Replica, 0, len(f.replicas))
	for _, listed := range f.replicas {
		if !listed.replica.Draining {
			usable = append(usable, listed.replica)
		}
	}
	f.options.OnChange(usable)
}
