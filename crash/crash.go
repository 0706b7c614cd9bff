// Package crash finds requests that crash the backend servers that run them,
// and quarantines them in all entries of a zone.
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

// Standing is what is held against a fingerprint. A higher one is graver.
type Standing uint8

// The standings of a fingerprint.
const (
	// Clear means that nothing is held against it.
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

// Policy bounds the memory of crashes in time and number.
type Policy struct {
	// SuspectFor is how long a suspect is remembered without a further run.
	SuspectFor time.Duration
	// QuarantineFor is how long a quarantine lasts.
	QuarantineFor time.Duration
	// MaxRecords bounds the fingerprints remembered.
	MaxRecords int
}

// DefaultPolicy returns the policy of an entry without settings for it.
func DefaultPolicy() Policy {
	return Policy{SuspectFor: 10 * time.Minute, QuarantineFor: 15 * time.Minute, MaxRecords: 4096}
}

// Verdict says how an attempt at a fingerprint is to run.
type Verdict struct {
	Standing Standing
	// Barred is set if the attempt must not run now.
	Barred bool
	// RetryAfter tells the caller when to come back, if barred.
	RetryAfter time.Duration
	// Busy is set if another run bars it; it is closed when that ends.
	Busy <-chan struct{}
}

// Entry is one remembered fingerprint, for operators.
type Entry struct {
	Fingerprint uint64
	Standing    Standing
	// Left is the time until it is forgotten.
	Left time.Duration
}

// busyRetryAfter is when a caller is asked to return whose request is a suspect
// that runs already.
const busyRetryAfter = 2 * time.Second

// Tracker remembers crashes for one entry. Its methods may be called
// concurrently.
type Tracker struct {
	clock  clockwork.Clock
	policy Policy
	gossip track.Gossip
	self   track.InstanceID
	logger *zap.Logger

	crashes     *metrics.Counter
	convictions *metrics.Counter

	mu      sync.Mutex
	records map[uint64]*record
	running map[uint64]*runs
}

// runs are the attempts at one fingerprint that are in progress here.
type runs struct {
	count int
	ended chan struct{}
}

// record is the state of one fingerprint. A cleared or released fingerprint
// keeps a record, so that digests from before don't bring the old one back.
type record struct {
	epoch    uint32
	standing Standing
	until    time.Time
}

// New returns a Tracker that shares its findings over gossip.
func New(
	clock clockwork.Clock, policy Policy, self track.InstanceID, gossip track.Gossip, logger *zap.Logger, set *metrics.Set,
) *Tracker {
	t := &Tracker{
		clock: clock, policy: policy, gossip: gossip, self: self, logger: logger,
		crashes:     set.GetOrCreateCounter("filberttrack_crash_charges_total"),
		convictions: set.GetOrCreateCounter("filberttrack_crash_quarantines_total"),
		records:     make(map[uint64]*record),
		running:     make(map[uint64]*runs),
	}
	gossip.Subscribe(track.TopicQuarantine, t.receive)
	return t
}

// Begin asks for an attempt to run. If the verdict doesn't bar it, the caller
// must report the end of the attempt with End. A suspect must run isolated.
func (t *Tracker) Begin(fingerprint uint64) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.verdict(fingerprint)
	if v.Barred {
		return v
	}
	r, ok := t.running[fingerprint]
	if !ok {
		r = &runs{ended: make(chan struct{})}
		t.running[fingerprint] = r
	}
	r.count++
	return v
}

// Check returns the verdict on a fingerprint without a run.
func (t *Tracker) Check(fingerprint uint64) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(fingerprint)
}

func (t *Tracker) verdict(fingerprint uint64) Verdict {
	now := t.clock.Now()
	r := t.live(fingerprint, now)
	if r == nil || r.standing == Clear {
		return Verdict{}
	}
	v := Verdict{Standing: r.standing}
	switch {
	case r.standing == Quarantined:
		v.Barred, v.RetryAfter = true, r.until.Sub(now)
	case t.running[fingerprint] != nil:
		v.Barred, v.RetryAfter, v.Busy = true, busyRetryAfter, t.running[fingerprint].ended
	}
	return v
}

// End tells how an attempt that Begin allowed went on.
type End struct {
	// Crashed is set if the backend server died while the attempt was in flight.
	Crashed bool
	// Completed is set if the attempt ran to its end.
	Completed bool
	// Isolated is set if no other suspect was in flight on the backend server.
	Isolated bool
}

// End reports the end of an attempt, and returns the standing that follows.
func (t *Tracker) End(fingerprint uint64, e End) Standing {
	standing, changed := t.settle(fingerprint, e)
	if changed {
		t.Publish()
	}
	return standing
}

func (t *Tracker) settle(fingerprint uint64, e End) (Standing, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave(fingerprint)
	now := t.clock.Now()
	r := t.live(fingerprint, now)
	switch {
	case e.Crashed:
		t.crashes.Inc()
		return t.charge(fingerprint, r, e.Isolated, now), true
	case e.Completed && e.Isolated && r != nil && r.standing == Suspect:
		t.clear(fingerprint, r, now)
		return Clear, true
	case r != nil:
		return r.standing, false
	}
	return Clear, false
}

// leave takes back one run, and tells those who wait for the last.
func (t *Tracker) leave(fingerprint uint64) {
	r, ok := t.running[fingerprint]
	if !ok {
		return
	}
	if r.count--; r.count == 0 {
		close(r.ended)
		delete(t.running, fingerprint)
	}
}

// charge holds a crash against a fingerprint. Only a suspect that ran isolated
// is convicted.
func (t *Tracker) charge(fingerprint uint64, r *record, isolated bool, now time.Time) Standing {
	if r == nil {
		r = t.insert(fingerprint, now)
	}
	switch {
	case r.standing == Quarantined:
	case r.standing == Suspect && isolated:
		r.standing, r.until = Quarantined, now.Add(t.policy.QuarantineFor)
		t.convictions.Inc()
	default:
		r.standing, r.until = Suspect, now.Add(t.policy.SuspectFor)
	}
	t.logger.Warn("crash charged", zap.Uint64("fingerprint", fingerprint), zap.Stringer("standing", r.standing),
		zap.Bool("isolated", isolated), zap.Time("until", r.until))
	return r.standing
}

// clear forgives a fingerprint in a new epoch, which outlives what other entries
// still hold against it.
func (t *Tracker) clear(fingerprint uint64, r *record, now time.Time) {
	r.epoch++
	r.standing = Clear
	r.until = now.Add(max(t.policy.SuspectFor, t.policy.QuarantineFor))
	t.logger.Info("crash suspect cleared", zap.Uint64("fingerprint", fingerprint))
}

// Release ends the quarantine of a fingerprint in all entries, and reports
// whether there was one.
func (t *Tracker) Release(fingerprint uint64) bool {
	t.mu.Lock()
	now := t.clock.Now()
	r := t.live(fingerprint, now)
	found := r != nil && r.standing == Quarantined
	if found {
		t.clear(fingerprint, r, now)
	}
	t.mu.Unlock()
	if found {
		t.Publish()
	}
	return found
}

// List returns the suspects and the quarantined, gravest first.
func (t *Tracker) List() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var entries []Entry
	for fingerprint := range t.records {
		if r := t.live(fingerprint, now); r != nil && r.standing != Clear {
			entries = append(entries, Entry{Fingerprint: fingerprint, Standing: r.standing, Left: r.until.Sub(now)})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Standing, a.Standing), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return entries
}

// live returns the record of a fingerprint, or nil if there is none or its time
// is over.
func (t *Tracker) live(fingerprint uint64, now time.Time) *record {
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

// insert adds a record, in place of the least grave one if there is no room.
func (t *Tracker) insert(fingerprint uint64, now time.Time) *record {
	if len(t.records) >= t.policy.MaxRecords {
		t.evict()
	}
	r := &record{until: now.Add(t.policy.SuspectFor)}
	t.records[fingerprint] = r
	return r
}

func (t *Tracker) evict() {
	var victim uint64
	var least *record
	for fingerprint, r := range t.records {
		if least == nil || r.standing < least.standing ||
			r.standing == least.standing && r.until.Before(least.until) {
			victim, least = fingerprint, r
		}
	}
	delete(t.records, victim)
}
