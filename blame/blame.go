// Package blame finds requests that crash the replicas that run them, and keeps
// them from reaching more. A broken connection proves nothing: a request is only
// charged with a replica's death once the list of replicas confirms it, and a run
// that comes to its end clears the request.
package blame

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

const (
	// maxDeaths is the number of replicas that a request may crash before it is
	// barred. Fewer could be bad luck on a day on which replicas crash by themselves.
	maxDeaths = 3
	// confirmTime is the time within which the list of replicas must show that a
	// replica has died, from the end of the attempt: replicas report once a second,
	// and an entry that lapses is dropped within three.
	confirmTime = 5 * time.Second
	// chargeTime is the time for which deaths are remembered, and so the time for
	// which a request is barred after the latest one.
	chargeTime = 10 * time.Minute
	// maxCharged and maxPending bound the requests and attempts remembered.
	maxCharged = 1024
	maxPending = 4096
	// maxTold bounds the charges told to peers in one note.
	maxTold = 16
)

// Fingerprint names what a request asks for, whoever asks.
type Fingerprint uint64

// Of returns the fingerprint of the parts of a request that decide how it runs.
func Of(parts ...[]byte) Fingerprint {
	hash := fnv.New64a()
	for _, part := range parts {
		// A hash never fails to write.
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	return Fingerprint(hash.Sum64())
}

// Death names one start of a replica that died.
type Death struct {
	Replica track.ReplicaID
	Born    int64
}

// Charge is what is held against a request, as entries tell each other.
type Charge struct {
	Fingerprint Fingerprint
	// Round rises with each time that the request was cleared; deaths of an earlier
	// round count no more.
	Round  uint32
	Deaths []Death
	// Left is the time until the charge is forgotten.
	Left time.Duration
}

// Book remembers which requests crashed replicas. It is safe for concurrent use.
type Book struct {
	clock  clockwork.Clock
	logger *zap.Logger

	mu      sync.Mutex
	charged map[Fingerprint]*charge
	pending []attempt
	// listed holds the start under which each replica is listed.
	listed map[track.ReplicaID]int64
}

type charge struct {
	round  uint32
	deaths []Death
	until  time.Time
}

// attempt is one that broke off and may have crashed its replica.
type attempt struct {
	fingerprint Fingerprint
	death       Death
	until       time.Time
}

// New returns a book without charges.
func New(clock clockwork.Clock, logger *zap.Logger) *Book {
	return &Book{clock: clock, logger: logger, charged: make(map[Fingerprint]*charge), listed: make(map[track.ReplicaID]int64)}
}

// Barred returns the time for which the request must not reach a replica; 0 if it
// may.
func (b *Book) Barred(f Fingerprint) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.live(f)
	if c == nil || len(c.deaths) < maxDeaths {
		return 0
	}
	return c.until.Sub(b.clock.Now())
}

// Broke notes that an attempt at the request broke off at a replica.
func (b *Book) Broke(f Fingerprint, replica track.Replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == maxPending {
		b.pending = slices.Delete(b.pending, 0, 1)
	}
	a := attempt{fingerprint: f, death: Death{Replica: replica.ID, Born: replica.Born}, until: b.clock.Now().Add(confirmTime)}
	if born, listed := b.listed[replica.ID]; !listed || born != replica.Born {
		b.convict(a)
		return
	}
	b.pending = append(b.pending, a)
}

// Served clears the request: it can run to its end.
func (b *Book) Served(f Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = slices.DeleteFunc(b.pending, func(a attempt) bool { return a.fingerprint == f })
	c := b.live(f)
	if c == nil || len(c.deaths) == 0 {
		return
	}
	b.logger.Info("crash charges dropped", zap.Uint64("Fingerprint", uint64(f)), zap.Int("Deaths", len(c.deaths)))
	c.round, c.deaths = c.round+1, nil
}

// Listed takes the replicas that the platform lists. Attempts that broke off at one
// that has left or started anew crashed it, as far as anybody can tell.
func (b *Book) Listed(replicas []track.Replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.listed)
	for _, r := range replicas {
		b.listed[r.ID] = r.Born
	}
	now := b.clock.Now()
	b.pending = slices.DeleteFunc(b.pending, func(a attempt) bool {
		if now.After(a.until) {
			return true
		}
		if born, listed := b.listed[a.death.Replica]; listed && born == a.death.Born {
			return false
		}
		b.convict(a)
		return true
	})
}

func (b *Book) convict(a attempt) {
	c := b.live(a.fingerprint)
	if c == nil {
		c = b.insert(a.fingerprint)
	}
	if slices.Contains(c.deaths, a.death) {
		return
	}
	if len(c.deaths) < maxDeaths {
		c.deaths = append(c.deaths, a.death)
	}
	c.until = b.clock.Now().Add(chargeTime)
	b.logger.Warn("request charged with a replica's death", zap.Uint64("Fingerprint", uint64(a.fingerprint)),
		zap.String("Replica", string(a.death.Replica)), zap.Int("Deaths", len(c.deaths)), zap.Bool("Barred", len(c.deaths) >= maxDeaths))
}

// Tell returns what peers should know, the gravest and the latest first.
func (b *Book) Tell() []Charge {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var told []Charge
	for f := range b.charged {
		if c := b.live(f); c != nil {
			told = append(told, Charge{Fingerprint: f, Round: c.round, Deaths: slices.Clone(c.deaths), Left: c.until.Sub(now)})
		}
	}
	slices.SortFunc(told, func(x, y Charge) int {
		return cmp.Or(cmp.Compare(len(y.Deaths), len(x.Deaths)), cmp.Compare(y.Left, x.Left), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	return told[:min(len(told), maxTold)]
}

// Merge takes what a peer tells.
func (b *Book) Merge(told []Charge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, other := range told[:min(len(told), maxTold)] {
		left := min(max(other.Left, 0), chargeTime)
		c := b.live(other.Fingerprint)
		if c == nil {
			c = b.insert(other.Fingerprint)
			c.round = other.Round
		}
		if other.Round < c.round {
			continue
		}
		if other.Round > c.round {
			c.round, c.deaths = other.Round, nil
		}
		for _, d := range other.Deaths {
			if len(c.deaths) < maxDeaths && !slices.Contains(c.deaths, d) {
				c.deaths = append(c.deaths, d)
			}
		}
		if until := now.Add(left); until.After(c.until) {
			c.until = until
		}
	}
}

// live returns the charge of a request, or nil if there is none or it is forgotten.
func (b *Book) live(f Fingerprint) *charge {
	c := b.charged[f]
	if c == nil {
		return nil
	}
	if !b.clock.Now().Before(c.until) {
		delete(b.charged, f)
		return nil
	}
	return c
}

// insert adds a charge, in place of the one that ends first if there are too many.
func (b *Book) insert(f Fingerprint) *charge {
	if len(b.charged) >= maxCharged {
		var first Fingerprint
		var until time.Time
		for other, c := range b.charged {
			if until.IsZero() || c.until.Before(until) {
				first, until = other, c.until
			}
		}
		delete(b.charged, first)
	}
	c := &charge{until: b.clock.Now().Add(chargeTime)}
	b.charged[f] = c
	return c
}
