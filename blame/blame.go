// Package blame detects requests that crash the replicas that run them, and keeps such
// requests from being sent to further replicas.
//
// A broken connection alone does not prove a crash. A replica's death is attributed to a
// request only once it is confirmed: the address of the replica refuses connections, or the
// list of replicas shows the death. A request that runs to completion is cleared, and one that was
// completed lately is not barred.
package blame

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/parts"
	"filberttrack.example/track/recent"
)

const (
	// deathLimit is the number of deaths from which on a request is barred. With fewer, a
	// harmless request could be barred while replicas crash for other reasons.
	deathLimit = 3
	// confirmWindow is the time after a failed attempt within which the replica's death
	// must be confirmed. Replicas report about once a second, and one whose reports have
	// lapsed is dropped from the list within 4 s.
	confirmWindow = 5 * time.Second
	// chargeDuration is how long a charge is kept after the latest death, and so how
	// long a request is barred.
	chargeDuration = 10 * time.Minute
	// completionMemory is the time for which a completed run shows that the request doesn't crash
	// replicas, and maxCompleted the number of requests that are remembered.
	completionMemory = time.Minute
	maxCompleted     = 16384
	// maxCharges and maxUnconfirmed bound the memory for charges and for failed
	// attempts.
	maxCharges     = 1024
	maxUnconfirmed = 4096
	// maxDeaths is the most deaths that are kept of a request.
	maxDeaths = 8
	// shareTime is the time for which a charge is sent to peers after it has changed, so that they get
	// it although messages are lost. Charges of barred requests are sent for as long as they last,
	// for entries that start.
	shareTime = 15 * time.Second
	// maxSharedCharges is the most charges sent to or taken from a peer in one message.
	maxSharedCharges = 16
)

// Fingerprint identifies requests that run alike. It is a 64-bit FNV-1a hash.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request, given the parts of it that decide how it runs.
func FingerprintOf(parts ...[]byte) Fingerprint {
	hash := fnv.New64a()
	for _, part := range parts {
		// A hash never fails to write.
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	return Fingerprint(hash.Sum64())
}

// Death identifies the death of a replica.
type Death struct {
	Replica track.ReplicaID
	// Born identifies the start of the replica that ended in the death, as
	// track.Replica.StartID does.
	Born int64
}

// ChargedDeath is a death in a Charge.
type ChargedDeath struct {
	Death
	// SentAgo and BrokeAgo are the times since the attempt was sent and since it broke off.
	SentAgo, BrokeAgo time.Duration
}

// Charge lists the deaths attributed to a request, in the form that entries send to each
// other.
type Charge struct {
	Fingerprint Fingerprint
	// Round rises each time the request is cleared. Deaths of an earlier round no longer
	// count.
	Round uint32
	// Deaths are the latest replica deaths attributed to the request in this round, 8 at most.
	Deaths []ChargedDeath
	// Left is the time until the charge expires.
	Left time.Duration
}

// Attempt is an attempt to run a request on a replica.
type Attempt struct {
	RequestID   track.RequestID
	Fingerprint Fingerprint
	Replica     track.Replica
	// Parts holds the shared parts of the prompt if the replica had not begun to write; it is
	// empty otherwise.
	Parts []parts.Part
	// Trial is set if the request was admitted as a trial of one of its parts.
	Trial  bool
	SentAt time.Time
}

// Evidence says what confirmed the death of a replica.
type Evidence string

const (
	// EvidenceListed means that the list of replicas lacks the replica, or shows another start of
	// it or another replica at its address.
	EvidenceListed Evidence = "Listed"
	// EvidenceRefused means that the address of the replica refused a connection.
	EvidenceRefused Evidence = "Refused"
)

// Tracker records which requests crashed replicas. It is safe for concurrent use.
type Tracker struct {
	clock  clockwork.Clock
	logger *zap.Logger
	// parts gets the runs that crashed their replicas.
	parts *parts.Tracker

	// confirmationTime is the time from a broken attempt to the confirmation of its replica's death.
	confirmationTime *metrics.Histogram
	unconfirmedTotal *metrics.Counter

	mu      sync.Mutex
	charges map[Fingerprint]*charge
	// completed counts the runs that were completed.
	completed *recent.Counts[Fingerprint]
	// unconfirmed holds the failed attempts whose replica is still listed, oldest first.
	unconfirmed []failedAttempt
	// refused holds the time at which the address of a replica that is still listed refused a
	// connection.
	refused map[Death]time.Time
	// listedStarts holds the Born value under which each replica is listed, and latestStarts the
	// highest one of the replicas at each address.
	listedStarts map[track.ReplicaID]int64
	latestStarts map[string]int64
}

// charge is the record of a request. See Charge for its fields.
type charge struct {
	round  uint32
	deaths []chargedDeath
	// own is set if a death that this entry has seen barred the request.
	own bool
	// changedAt is when the round or the deaths changed last.
	changedAt time.Time
	// until is when the charge expires.
	until time.Time
}

// chargedDeath is a death in a charge.
type chargedDeath struct {
	Death
	sentAt, brokeAt time.Time
}

// add adds a death unless the charge has it already, and keeps the latest ones.
func (c *charge) add(d chargedDeath) bool {
	if slices.ContainsFunc(c.deaths, func(known chargedDeath) bool { return known.Death == d.Death }) {
		return false
	}
	c.deaths = append(c.deaths, d)
	slices.SortStableFunc(c.deaths, func(x, y chargedDeath) int { return x.brokeAt.Compare(y.brokeAt) })
	c.deaths = c.deaths[max(len(c.deaths)-maxDeaths, 0):]
	return true
}

// suffices reports whether the deaths suffice to bar the request. Replicas that are lost together,
// as with an instance or a zone, prove nothing: one of the attempts must have been sent after
// another had broken off.
func (c *charge) suffices() bool {
	if len(c.deaths) < deathLimit {
		return false
	}
	// The deaths are in the order of their ends.
	firstBroke := c.deaths[0].brokeAt
	return slices.ContainsFunc(c.deaths, func(d chargedDeath) bool { return !d.sentAt.Before(firstBroke) })
}

// failedAttempt is an attempt that broke off, and may have crashed its replica.
type failedAttempt struct {
	Attempt
	death   Death
	brokeAt time.Time
}

// New returns a Tracker without charges that passes runs which crashed their replicas to the
// tracker of parts. It registers its metrics in the given set.
func New(clock clockwork.Clock, logger *zap.Logger, set *metrics.Set, partsTracker *parts.Tracker) *Tracker {
	b := &Tracker{
		clock: clock, logger: logger, parts: partsTracker,
		confirmationTime: set.GetOrCreateHistogram("filberttrack_death_confirmation_seconds"),
		unconfirmedTotal: set.GetOrCreateCounter("filberttrack_deaths_unconfirmed_total"),
		charges:          make(map[Fingerprint]*charge),
		completed:        recent.New[Fingerprint](clock, completionMemory, maxCompleted),
		refused:          make(map[Death]time.Time),
		listedStarts:     make(map[track.ReplicaID]int64),
		latestStarts:     make(map[string]int64),
	}
	set.GetOrCreateGauge("filberttrack_requests_barred", func() float64 { return float64(b.barredCount()) })
	return b
}

// barredCount returns the number of requests that must not be sent to a replica.
func (b *Tracker) barredCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for f := range b.charges {
		if c := b.activeCharge(f); c != nil && c.suffices() {
			n++
		}
	}
	return n
}

// BarredFor returns how long the request must not be sent to a replica; 0 if it may be.
func (b *Tracker) BarredFor(f Fingerprint) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.activeCharge(f)
	if c == nil || !c.suffices() {
		return 0
	}
	return c.until.Sub(b.clock.Now())
}

// AttemptBroke records that an attempt broke off on a replica. The replica's death is attributed
// to the request once SetReplicas or ReplicaDied confirms it, or at once if it is known already.
func (b *Tracker) AttemptBroke(attempt Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.unconfirmed) == maxUnconfirmed {
		b.unconfirmed = slices.Delete(b.unconfirmed, 0, 1)
	}
	a := failedAttempt{
		Attempt: attempt,
		death:   Death{Replica: attempt.Replica.ID, Born: attempt.Replica.StartID},
		brokeAt: b.clock.Now(),
	}
	if evidence, died := b.confirm(a); died {
		b.chargeDeath(a, evidence)
		return
	}
	b.unconfirmed = append(b.unconfirmed, a)
}

// ReplicaDied records that the address of a replica refuses connections, which confirms the
// death of the replica for all attempts that broke off on it.
func (b *Tracker) ReplicaDied(replica track.Replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[Death{Replica: replica.ID, Born: replica.StartID}] = b.clock.Now()
	b.chargeConfirmed()
}

// confirm reports whether the replica of a failed attempt is known to have died, and from
// which evidence.
func (b *Tracker) confirm(a failedAttempt) (Evidence, bool) {
	if at, refused := b.refused[a.death]; refused && b.clock.Since(at) <= confirmWindow {
		return EvidenceRefused, true
	}
	born, listed := b.listedStarts[a.death.Replica]
	replaced := a.Replica.Address != "" && b.latestStarts[a.Replica.Address] > a.death.Born
	return EvidenceListed, !listed || born != a.death.Born || replaced
}

// chargeConfirmed charges the attempts whose replica's death is confirmed, and drops those for
// which the time to confirm it is over.
func (b *Tracker) chargeConfirmed() {
	now := b.clock.Now()
	b.unconfirmed = slices.DeleteFunc(b.unconfirmed, func(a failedAttempt) bool {
		if now.Sub(a.brokeAt) > confirmWindow {
			b.unconfirmedTotal.Inc()
			return true
		}
		evidence, died := b.confirm(a)
		if died {
			b.chargeDeath(a, evidence)
		}
		return died
	})
}

// RequestCompleted records that the request ran to completion, which clears it.
func (b *Tracker) RequestCompleted(f Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unconfirmed = slices.DeleteFunc(b.unconfirmed, func(a failedAttempt) bool { return a.Fingerprint == f })
	b.completed.Add(f)
	if c := b.activeCharge(f); c != nil && len(c.deaths) > 0 {
		b.clearCharge(f, c)
	}
}

// clearCharge drops the deaths attributed to a request, here and at peers.
func (b *Tracker) clearCharge(f Fingerprint, c *charge) {
	b.logger.Info("crash charges dropped", zap.Uint64("Fingerprint", uint64(f)), zap.Int("Deaths", len(c.deaths)))
	c.round, c.deaths, c.own, c.changedAt = c.round+1, nil, false, b.clock.Now()
}

// clearIfServed clears a request that would be barred but was completed lately: it was in flight on
// replicas that crashed for another reason.
func (b *Tracker) clearIfServed(f Fingerprint, c *charge) {
	if c.suffices() && b.completed.Count(f) > 0 {
		b.clearCharge(f, c)
	}
}

// SetReplicas sets the replicas that the platform lists. A replica that has left the list or
// restarted since an attempt on it broke off is taken to have been crashed by the attempt.
func (b *Tracker) SetReplicas(replicas []track.Replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.listedStarts)
	clear(b.latestStarts)
	for _, r := range replicas {
		b.listedStarts[r.ID] = r.StartID
		b.latestStarts[r.Address] = max(b.latestStarts[r.Address], r.StartID)
	}
	maps.DeleteFunc(b.refused, func(d Death, _ time.Time) bool {
		born, listed := b.listedStarts[d.Replica]
		return !listed || born != d.Born
	})
	b.chargeConfirmed()
}

// chargeDeath attributes the death of an attempt's replica to its request. Each death
// counts once.
func (b *Tracker) chargeDeath(a failedAttempt, evidence Evidence) {
	if len(a.Parts) > 0 {
		b.parts.RunCrashed(parts.Run{
			Request: uint64(a.Fingerprint), Parts: a.Parts, Trial: a.Trial, SentAt: a.SentAt, BrokeAt: a.brokeAt,
		}, parts.Crash(a.death))
	}
	c := b.activeCharge(a.Fingerprint)
	if c == nil {
		c = b.insertCharge(a.Fingerprint)
	}
	if !c.add(chargedDeath{Death: a.death, sentAt: a.SentAt, brokeAt: a.brokeAt}) {
		return
	}
	now := b.clock.Now()
	c.until, c.changedAt = now.Add(chargeDuration), now
	b.clearIfServed(a.Fingerprint, c)
	c.own = c.own || c.suffices()
	b.confirmationTime.Update(now.Sub(a.brokeAt).Seconds())
	b.logger.Warn("request charged with a replica's death", zap.String("RequestID", string(a.RequestID)),
		zap.Uint64("Fingerprint", uint64(a.Fingerprint)), zap.String("Replica", string(a.death.Replica)),
		zap.String("Evidence", string(evidence)), zap.Int64("ConfirmedAfterMs", now.Sub(a.brokeAt).Milliseconds()),
		zap.Int("Deaths", len(c.deaths)), zap.Bool("Barred", c.suffices()))
}

// ChargesToShare returns the charges to send to peers, which are those of barred requests and those that
// have changed lately: those with the most deaths first, then those that expire last. There are 16 at
// most.
func (b *Tracker) ChargesToShare() []Charge {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var charges []Charge
	for f := range b.charges {
		if c := b.activeCharge(f); c != nil && (c.suffices() || now.Sub(c.changedAt) < shareTime) {
			charges = append(charges, c.export(f, now))
		}
	}
	slices.SortFunc(charges, func(x, y Charge) int {
		return cmp.Or(cmp.Compare(len(y.Deaths), len(x.Deaths)), cmp.Compare(y.Left, x.Left),
			cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	return charges[:min(len(charges), maxSharedCharges)]
}

// export returns the charge of a request in the form that entries send to each other.
func (c *charge) export(f Fingerprint, now time.Time) Charge {
	exported := Charge{Fingerprint: f, Round: c.round, Left: c.until.Sub(now)}
	for _, d := range c.deaths {
		exported.Deaths = append(exported.Deaths, ChargedDeath{
			Death: d.Death, SentAgo: now.Sub(d.sentAt), BrokeAgo: now.Sub(d.brokeAt),
		})
	}
	return exported
}

// Aged returns the charge as it is after some time.
func (c Charge) Aged(age time.Duration) Charge {
	c.Left -= age
	c.Deaths = slices.Clone(c.Deaths)
	for i := range c.Deaths {
		c.Deaths[i].SentAgo += age
		c.Deaths[i].BrokeAgo += age
	}
	return c
}

// OwnBarred returns the charges of the requests that are barred by a death that this entry has
// seen.
func (b *Tracker) OwnBarred() []Charge {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var barred []Charge
	for f := range b.charges {
		if c := b.activeCharge(f); c != nil && c.own {
			barred = append(barred, c.export(f, now))
		}
	}
	return barred
}

// Merge merges the charges that a peer has sent. Only the first 16 are taken.
func (b *Tracker) Merge(charges []Charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, other := range charges[:min(len(charges), maxSharedCharges)] {
		left := min(max(other.Left, 0), chargeDuration)
		c := b.activeCharge(other.Fingerprint)
		if c == nil {
			c = b.insertCharge(other.Fingerprint)
			c.round, c.until, c.changedAt = other.Round, now.Add(left), now
		}
		if other.Round < c.round {
			continue
		}
		if other.Round > c.round {
			c.round, c.deaths, c.own, c.changedAt = other.Round, nil, false, now
		}
		before, barredBefore := len(c.deaths), c.suffices()
		for _, d := range other.Deaths[:min(len(other.Deaths), maxDeaths)] {
			if c.add(chargedDeath{Death: d.Death, sentAt: now.Add(-d.SentAgo), brokeAt: now.Add(-d.BrokeAgo)}) {
				c.changedAt = now
			}
		}
		b.clearIfServed(other.Fingerprint, c)
		if c.suffices() && !barredBefore {
			b.logger.Warn("request barred by what a peer reports", zap.Uint64("Fingerprint", uint64(other.Fingerprint)),
				zap.Int("Deaths", len(c.deaths)), zap.Int("OwnDeaths", before))
		}
		if until := now.Add(left); until.After(c.until) {
			c.until = until
		}
	}
}

// activeCharge returns the charge of a request, or nil if there is none. It deletes a
// charge that has expired.
func (b *Tracker) activeCharge(f Fingerprint) *charge {
	c := b.charges[f]
	if c == nil {
		return nil
	}
	if !b.clock.Now().Before(c.until) {
		delete(b.charges, f)
		return nil
	}
	return c
}

// insertCharge adds a charge. If there are maxCharges already, it replaces the one that
// expires first.
func (b *Tracker) insertCharge(f Fingerprint) *charge {
	if len(b.charges) >= maxCharges {
		var earliest Fingerprint
		var until time.Time
		for other, c := range b.charges {
			if until.IsZero() || c.until.Before(until) {
				earliest, until = other, c.until
			}
		}
		delete(b.charges, earliest)
	}
	c := &charge{until: b.clock.Now().Add(chargeDuration)}
	b.charges[f] = c
	return c
}
