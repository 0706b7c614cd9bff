// Package limit enforces the rate limits of client accounts across all entries, and
// orders waiting requests by priority and by the weights of their accounts. An entry is a
// process of the load balancer that accepts requests from clients.
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
	// PublishInterval is the time between two calls of Publish.
	PublishInterval = 2 * time.Second
	// entryTimeout is how long an entry may send no digest before it counts as stopped.
	entryTimeout = 10 * time.Second
	// zoneTimeout is how long another zone may send no summary before it counts as gone.
	// It is longer because zones of other regions are asked every 10 s only.
	zoneTimeout = 30 * time.Second
	// idleTimeout is the time after its last request at which an account is removed.
	idleTimeout = time.Minute
	// burstTime is the time for which unused rate accumulates.
	burstTime = time.Second
	// minBurst is the smallest burst, in requests or tokens. An entry that gets few
	// requests of an account with a low limit needs it to use its whole rate, since
	// these requests arrive at uneven intervals.
	minBurst = 3
	// minShare is the fraction of an even share of the limit that an entry may always use.
	minShare = 0.02
)

// Reason says which limit refused a request.
type Reason string

// The reasons of a Decision.
const (
	WithinLimits         Reason = "WithinLimits"
	RequestLimitExceeded Reason = "RequestsPerSecond"
	TokenLimitExceeded   Reason = "TokensPerSecond"
)

// Decision says whether a request is admitted.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is the time until the account is below the limit again, at most a
	// minute. It is 0 for an admitted request.
	RetryAfter time.Duration
}

// Limiter enforces one entry's part of the rate limits of client accounts. It divides
// each limit among the entries by their demand. It is safe for concurrent use.
type Limiter struct {
	clock    clockwork.Clock
	self     track.InstanceID
	gossip   track.Gossip
	logger   *zap.Logger
	refusals *metrics.Counter

	mu sync.Mutex
	// accounts maps the hash of an account's name to its token buckets.
	accounts map[uint64]*accountBuckets
	// published is the demand in the latest digest of this entry.
	published []accountDemand
	// entryReports holds the latest digests of the other entries of the own zone.
	entryReports map[track.InstanceID]*demandReport
	// zoneReports holds the latest summaries of the other zones.
	zoneReports map[track.AvailabilityZone]*demandReport
}

// accountBuckets holds the token buckets of one client account at this entry.
type accountBuckets struct {
	requests    bucket
	tokens      bucket
	lastRequest time.Time
}

// New returns a Limiter that exchanges the demand of accounts with other entries over
// gossip.
func New(
	clock clockwork.Clock, self track.InstanceID, gossip track.Gossip, logger *zap.Logger, set *metrics.Set,
) *Limiter {
	l := &Limiter{
		clock: clock, self: self, gossip: gossip, logger: logger,
		refusals:     set.GetOrCreateCounter("filberttrack_limit_refused_total"),
		accounts:     make(map[uint64]*accountBuckets),
		entryReports: make(map[track.InstanceID]*demandReport),
		zoneReports:  make(map[track.AvailabilityZone]*demandReport),
	}
	gossip.Subscribe(track.TopicUsage, l.receive)
	gossip.Summarize(track.TopicUsage, l.zoneSummary)
	return l
}

// Admit admits or refuses a request of an account. An admitted request is charged to the
// account, together with an estimate of the tokens that it will generate.
func (l *Limiter) Admit(client track.ClientAccount, tokens int) Decision {
	if client.RequestsPerSecond <= 0 && client.TokensPerSecond <= 0 {
		return Decision{Admitted: true, Reason: WithinLimits}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	account := l.bucketsOf(client, now)
	account.requests.addDemand(1, now)
	account.tokens.addDemand(float64(tokens), now)
	if wait := account.requests.timeUntil(1); wait > 0 {
		l.refusals.Inc()
		return Decision{Reason: RequestLimitExceeded, RetryAfter: wait}
	}
	if wait := account.tokens.timeUntil(0); wait > 0 {
		l.refusals.Inc()
		return Decision{Reason: TokenLimitExceeded, RetryAfter: wait}
	}
	account.requests.charge(1)
	account.tokens.charge(float64(tokens))
	return Decision{Admitted: true, Reason: WithinLimits}
}

// AdjustTokens replaces the token estimate of an admitted request with the number of tokens
// that were generated.
func (l *Limiter) AdjustTokens(client track.ClientAccount, estimated, actual int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if account, ok := l.accounts[xxhash.Sum64String(client.Name)]; ok {
		account.tokens.charge(float64(actual - estimated))
	}
}

// bucketsOf returns the buckets of an account with its current limits. The buckets of a
// new account start with an even share of the limits.
func (l *Limiter) bucketsOf(client track.ClientAccount, now time.Time) *accountBuckets {
	key := xxhash.Sum64String(client.Name)
	account, ok := l.accounts[key]
	if !ok {
		entries := float64(l.liveEntries(now))
		account = &accountBuckets{
			requests: newBucket(client.RequestsPerSecond/entries, now),
			tokens:   newBucket(client.TokensPerSecond/entries, now),
		}
		l.accounts[key] = account
	}
	account.lastRequest = now
	account.requests.limit = client.RequestsPerSecond
	account.tokens.limit = client.TokensPerSecond
	return account
}

// liveEntries returns the number of entries in all zones that reported within their
// timeout, including this one.
func (l *Limiter) liveEntries(now time.Time) int {
	n := l.liveZoneEntries(now)
	for zone, report := range l.zoneReports {
		if now.Sub(report.received) >= zoneTimeout {
			delete(l.zoneReports, zone)
			continue
		}
		n += report.entries
	}
	return n
}

// liveZoneEntries returns the number of entries in the own zone that reported within
// their timeout, including this one.
func (l *Limiter) liveZoneEntries(now time.Time) int {
	for id, report := range l.entryReports {
		if now.Sub(report.received) >= entryTimeout {
			delete(l.entryReports, id)
		}
	}
	return 1 + len(l.entryReports)
}

// demandWindow is the time constant of the exponential average of the demand.
const demandWindow = 2 * time.Second

// bucket is the token bucket of one limit of an account at this entry. It also averages
// the demand. Its unit is requests or generated tokens.
type bucket struct {
	// limit is the rate per second across all entries; 0 sets no limit.
	limit float64
	// rate is this entry's part of the limit, per second.
	rate float64
	// balance is what may be admitted now. It is negative after a charge that exceeds it,
	// such as for more tokens than were estimated.
	balance float64
	// demand is the average per second of what was requested here, admitted or not.
	demand  float64
	updated time.Time
}

func newBucket(rate float64, now time.Time) bucket {
	return bucket{rate: rate, updated: now, balance: max(1, rate*burstTime.Seconds())}
}

// capacity returns the highest balance that may accumulate.
func (b *bucket) capacity() float64 {
	return max(minBurst, b.rate*burstTime.Seconds())
}

// advance refills the balance and decays the demand for the time since the last update.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.balance = min(b.balance+elapsed*b.rate, b.capacity())
	b.demand *= math.Exp(-elapsed / demandWindow.Seconds())
	b.updated = now
}

// addDemand counts demand, whether it is admitted or not.
func (b *bucket) addDemand(amount float64, now time.Time) {
	b.advance(now)
	b.demand += amount / demandWindow.Seconds()
}

// timeUntil returns the time until the balance reaches the amount, at most maxRetryAfter.
func (b *bucket) timeUntil(amount float64) time.Duration {
	if b.limit <= 0 || b.balance >= amount {
		return 0
	}
	seconds := (amount - b.balance) / max(b.rate, math.SmallestNonzeroFloat32)
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// maxRetryAfter is the longest delay that a refused caller is told to wait.
const maxRetryAfter = time.Minute

// charge subtracts an amount from the balance; a negative amount is a refund.
func (b *bucket) charge(amount float64) {
	b.balance = min(b.balance-amount, b.capacity())
}

// updateRate sets this entry's part of the limit from its own demand and that of the
// other entries. If the total demand exceeds the limit, the limit is divided in proportion
// to demand. Otherwise each entry gets its demand and an even part of what is left.
func (b *bucket) updateRate(remoteDemand float64, entries int, now time.Time) {
	b.advance(now)
	evenShare := b.limit / float64(entries)
	totalDemand := b.demand + remoteDemand
	if totalDemand > b.limit {
		b.rate = b.limit * b.demand / totalDemand
	} else {
		b.rate = b.demand + (b.limit-totalDemand)/float64(entries)
	}
	b.rate = max(b.rate, minShare*evenShare)
}
