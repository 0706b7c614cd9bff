// Package limit holds client accounts to their rates over all entries, and
// shares what is scarce among accounts by weight.
package limit

import (
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

const (
	// Interval is the time between two calls of Publish.
	Interval = 2 * time.Second
	// peerTimeout is the silence after which an entry counts as gone.
	peerTimeout = 10 * time.Second
	// zoneTimeout is the silence after which another zone counts as gone. Zones of
	// other regions are asked every 10 s.
	zoneTimeout = 30 * time.Second
	// idleTimeout is the time after which an account that sent nothing is forgotten.
	idleTimeout = time.Minute
	// burst is the time for which unused rate is saved up.
	burst = time.Second
	// minDepth is the least balance that may be saved up. An entry that gets few
	// requests of a slow account needs it to use its rate, as they come unevenly.
	minDepth = 3
	// leastShare is the part of an even share that an entry may always use.
	leastShare = 0.02
)

// Reason says which limit a request met.
type Reason string

// The reasons for a verdict.
const (
	Within       Reason = "WithinLimits"
	OverRequests Reason = "RequestsPerSecond"
	OverTokens   Reason = "TokensPerSecond"
)

// Verdict is the answer to a request.
type Verdict struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is when the account will be below its limit again.
	RetryAfter time.Duration
}

// Limiter holds the rates of one entry. Its methods may be called concurrently.
type Limiter struct {
	clock   clockwork.Clock
	self    track.InstanceID
	gossip  track.Gossip
	logger  *zap.Logger
	refused *metrics.Counter

	mu       sync.Mutex
	accounts map[uint64]*account
	// own holds the rows that were published last.
	own   []row
	peers map[track.InstanceID]*peer
	zones map[track.AvailabilityZone]*peer
}

// account is the use of one client account at this entry.
type account struct {
	requests meter
	tokens   meter
	seen     time.Time
}

// New returns a Limiter that learns the use at other entries over gossip.
func New(
	clock clockwork.Clock, self track.InstanceID, gossip track.Gossip, logger *zap.Logger, set *metrics.Set,
) *Limiter {
	l := &Limiter{
		clock: clock, self: self, gossip: gossip, logger: logger,
		refused:  set.GetOrCreateCounter("filberttrack_limit_refused_total"),
		accounts: make(map[uint64]*account),
		peers:    make(map[track.InstanceID]*peer),
		zones:    make(map[track.AvailabilityZone]*peer),
	}
	gossip.Subscribe(track.TopicUsage, l.receive)
	gossip.Summarize(track.TopicUsage, l.summary)
	return l
}

// Admit charges a request of an account, with an estimate of the tokens that it
// will generate, unless the account is over a limit.
func (l *Limiter) Admit(client track.ClientAccount, tokens int) Verdict {
	if client.RequestsPerSecond <= 0 && client.TokensPerSecond <= 0 {
		return Verdict{Admitted: true, Reason: Within}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	a := l.account(client, now)
	a.requests.offer(1, now)
	a.tokens.offer(float64(tokens), now)
	if wait := a.requests.wait(1); wait > 0 {
		l.refused.Inc()
		return Verdict{Reason: OverRequests, RetryAfter: wait}
	}
	if wait := a.tokens.wait(0); wait > 0 {
		l.refused.Inc()
		return Verdict{Reason: OverTokens, RetryAfter: wait}
	}
	a.requests.charge(1)
	a.tokens.charge(float64(tokens))
	return Verdict{Admitted: true, Reason: Within}
}

// Settle replaces the estimate of an admitted request by the tokens generated.
func (l *Limiter) Settle(client track.ClientAccount, estimated, actual int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[xxhash.Sum64String(client.Name)]; ok {
		a.tokens.charge(float64(actual - estimated))
	}
}

func (l *Limiter) account(client track.ClientAccount, now time.Time) *account {
	key := xxhash.Sum64String(client.Name)
	a, ok := l.accounts[key]
	if !ok {
		entries := float64(l.entries(now))
		a = &account{
			requests: newMeter(client.RequestsPerSecond/entries, now),
			tokens:   newMeter(client.TokensPerSecond/entries, now),
		}
		l.accounts[key] = a
	}
	a.seen = now
	a.requests.limit = client.RequestsPerSecond
	a.tokens.limit = client.TokensPerSecond
	return a
}

// entries returns the number of entries of all zones that were heard of lately,
// this one included.
func (l *Limiter) entries(now time.Time) int {
	n := l.zoneEntries(now)
	for zone, p := range l.zones {
		if now.Sub(p.seen) >= zoneTimeout {
			delete(l.zones, zone)
			continue
		}
		n += p.entries
	}
	return n
}

// zoneEntries returns the number of entries of the own zone that were heard of
// lately, this one included.
func (l *Limiter) zoneEntries(now time.Time) int {
	for id, p := range l.peers {
		if now.Sub(p.seen) >= peerTimeout {
			delete(l.peers, id)
		}
	}
	return 1 + len(l.peers)
}

// demandWindow is the time constant over which demand is averaged.
const demandWindow = 2 * time.Second

// meter measures the demand for one limit and holds the local rate.
type meter struct {
	// limit is the rate over all entries, a second; 0 sets none.
	limit float64
	// rate is this entry's part of it.
	rate    float64
	balance float64
	demand  float64
	updated time.Time
}

func newMeter(rate float64, now time.Time) meter {
	return meter{rate: rate, updated: now, balance: max(1, rate*burst.Seconds())}
}

// depth returns the balance that may be saved up.
func (m *meter) depth() float64 {
	return max(minDepth, m.rate*burst.Seconds())
}

func (m *meter) advance(now time.Time) {
	passed := now.Sub(m.updated).Seconds()
	if passed <= 0 {
		return
	}
	m.balance = min(m.balance+passed*m.rate, m.depth())
	m.demand *= math.Exp(-passed / demandWindow.Seconds())
	m.updated = now
}

// offer counts demand, whether it will be admitted or not.
func (m *meter) offer(n float64, now time.Time) {
	m.advance(now)
	m.demand += n / demandWindow.Seconds()
}

// wait returns how long it takes until the balance reaches the amount.
func (m *meter) wait(amount float64) time.Duration {
	if m.limit <= 0 || m.balance >= amount {
		return 0
	}
	seconds := (amount - m.balance) / max(m.rate, math.SmallestNonzeroFloat32)
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// maxRetryAfter bounds the delay that a caller is told.
const maxRetryAfter = time.Minute

func (m *meter) charge(n float64) {
	m.balance = min(m.balance-n, m.depth())
}

// share sets the local rate from the demand here and at the other entries: in
// proportion to demand if that exceeds the limit; else the spare is split evenly.
func (m *meter) share(elsewhere float64, entries int, now time.Time) {
	m.advance(now)
	even := m.limit / float64(entries)
	total := m.demand + elsewhere
	if total > m.limit {
		m.rate = m.limit * m.demand / total
	} else {
		m.rate = m.demand + (m.limit-total)/float64(entries)
	}
	m.rate = max(m.rate, leastShare*even)
}
