package limit

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
)

const (
	// MaxDigestAccounts is the largest number of accounts in one digest or summary.
	MaxDigestAccounts = 64
	// minReportedShare is the fraction of an even share of the limit below which demand
	// isn't reported.
	minReportedShare = 0.05
)

// accountDemand is the demand of one account, as sent to other entries. Its fields are
// encoded in this order.
type accountDemand struct {
	// Account is the hash of the account's name.
	Account uint64
	// Requests and Tokens are the demand per second.
	Requests float32
	Tokens   float32
}

var accountDemandSize = binary.Size(accountDemand{})

// demandReport is the latest demand that another entry or another zone reported.
type demandReport struct {
	received time.Time
	demands  []accountDemand
	// entries is the number of entries in the zone, or 1 for the report of an entry.
	entries int
}

// maxZoneEntries is the largest number of entries accepted in the summary of a zone.
const maxZoneEntries = 1000

// zoneSummary encodes the demand of the own zone for the entries of other zones: the
// number of entries, then an accountDemand for each account.
func (l *Limiter) zoneSummary() []byte {
	l.mu.Lock()
	totals := make(map[uint64]accountDemand)
	addDemands(totals, l.published)
	for _, report := range l.entryReports {
		addDemands(totals, report.demands)
	}
	entries := l.liveZoneEntries(l.clock.Now())
	l.mu.Unlock()
	demands := slices.SortedFunc(maps.Values(totals), func(a, b accountDemand) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Account, b.Account))
	})
	data := binary.LittleEndian.AppendUint32(nil, uint32(entries))
	data, err := binary.Append(data, binary.LittleEndian, demands[:min(len(demands), MaxDigestAccounts)])
	if err != nil {
		l.logger.Error("failed to encode the usage summary", zap.Error(err))
		return nil
	}
	return data
}

// addDemands adds the demand of each account to its total.
func addDemands(totals map[uint64]accountDemand, demands []accountDemand) {
	for _, demand := range demands {
		total := totals[demand.Account]
		total.Account = demand.Account
		total.Requests += demand.Requests
		total.Tokens += demand.Tokens
		totals[demand.Account] = total
	}
}

// Publish recalculates this entry's part of each limit and sends its demand to the other
// entries. Callers call it once per PublishInterval.
func (l *Limiter) Publish() {
	data, err := binary.Append(nil, binary.LittleEndian, l.updateRates())
	if err != nil {
		l.logger.Error("failed to encode the usage digest", zap.Error(err))
		return
	}
	l.gossip.Publish(track.Notice{Topic: track.TopicUsage, From: l.self, Data: data})
}

// updateRates removes idle accounts, sets the rates of the others, and returns the demand
// to report, which is that of the accounts nearest to their limit.
func (l *Limiter) updateRates() []accountDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	entries := l.liveEntries(now)
	remote := l.remoteDemand()
	var demands []accountDemand
	utilization := make(map[uint64]float64)
	for key, account := range l.accounts {
		if now.Sub(account.lastRequest) >= idleTimeout {
			delete(l.accounts, key)
			continue
		}
		other := remote[key]
		account.requests.updateRate(float64(other.Requests), entries, now)
		account.tokens.updateRate(float64(other.Tokens), entries, now)
		highest := max(account.requests.utilization(), account.tokens.utilization())
		if highest*float64(entries) >= minReportedShare {
			utilization[key] = highest
			demands = append(demands, accountDemand{
				Account: key, Requests: float32(account.requests.demand), Tokens: float32(account.tokens.demand),
			})
		}
	}
	slices.SortFunc(demands, func(a, b accountDemand) int {
		return cmp.Or(cmp.Compare(utilization[b.Account], utilization[a.Account]), cmp.Compare(a.Account, b.Account))
	})
	l.published = demands[:min(len(demands), MaxDigestAccounts)]
	return l.published
}

// utilization returns the demand at this entry as a fraction of the limit across all
// entries.
func (b *bucket) utilization() float64 {
	if b.limit <= 0 {
		return 0
	}
	return b.demand / b.limit
}

// remoteDemand returns the total demand at the other entries, by account.
func (l *Limiter) remoteDemand() map[uint64]accountDemand {
	totals := make(map[uint64]accountDemand)
	for _, report := range l.entryReports {
		addDemands(totals, report.demands)
	}
	for _, report := range l.zoneReports {
		addDemands(totals, report.demands)
	}
	return totals
}

// summaryHeaderBytes is the length of the number of entries at the start of a summary.
const summaryHeaderBytes = 4

// receiveSummary stores the summary of another zone.
func (l *Limiter) receiveSummary(notice track.Notice) {
	if len(notice.Data) < summaryHeaderBytes {
		l.logger.Warn("ignored a malformed usage summary", zap.String("from", string(notice.From)))
		return
	}
	entries := binary.LittleEndian.Uint32(notice.Data)
	demands, err := decodeDemands(notice.Data[summaryHeaderBytes:])
	if err != nil || entries > maxZoneEntries {
		l.logger.Warn("ignored a malformed usage summary", zap.String("from", string(notice.From)), zap.Error(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zoneReports[notice.Zone] = &demandReport{received: l.clock.Now(), demands: demands, entries: int(entries)}
}

// receive stores the digest of another entry or the summary of another zone.
func (l *Limiter) receive(notice track.Notice) {
	if notice.Zone != "" {
		l.receiveSummary(notice)
		return
	}
	demands, err := decodeDemands(notice.Data)
	if err != nil {
		l.logger.Warn("ignored a malformed usage digest", zap.String("from", string(notice.From)), zap.Error(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if notice.From != l.self {
		l.entryReports[notice.From] = &demandReport{received: l.clock.Now(), demands: demands, entries: 1}
	}
}

// decodeDemands decodes the demand in a digest or summary. It fails with an *Error of kind
// Malformed if the length is wrong or a rate is out of range.
func decodeDemands(data []byte) ([]accountDemand, error) {
	const op = "decode usage digest"
	if len(data)%accountDemandSize != 0 || len(data) > MaxDigestAccounts*accountDemandSize {
		return nil, track.Fail(op, Malformed, nil)
	}
	demands := make([]accountDemand, len(data)/accountDemandSize)
	if _, err := binary.Decode(data, binary.LittleEndian, demands); err != nil {
		return nil, track.Fail(op, Malformed, err)
	}
	for _, demand := range demands {
		if !validRate(demand.Requests) || !validRate(demand.Tokens) {
			return nil, track.Fail(op, Malformed, nil)
		}
	}
	return demands, nil
}

// validRate reports whether a rate per second is a number from 0 to maxRate.
func validRate(rate float32) bool {
	const maxRate = 1e9
	return !math.IsNaN(float64(rate)) && rate >= 0 && rate <= maxRate
}
