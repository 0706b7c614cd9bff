// Package ledger records the state of each attempt at an agent (barred, started or
// done) and stores the answers of keyed attempts, which are those that carry an
// idempotency key. It makes sure that a dispatch is started at most once. Its memory
// is bounded, and it reports when it no longer knows the state of an attempt.
package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// Settings limits the age, number and size of what a ledger holds.
type Settings struct {
	// MaxDispatchAge is the maximum age of an attempt that may still start.
	MaxDispatchAge time.Duration
	// Retention is the time for which an attempt without a key is remembered after its end.
	Retention time.Duration
	// KeyedRetention is the time for which a keyed attempt is remembered after its end.
	KeyedRetention time.Duration
	// MaxUnkeyedAttempts limits the number of attempts without a key.
	MaxUnkeyedAttempts int
	// MaxKeyedAttempts limits the number of keyed attempts.
	MaxKeyedAttempts int
	// MaxAnswerBytes limits the size of one stored answer, in bytes.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes limits the total size of all stored answers, in bytes.
	MaxTotalAnswerBytes int
}

// Defaults returns the default settings of an agent.
func Defaults() Settings {
	return Settings{
		MaxDispatchAge:      30 * time.Second,
		Retention:           2 * time.Minute,
		KeyedRetention:      24 * time.Hour,
		MaxUnkeyedAttempts:  20_000,
		MaxKeyedAttempts:    100_000,
		MaxAnswerBytes:      256 << 10,
		MaxTotalAnswerBytes: 64 << 20,
	}
}

// idempotencyKey identifies a non-idempotent call. The key alone is unique only within
// its account and service.
type idempotencyKey struct {
	account, service, key string
}

// AdmitResult says whether a dispatch may start.
type AdmitResult struct {
	// Attempt is set if the attempt must be started now.
	Attempt *Attempt
	// Refusal and Outcome are set if Attempt is nil. The outcome is NotRun only if no
	// copy of the dispatch was started and none ever will be.
	Refusal track.Refusal
	Outcome track.Outcome
}

// Ledger holds the attempts of one incarnation of an agent. It is safe for
// concurrent use.
type Ledger struct {
	agent       track.InstanceID
	incarnation track.Incarnation
	clock       clockwork.Clock
	settings    Settings
	startTime   time.Time

	mu      sync.Mutex
	unkeyed *table
	keyed   *table
	// attemptsByKey holds the keyed attempt that was started for each idempotency key.
	attemptsByKey map[idempotencyKey]*Attempt
	answers       answerStore
}

// New returns an empty ledger for a new incarnation of the agent.
func New(
	agent track.InstanceID, incarnation track.Incarnation, clock clockwork.Clock, settings Settings,
) *Ledger {
	return &Ledger{
		agent:         agent,
		incarnation:   incarnation,
		clock:         clock,
		settings:      settings,
		startTime:     clock.Now(),
		unkeyed:       newTable(settings.Retention, settings.MaxUnkeyedAttempts),
		keyed:         newTable(settings.KeyedRetention, settings.MaxKeyedAttempts),
		attemptsByKey: map[idempotencyKey]*Attempt{},
		answers:       answerStore{maxBytes: settings.MaxTotalAnswerBytes},
	}
}

// Stamp returns the current time of the agent, as it is used to judge the age of
// attempts. The agent reports it to the entries.
func (l *Ledger) Stamp() track.Stamp {
	return track.Stamp(l.clock.Since(l.startTime))
}

// Admit decides whether a dispatch may start. If the agent has its own reason to
// decline the dispatch, it passes it as refusal. The attempt is then barred, so that a
// copy of the dispatch doesn't start when the reason no longer holds.
func (l *Ledger) Admit(dispatch track.Dispatch, refusal track.Refusal) AdmitResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOwn(dispatch.Ref()) {
		return AdmitResult{Refusal: track.RefusedStale}
	}
	now := l.Stamp()
	t := l.tableFor(dispatch.Claim != nil)
	l.removeExpired(now)
	if known, ok := t.attempts[dispatch.ID]; ok {
		return known.refuseDuplicate()
	}
	if dispatch.Stamp <= t.maxForgottenStamp || dispatch.Stamp > now {
		return AdmitResult{Refusal: track.RefusedStale}
	}
	if l.isTooOld(dispatch.Stamp, now) {
		return AdmitResult{Refusal: track.RefusedStale, Outcome: track.NotRun}
	}
	if dispatch.Claim != nil && l.attemptsByKey[keyOf(dispatch.Claim)] != nil {
		return AdmitResult{Refusal: track.RefusedDuplicate}
	}
	if !l.makeRoom(t) {
		return AdmitResult{Refusal: track.RefusedFull}
	}
	attempt := &Attempt{ledger: l, ref: dispatch.Ref(), state: track.AttemptStarted, done: make(chan struct{})}
	t.attempts[dispatch.ID] = attempt
	if refusal != "" {
		l.end(attempt, track.AttemptBarred)
		return AdmitResult{Refusal: refusal, Outcome: track.NotRun}
	}
	if dispatch.Claim != nil {
		attempt.key = keyOf(dispatch.Claim)
		l.attemptsByKey[attempt.key] = attempt
	}
	return AdmitResult{Attempt: attempt}
}

// Bar makes sure that an attempt that has not started never will. It returns the state
// of an attempt that the ledger knows, and AttemptBarred for another that has never
// started and now never will. It returns AttemptForgotten if the ledger is full or can't
// tell whether the attempt was started.
func (l *Ledger) Bar(ref track.AttemptRef) track.AttemptState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOwn(ref) {
		return track.AttemptForgotten
	}
	now := l.Stamp()
	t := l.tableFor(ref.HasClaim)
	l.removeExpired(now)
	if known, ok := t.attempts[ref.ID]; ok {
		return known.state
	}
	if ref.Stamp <= t.maxForgottenStamp || ref.Stamp > now {
		return track.AttemptForgotten
	}
	if l.isTooOld(ref.Stamp, now) {
		return track.AttemptBarred
	}
	if !l.makeRoom(t) {
		return track.AttemptForgotten
	}
	attempt := &Attempt{ledger: l, ref: ref, done: make(chan struct{})}
	t.attempts[ref.ID] = attempt
	l.end(attempt, track.AttemptBarred)
	return track.AttemptBarred
}

// Len returns the number of attempts that the ledger remembers.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unkeyed.attempts) + len(l.keyed.attempts)
}

// isOwn reports whether the attempt was formed for this incarnation of this agent.
func (l *Ledger) isOwn(ref track.AttemptRef) bool {
	return ref.Agent == l.agent && ref.Incarnation == l.incarnation
}

// tableFor returns the table of the keyed attempts or that of the others.
func (l *Ledger) tableFor(keyed bool) *table {
	if keyed {
		return l.keyed
	}
	return l.unkeyed
}

func (l *Ledger) isTooOld(stamp, now track.Stamp) bool {
	return time.Duration(now-stamp) > l.settings.MaxDispatchAge
}

// removeExpired forgets the attempts that ended longer ago than they are remembered.
func (l *Ledger) removeExpired(now track.Stamp) {
	for _, t := range []*table{l.unkeyed, l.keyed} {
		for t.isOldestExpired(now) {
			l.removeOldest(t)
		}
	}
}

// makeRoom reports whether the table has room for one more attempt. If the table is
// full, it forgets the attempt that ended first; it reports false if none has ended.
func (l *Ledger) makeRoom(t *table) bool {
	if len(t.attempts) < t.maxAttempts {
		return true
	}
	if t.ended.Len() == 0 {
		return false
	}
	l.removeOldest(t)
	return true
}

// removeOldest forgets the attempt of the table that ended first, with its answer and
// key.
func (l *Ledger) removeOldest(t *table) {
	attempt := t.removeOldest()
	l.answers.remove(attempt)
	if l.attemptsByKey[attempt.key] == attempt {
		delete(l.attemptsByKey, attempt.key)
	}
}

// end records that an attempt was barred or is done, and wakes those that wait for it.
func (l *Ledger) end(a *Attempt, state track.AttemptState) {
	a.state = state
	l.tableFor(a.ref.HasClaim).end(a, l.Stamp())
	close(a.done)
}

func keyOf(claim *track.Claim) idempotencyKey {
	return idempotencyKey{account: claim.Account, service: claim.Service, key: claim.IdempotencyKey}
}
