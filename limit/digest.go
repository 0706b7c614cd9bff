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
	// MaxDigestRows bounds the accounts of one digest.
	MaxDigestRows = 64
	// leastReported is the part of an even share below which demand is left out.
	leastReported = 0.05
)

// row is the demand of one account at one entry, on its way to another.
type row struct {
	// Account is the hash of the account's name.
	Account uint64
	// Requests and Tokens are the demand a second.
	Requests float32
	Tokens   float32
}

var rowSize = binary.Size(row{})

// peer is what another entry, or another zone, last reported.
type peer struct {
	seen time.Time
	rows []row
	// entries is the number of entries of the zone; 1 for an entry.
	entries int
}

// maxZoneEntries bounds the entries that a summary of a zone may claim.
const maxZoneEntries = 1000

// summary returns the demand of the own zone, for the entries of other zones: the
// number of entries, then a row for each account.
func (l *Limiter) summary() []byte {
	l.mu.Lock()
	sums := make(map[uint64]row)
	addRows(sums, l.own)
	for _, p := range l.peers {
		addRows(sums, p.rows)
	}
	entries := l.zoneEntries(l.clock.Now())
	l.mu.Unlock()
	rows := slices.SortedFunc(maps.Values(sums), func(a, b row) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Account, b.Account))
	})
	data := binary.LittleEndian.AppendUint32(nil, uint32(entries))
	data, err := binary.Append(data, binary.LittleEndian, rows[:min(len(rows), MaxDigestRows)])
	if err != nil {
		l.logger.Error("encoding a usage summary", zap.Error(err))
		return nil
	}
	return data
}

// addRows adds the demand in the rows to the sums.
func addRows(sums map[uint64]row, rows []row) {
	for _, in := range rows {
		sum := sums[in.Account]
		sum.Account = in.Account
		sum.Requests += in.Requests
		sum.Tokens += in.Tokens
		sums[in.Account] = sum
	}
}

// Publish takes the shares of this entry anew and sends its demand to the other
// entries. The owner calls it at each Interval.
func (l *Limiter) Publish() {
	data, err := binary.Append(nil, binary.LittleEndian, l.refresh())
	if err != nil {
		l.logger.Error("encoding a usage digest", zap.Error(err))
		return
	}
	l.gossip.Publish(track.Notice{Topic: track.TopicUsage, From: l.self, Data: data})
}

// refresh forgets idle accounts, sets the local rates, and returns the rows to
// report: those nearest to their limit.
func (l *Limiter) refresh() []row {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	entries := l.entries(now)
	elsewhere := l.elsewhere()
	var rows []row
	pressure := make(map[uint64]float64)
	for key, a := range l.accounts {
		if now.Sub(a.seen) >= idleTimeout {
			delete(l.accounts, key)
			continue
		}
		other := elsewhere[key]
		a.requests.share(float64(other.Requests), entries, now)
		a.tokens.share(float64(other.Tokens), entries, now)
		p := max(a.requests.pressure(), a.tokens.pressure())
		if p*float64(entries) >= leastReported {
			pressure[key] = p
			rows = append(rows, row{
				Account: key, Requests: float32(a.requests.demand), Tokens: float32(a.tokens.demand),
			})
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(pressure[b.Account], pressure[a.Account]), cmp.Compare(a.Account, b.Account))
	})
	l.own = rows[:min(len(rows), MaxDigestRows)]
	return l.own
}

// pressure returns the local demand as a part of the whole limit.
func (m *meter) pressure() float64 {
	if m.limit <= 0 {
		return 0
	}
	return m.demand / m.limit
}

// elsewhere adds up the demand at the other entries.
func (l *Limiter) elsewhere() map[uint64]row {
	sums := make(map[uint64]row)
	for _, p := range l.peers {
		addRows(sums, p.rows)
	}
	for _, z := range l.zones {
		addRows(sums, z.rows)
	}
	return sums
}

// zoneHeaderBytes is the length of the number of entries before a summary's rows.
const zoneHeaderBytes = 4

// receiveZone takes the summary of another zone.
func (l *Limiter) receiveZone(d track.Notice) {
	if len(d.Data) < zoneHeaderBytes {
		l.logger.Warn("usage summary refused", zap.String("from", string(d.From)))
		return
	}
	entries := binary.LittleEndian.Uint32(d.Data)
	rows, err := decode(d.Data[zoneHeaderBytes:])
	if err != nil || entries > maxZoneEntries {
		l.logger.Warn("usage summary refused", zap.String("from", string(d.From)), zap.Error(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones[d.Zone] = &peer{seen: l.clock.Now(), rows: rows, entries: int(entries)}
}

func (l *Limiter) receive(d track.Notice) {
	if d.Zone != "" {
		l.receiveZone(d)
		return
	}
	rows, err := decode(d.Data)
	if err != nil {
		l.logger.Warn("usage digest refused", zap.String("from", string(d.From)), zap.Error(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.From != l.self {
		l.peers[d.From] = &peer{seen: l.clock.Now(), rows: rows, entries: 1}
	}
}

func decode(data []byte) ([]row, error) {
	const op = "decode usage digest"
	if len(data)%rowSize != 0 || len(data) > MaxDigestRows*rowSize {
		return nil, track.Fail(op, Malformed, nil)
	}
	rows := make([]row, len(data)/rowSize)
	if _, err := binary.Decode(data, binary.LittleEndian, rows); err != nil {
		return nil, track.Fail(op, Malformed, err)
	}
	for _, in := range rows {
		if !plausible(in.Requests) || !plausible(in.Tokens) {
			return nil, track.Fail(op, Malformed, nil)
		}
	}
	return rows, nil
}

// plausible reports whether a rate is a number from 0 to maxDemand.
func plausible(rate float32) bool {
	const maxDemand = 1e9
	return !math.IsNaN(float64(rate)) && rate >= 0 && rate <= maxDemand
}
