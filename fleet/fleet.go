// Package fleet keeps the list of replicas that requests may be sent to.
package fleet

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

// lapseGrace is the time after the return of the log within which a replica whose
// entry had lapsed is listed again, if it lives.
const lapseGrace = 2300 * time.Millisecond

// Decode decodes a replica's record.
type Decode func(id string, data []byte) (track.Replica, error)

// Options holds what a Fleet is made of.
type Options struct {
	Decode Decode
	// Away reports since when the log hasn't answered, and when it returned.
	Away func() (since, returned time.Time)
	// Changed takes the replicas that may be used, after each change.
	Changed func([]track.Replica)
	Clock   clockwork.Clock
	Logger  *zap.Logger
}

// Fleet follows the platform's list of replicas. It is safe for concurrent use.
type Fleet struct {
	options Options

	mu       sync.Mutex
	replicas map[track.ReplicaID]*member
}

type member struct {
	replica track.Replica
	// lapses is the time at which a replica whose entry is missing counts as gone;
	// zero while it is listed.
	lapses time.Time
}

// New returns a fleet without replicas.
func New(options Options) *Fleet {
	return &Fleet{options: options, replicas: make(map[track.ReplicaID]*member)}
}

// Apply takes records of the list in the order of the log.
func (f *Fleet) Apply(records []track.KeyedRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = f.applyOne(r) || changed
	}
	changed = f.expire() || changed
	if changed {
		f.publish()
	}
}

// Tick drops the replicas whose entries have lapsed for too long.
func (f *Fleet) Tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.expire() {
		f.publish()
	}
}

func (f *Fleet) applyOne(r track.KeyedRecord) bool {
	id := track.ReplicaID(r.Key)
	old := f.replicas[id]
	if len(r.Value) == 0 {
		return f.missing(id, old)
	}
	replica, err := f.options.Decode(r.Key, r.Value)
	if err != nil {
		// The entry names nobody; a replica that was known under it is not
		// vouched for any more.
		f.options.Logger.Warn("entry of a replica can't be read", zap.String("Replica", r.Key),
			zap.Uint64("Offset", r.Offset), zap.Error(err))
		return f.remove(id, old, "Unreadable")
	}
	if old != nil && old.lapses.IsZero() && old.replica == replica {
		return false
	}
	if old == nil || old.replica.Draining != replica.Draining || old.replica.Address != replica.Address || old.replica.Born != replica.Born {
		f.options.Logger.Info("replica", zap.String("Replica", r.Key), zap.String("Service", replica.Service),
			zap.String("Address", replica.Address), zap.String("Zone", string(replica.Zone)),
			zap.Bool("Draining", replica.Draining), zap.Uint64("Offset", r.Offset))
	}
	f.replicas[id] = &member{replica: replica}
	return true
}

// missing handles an entry that was dropped: the replica has left, unless its
// entry may have lapsed while the log was away.
func (f *Fleet) missing(id track.ReplicaID, old *member) bool {
	if old == nil {
		return false
	}
	_, returned := f.options.Away()
	if until := returned.Add(lapseGrace); !returned.IsZero() && f.options.Clock.Now().Before(until) && !old.replica.Draining {
		f.options.Logger.Info("entry of a replica has lapsed", zap.String("Replica", string(id)), zap.Time("KeptUntil", until))
		old.lapses = until
		return false
	}
	return f.remove(id, old, "Left")
}

func (f *Fleet) remove(id track.ReplicaID, old *member, reason string) bool {
	if old == nil {
		return false
	}
	f.options.Logger.Info("replica gone", zap.String("Replica", string(id)), zap.String("Reason", reason))
	delete(f.replicas, id)
	return true
}

func (f *Fleet) expire() bool {
	now := f.options.Clock.Now()
	changed := false
	for id, m := range f.replicas {
		if !m.lapses.IsZero() && !now.Before(m.lapses) {
			changed = f.remove(id, m, "Lapsed") || changed
		}
	}
	return changed
}

func (f *Fleet) publish() {
	usable := make([]track.Replica, 0, len(f.replicas))
	for _, m := range f.replicas {
		if !m.replica.Draining {
			usable = append(usable, m.replica)
		}
	}
	f.options.Changed(usable)
}
