// Package crash detects requests that crash the backend servers that run them, and
// quarantines them in all entries of an availability zone.
//
// A request is known by its fingerprint. If a backend server crashes, all requests that
// were in flight on it become suspects. A suspect then runs isolated, that is with no
// other suspect on the backend server: if that run completes the suspect is cleared, and
// if it crashes the backend server too the fingerprint is quarantined.
package crash

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

// Standing is the crash status of a fingerprint. A higher one is more severe.
type Standing uint8

// The standings of a fingerprint.
const (
	// Clear means that no crash is attributed to it.
	Clear Standing = iota
	// Suspect means that it was in flight on a backend server that crashed.
	Suspect
	// Quarantined means that it crashed a backend server in an isolated run.
	Quarantined
)

// String returns the name used in logs.
func (s Standing) String() string {
	return [...]string{Clear: "Clear", Suspect: "Suspect", Quarantined: "Quarantined"}[min(s, Quarantined)]
}

// Policy says how long fingerprints are tracked, and how many of them.
type Policy struct {
	// SuspectFor is how long a suspect is tracked without a further run.
	SuspectFor time.Duration
	// QuarantineFor is how long a quarantine lasts.
	QuarantineFor time.Duration
	// MaxRecords is the most fingerprints that are tracked at once.
	MaxRecords int
}

// DefaultPolicy returns the policy of an entry that has no settings for it.
func DefaultPolicy() Policy {
	return Policy{SuspectFor: 10 * time.Minute, QuarantineFor: 15 * time.Minute, MaxRecords: 4096}
}

// Decision says whether and how an attempt to run a request may go ahead.
type Decision struct {
	// Standing is that of the request; a Suspect must run isolated.
	Standing Standing
	// Refused is set if the attempt must not run now.
	Refused bool
	// RetryAfter is the time after which the caller may try again, if refused.
	RetryAfter time.Duration
	// RunEnded is set if the attempt is refused only because the same suspect is running.
	// It is closed when that run ends.
	RunEnded <-chan struct{}
}

// TrackedFingerprint is a suspect or a quarantined fingerprint, for operators.
type TrackedFingerprint struct {
	Fingerprint uint64
	Standing    Standing
	// Remaining is the time until its record expires.
	Remaining time.Duration
}

// busyRetryAfter is the RetryAfter for a suspect that is running already.
const busyRetryAfter = 2 * time.Second

// Tracker tracks the fingerprints of one entry, and shares them with the other entries of
// the zone. It is safe for concurrent use.
type Tracker struct {
	clock  clockwork.Clock
	policy Policy
	gossip track.Gossip
	self   track.InstanceID
	logger *zap.Logger

	crashes     *metrics.Counter
	quarantines *metrics.Counter

	mu         sync.Mutex
	records    map[uint64]*record
	activeRuns map[uint64]*runGroup
}

// runGroup counts the runs of one fingerprint that are in progress on this entry.
type runGroup struct {
	count int
	// done is closed when the last run ends.
	done chan struct{}
}

// record is the state of one fingerprint. A cleared or released fingerprint keeps its
// record, so that older digests don't bring the suspicion back.
type record struct {
	// epoch rises each time the fingerprint is cleared or released; a record of a higher
	// epoch replaces one of a lower.
	epoch    uint32
	standing Standing
	// until is when the record expires.
	until time.Time
}

// New returns a Tracker without records for the entry self. It publishes its digests over
// gossip and merges those of other entries.
func New(
	clock clockwork.Clock, policy Policy, self track.InstanceID, gossip track.Gossip,
	logger *zap.Logger, set *metrics.Set,
) *Tracker {
	t := &Tracker{
		clock: clock, policy: policy, gossip: gossip, self: self, logger: logger,
		crashes:     set.GetOrCreateCounter("filberttrack_crash_charges_total"),
		quarantines: set.GetOrCreateCounter("filberttrack_crash_quarantines_total"),
		records:     make(map[uint64]*record),
		activeRuns:  make(map[uint64]*runGroup),
	}
	gossip.Subscribe(track.TopicQuarantine, t.receiveDigest)
	return t
}

// Begin asks whether an attempt may run, and counts the run if it may. If the decision
// doesn't refuse the attempt, the caller must report its end with Finish. A suspect must
// run isolated.
func (t *Tracker) Begin(fingerprint uint64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.decide(fingerprint)
	if v.Refused {
		return v
	}
	r, ok := t.activeRuns[fingerprint]
	if !ok {
		r = &runGroup{done: make(chan struct{})}
		t.activeRuns[fingerprint] = r
	}
	r.count++
	return v
}

// Check returns the verdict on a fingerprint without beginning a run.
func (t *Tracker) Check(fingerprint uint64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decide(fingerprint)
}

func (t *Tracker) decide(fingerprint uint64) Decision {
	now := t.clock.Now()
	r := t.activeRecord(fingerprint, now)
	if r == nil || r.standing == Clear {
		return Decision{}
	}
	v := Decision{Standing: r.standing}
	switch {
	case r.standing == Quarantined:
		v.Refused, v.RetryAfter = true, r.until.Sub(now)
	case t.activeRuns[fingerprint] != nil:
		v.Refused, v.RetryAfter, v.RunEnded = true, busyRetryAfter, t.activeRuns[fingerprint].done
	}
	return v
}

// RunResult tells how an attempt that Begin allowed has ended.
type RunResult struct {
	// Crashed is set if the backend server died while the attempt was in flight.
	Crashed bool
	// Completed is set if the request ran to completion.
	Completed bool
	// Isolated is set if no other suspect was in flight on the backend server.
	Isolated bool
}

// Finish records the end of an attempt and returns the fingerprint's new standing. A change
// of standing is published to the other entries.
func (t *Tracker) Finish(fingerprint uint64, e RunResult) Standing {
	standing, changed := t.recordEnd(fingerprint, e)
	if changed {
		t.Publish()
	}
	return standing
}

func (t *Tracker) recordEnd(fingerprint uint64, e RunResult) (Standing, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endRun(fingerprint)
	now := t.clock.Now()
	r := t.activeRecord(fingerprint, now)
	switch {
	case e.Crashed:
		t.crashes.Inc()
		return t.recordCrash(fingerprint, r, e.Isolated, now), true
	case e.Completed && e.Isolated && r != nil && r.standing == Suspect:
		t.clearRecord(fingerprint, r, now)
		return Clear, true
	case r != nil:
		return r.standing, false
	}
	return Clear, false
}

// endRun uncounts a run, and wakes those who wait on Decision.RunEnded if it was the last.
func (t *Tracker) endRun(fingerprint uint64) {
	r, ok := t.activeRuns[fingerprint]
	if !ok {
		return
	}
	if r.count--; r.count == 0 {
		close(r.done)
		delete(t.activeRuns, fingerprint)
	}
}

// recordCrash attributes a crash to a fingerprint. Only a suspect that ran isolated is
// quarantined.
func (t *Tracker) recordCrash(fingerprint uint64, r *record, isolated bool, now time.Time) Standing {
	if r == nil {
		r = t.insertRecord(fingerprint, now)
	}
	switch {
	case r.standing == Quarantined:
	case r.standing == Suspect && isolated:
		r.standing, r.until = Quarantined, now.Add(t.policy.QuarantineFor)
		t.quarantines.Inc()
	default:
		r.standing, r.until = Suspect, now.Add(t.policy.SuspectFor)
	}
	t.logger.Warn("crash attributed to request", zap.Uint64("fingerprint", fingerprint),
		zap.Stringer("standing", r.standing), zap.Bool("isolated", isolated), zap.Time("until", r.until))
	return r.standing
}

// clearRecord clears a fingerprint in a new epoch. The record is kept for longer than any
// record of the old epoch lasts on other entries.
func (t *Tracker) clearRecord(fingerprint uint64, r *record, now time.Time) {
	r.epoch++
	r.standing = Clear
	r.until = now.Add(max(t.policy.SuspectFor, t.policy.QuarantineFor))
	t.logger.Info("crash suspect cleared", zap.Uint64("fingerprint", fingerprint))
}

// Release ends the quarantine of a fingerprint in all entries of the zone, and reports
// whether this entry had it in quarantine.
func (t *Tracker) Release(fingerprint uint64) bool {
	t.mu.Lock()
	now := t.clock.Now()
	r := t.activeRecord(fingerprint, now)
	found := r != nil && r.standing == Quarantined
	if found {
		t.clearRecord(fingerprint, r, now)
	}
	t.mu.Unlock()
	if found {
		t.Publish()
	}
	return found
}

// List returns the suspects and the quarantined fingerprints, quarantined ones first.
func (t *Tracker) List() []TrackedFingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var tracked []TrackedFingerprint
	for fingerprint := range t.records {
		if r := t.activeRecord(fingerprint, now); r != nil && r.standing != Clear {
			tracked = append(tracked, TrackedFingerprint{
				Fingerprint: fingerprint, Standing: r.standing, Remaining: r.until.Sub(now),
			})
		}
	}
	slices.SortFunc(tracked, func(a, b TrackedFingerprint) int {
		return cmp.Or(cmp.Compare(b.Standing, a.Standing), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return tracked
}

// activeRecord returns the record of a fingerprint, or nil if there is none. It deletes a
// record that has expired.
func (t *Tracker) activeRecord(fingerprint uint64, now time.Time) *record {
	r, ok := t.records[fingerprint]
	if !ok {
		return nil
	}
	if !now.Before(r.until) {
		delete(t.records, fingerprint)
		return nil
	}
	return r
}

// insertRecord adds a record. If there are MaxRecords already, it replaces the one of the
// lowest standing, and of these the one that expires first.
func (t *Tracker) insertRecord(fingerprint uint64, now time.Time) *record {
	if len(t.records) >= t.policy.MaxRecords {
		t.evictRecord()
	}
	r := &record{until: now.Add(t.policy.SuspectFor)}
	t.records[fingerprint] = r
	return r
}

func (t *Tracker) evictRecord() {
	var victim uint64
	var lowest *record
	for fingerprint, r := range t.records {
		if lowest == nil || r.standing < lowest.standing ||
			r.standing == lowest.standing && r.until.Before(lowest.until) {
			victim, lowest = fingerprint, r
		}
	}
	delete(t.records, victim)
}
