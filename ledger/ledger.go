// Package ledger keeps what an agent knows of each attempt: barred, started or
// done, and the answers of keyed attempts. Its memory is bounded; where it has
// forgotten, it says so.
package ledger

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// Settings bounds a ledger in time and memory.
type Settings struct {
	// DispatchWindow is the greatest age of an attempt that may still start.
	DispatchWindow time.Duration
	// Memory is how long an attempt without a key is remembered after its end.
	Memory time.Duration
	// KeyMemory is how long a keyed attempt is remembered after its end.
	KeyMemory time.Duration
	// MaxAttempts bounds the attempts without a key.
	MaxAttempts int
	// MaxKeyed bounds the keyed attempts.
	MaxKeyed int
	// MaxAnswerBytes bounds one stored answer.
	MaxAnswerBytes int
	// MaxStoredBytes bounds all stored answers together.
	MaxStoredBytes int
}

// Defaults returns the settings of an agent that names none.
func Defaults() Settings {
	return Settings{
		DispatchWindow: 30 * time.Second,
		Memory:         2 * time.Minute,
		KeyMemory:      24 * time.Hour,
		MaxAttempts:    20_000,
		MaxKeyed:       100_000,
		MaxAnswerBytes: 256 << 10,
		MaxStoredBytes: 64 << 20,
	}
}

// workKey is a caller's name for a piece of work.
type workKey struct {
	account, service, key string
}

// Verdict is the answer to a dispatch.
type Verdict struct {
	// Attempt is set if the attempt is to start now.
	Attempt *Attempt
	// Refusal and Outcome are set otherwise. The outcome is NotRun only if no
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
	started     time.Time

	mu      sync.Mutex
	plain   *table
	keyed   *table
	owners  map[workKey]*Attempt
	answers shelf
}

// New returns an empty ledger for a new incarnation of the agent.
func New(
	agent track.InstanceID, incarnation track.Incarnation, clock clockwork.Clock, settings Settings,
) *Ledger {
	return &Ledger{
		agent:       agent,
		incarnation: incarnation,
		clock:       clock,
		settings:    settings,
		started:     clock.Now(),
		plain:       newTable(settings.Memory, settings.MaxAttempts),
		keyed:       newTable(settings.KeyMemory, settings.MaxKeyed),
		owners:      map[workKey]*Attempt{},
		answers:     shelf{limit: settings.MaxStoredBytes},
	}
}

// Stamp returns the agent's time, for its reports.
func (l *Ledger) Stamp() track.Stamp {
	return track.Stamp(l.clock.Since(l.started))
}

// Admit decides on a dispatch. A refusal that the agent found for reasons of its
// own is passed in; the attempt is then barred, so that a copy of the dispatch
// that arrives in better times does not start.
func (l *Ledger) Admit(d track.Dispatch, refusal track.Refusal) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.owns(d.Ref()) {
		return Verdict{Refusal: track.RefusedStale}
	}
	now := l.Stamp()
	t := l.tableOf(d.Claim != nil)
	l.expire(now)
	if known, ok := t.attempts[d.ID]; ok {
		return known.refuse()
	}
	if d.Stamp <= t.floor || d.Stamp > now {
		return Verdict{Refusal: track.RefusedStale}
	}
	if l.tooOld(d.Stamp, now) {
		return Verdict{Refusal: track.RefusedStale, Outcome: track.NotRun}
	}
	if d.Claim != nil && l.owners[ownerKey(d.Claim)] != nil {
		return Verdict{Refusal: track.RefusedDuplicate}
	}
	if !l.makeRoom(t) {
		return Verdict{Refusal: track.RefusedFull}
	}
	attempt := &Attempt{ledger: l, ref: d.Ref(), state: track.AttemptStarted, done: make(chan struct{})}
	t.attempts[d.ID] = attempt
	if refusal != "" {
		l.end(attempt, track.AttemptBarred)
		return Verdict{Refusal: refusal, Outcome: track.NotRun}
	}
	if d.Claim != nil {
		attempt.key = ownerKey(d.Claim)
		l.owners[attempt.key] = attempt
	}
	return Verdict{Attempt: attempt}
}

// Bar makes sure that an attempt which has not started never will, and returns
// the state that it found.
func (l *Ledger) Bar(ref track.AttemptRef) track.AttemptState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.owns(ref) {
		return track.AttemptForgotten
	}
	now := l.Stamp()
	t := l.tableOf(ref.Keyed)
	l.expire(now)
	if known, ok := t.attempts[ref.ID]; ok {
		return known.state
	}
	if ref.Stamp <= t.floor || ref.Stamp > now {
		return track.AttemptForgotten
	}
	if l.tooOld(ref.Stamp, now) {
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
	return len(l.plain.attempts) + len(l.keyed.attempts)
}

// owns reports whether the attempt was formed for this incarnation of the agent.
func (l *Ledger) owns(ref track.AttemptRef) bool {
	return ref.Agent == l.agent && ref.Incarnation == l.incarnation
}

func (l *Ledger) tableOf(keyed bool) *table {
	if keyed {
		return l.keyed
	}
	return l.plain
}

func (l *Ledger) tooOld(stamp, now track.Stamp) bool {
	return time.Duration(now-stamp) > l.settings.DispatchWindow
}

// expire forgets the attempts that ended long enough ago.
func (l *Ledger) expire(now track.Stamp) {
	for _, t := range []*table{l.plain, l.keyed} {
		for t.oldestExpired(now) {
			l.forget(t)
		}
	}
}

// makeRoom reports whether the table has room for one more attempt, after
// forgetting the one that ended first if need be.
func (l *Ledger) makeRoom(t *table) bool {
	if len(t.attempts) < t.limit {
		return true
	}
	if t.ended.Len() == 0 {
		return false
	}
	l.forget(t)
	return true
}

func (l *Ledger) forget(t *table) {
	attempt := t.forgetOldest()
	l.answers.remove(attempt)
	if l.owners[attempt.key] == attempt {
		delete(l.owners, attempt.key)
	}
}

func (l *Ledger) end(a *Attempt, state track.AttemptState) {
	a.state = state
	l.tableOf(a.ref.Keyed).end(a, l.Stamp())
	close(a.done)
}

func ownerKey(c *track.Claim) workKey {
	return workKey{account: c.Account, service: c.Service, key: c.IdempotencyKey}
}
