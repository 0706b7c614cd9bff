// Package signs keeps what replicas say of themselves in their answers: that they leave, that
// they want no requests for a while, or how many they take. An entry learns of a sign from an
// answer that it gets itself, or from a peer.
package signs

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
)

const (
	// memory is the time after which a replica that isn't heard of any more is forgotten. It
	// is longer than a replica takes to leave.
	memory = 10 * time.Minute
	// shareFor is the time for which a new sign is in all messages to peers.
	shareFor = 3 * time.Second
	// olderReports is the number of older limits in each message, for peers that have started
	// since or have missed earlier messages.
	olderReports = 16
	// maxReports is the most reports in a message, which must not exceed the size of a datagram.
	maxReports = 128
	// maxRest limits the time for which a replica may ask for rest.
	maxRest = 5 * time.Minute
	// minLimit is the least limit, in requests a second. At a limit of 0 no answer would show
	// when the replica takes requests again.
	minLimit = 0.2
	// maxLimit is the limit, in requests a second, from which on there is none: no replica gets
	// as many.
	maxLimit = 10000
	// minLimitChange is the relative change of a limit from which on it is logged and shared
	// again.
	minLimitChange = 0.02
)

// Headers names the headers of an answer in which a replica gives its signs.
type Headers struct {
	Leaving string
	// Limit holds a decimal number of requests a second.
	Limit string
}

// Decode returns the signs in an answer. It ignores values that aren't valid.
func (n Headers) Decode(status int, h http.Header) track.Signs {
	leaving := strings.TrimSpace(h.Get(n.Leaving))
	return track.Signs{
		Leaving: leaving != "" && leaving != "0",
		RestFor: decodeRest(status, h.Get("Retry-After")),
		Limit:   decodeLimit(h.Get(n.Limit)),
	}
}

// decodeRest returns the time for which a replica that answers with status 503 wants no requests;
// 0 if the answer has no delay in seconds.
func decodeRest(status int, value string) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second))
}

// decodeLimit returns a limit in requests a second; 0 if there is none.
func decodeLimit(value string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !(limit >= 0) || limit >= maxLimit {
		return 0
	}
	return max(limit, minLimit)
}

// Signs is what is known of one start of a replica.
type Signs struct {
	// StartID identifies the start.
	StartID int64
	// Leaving is set once the replica has said that it is about to leave.
	Leaving bool
	// RestUntil is the time until which the replica wants no requests from this entry.
	RestUntil time.Time
	// Limit is the number of requests a second that the replica takes from all entries
	// together; 0 if it takes any number.
	Limit float64
	// limitSeen is when the replica last answered with this limit, or with none.
	limitSeen time.Time
	// changed is when this entry learned of the latest change of Leaving or Limit.
	changed time.Time
}

// Book keeps the signs of all replicas that an entry knows. It is safe for concurrent use.
type Book struct {
	clock  clockwork.Clock
	logger *zap.Logger

	mu sync.Mutex
	// known outlasts the replicas' entries in the list, which may come back after an outage of
	// the log.
	known map[track.ReplicaID]*Signs
	// order holds the replicas of known. next is the position in it from which on signs are
	// shared next, since a message doesn't hold all.
	order []track.ReplicaID
	next  int
}

// New returns an empty Book.
func New(clock clockwork.Clock, logger *zap.Logger) *Book {
	return &Book{clock: clock, logger: logger, known: make(map[track.ReplicaID]*Signs)}
}

// Of returns what is known of the replica.
func (b *Book) Of(r track.Replica) Signs {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.known[r.ID]; s != nil && s.StartID == r.StartID {
		return *s
	}
	return Signs{StartID: r.StartID}
}

// Observe records the signs in an answer of the replica.
func (b *Book) Observe(r track.Replica, said track.Signs) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if said == (track.Signs{}) && b.known[r.ID] == nil {
		// Most replicas give no signs, and nothing is kept of them.
		return
	}
	s := b.forStart(r.ID, r.StartID)
	if s == nil {
		return
	}
	if said.Leaving {
		b.setLeaving(r.ID, s, "")
	}
	if until := now.Add(said.RestFor); said.RestFor > 0 && until.After(s.RestUntil) {
		s.RestUntil = until
		b.logger.Info("replica rests", zap.String("Replica", string(r.ID)), zap.Duration("For", said.RestFor))
	}
	b.setLimit(r.ID, s, said.Limit, now, "")
}

// Merge records what a peer reports.
func (b *Book) Merge(from track.InstanceID, reports []track.SignReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, report := range reports {
		b.mergeReport(from, report)
	}
}

func (b *Book) mergeReport(from track.InstanceID, report track.SignReport) {
	s := b.forStart(report.Replica, report.StartID)
	if s == nil {
		return
	}
	if report.Leaving {
		b.setLeaving(report.Replica, s, from)
	}
	if seen := b.clock.Now().Add(-max(report.Age, 0)); seen.After(s.limitSeen) {
		b.setLimit(report.Replica, s, report.Limit, seen, from)
	}
}

// forStart returns the signs of a start of a replica. It returns nil if a later start is known.
func (b *Book) forStart(id track.ReplicaID, startID int64) *Signs {
	s := b.known[id]
	switch {
	case s == nil:
		b.forgetOld()
		b.order = append(b.order, id)
	case s.StartID > startID:
		return nil
	case s.StartID == startID:
		return s
	}
	s = &Signs{StartID: startID}
	b.known[id] = s
	return s
}

// setLeaving records that a replica leaves, as it said itself or, if from isn't empty, as that
// peer reports.
func (b *Book) setLeaving(id track.ReplicaID, s *Signs, from track.InstanceID) {
	if s.Leaving {
		return
	}
	s.Leaving, s.changed = true, b.clock.Now()
	b.logger.Info("replica leaving", zap.String("Replica", string(id)), zap.String("Peer", string(from)))
}

// setLimit records a limit that the replica named at the given time, or that it named none; from is
// as for setLeaving.
func (b *Book) setLimit(id track.ReplicaID, s *Signs, limit float64, seen time.Time, from track.InstanceID) {
	s.limitSeen = seen
	change := limit - s.Limit
	if change == 0 {
		return
	}
	s.Limit = limit
	if old := limit - change; max(change, -change) <= minLimitChange*max(old, limit) {
		return
	}
	s.changed = b.clock.Now()
	b.logger.Info("replica limit", zap.String("Replica", string(id)), zap.Float64("Limit", limit),
		zap.String("Peer", string(from)), zap.Duration("Age", s.changed.Sub(seen)))
}

// forgetOld removes the replicas that have not been heard of for long.
func (b *Book) forgetOld() {
	now := b.clock.Now()
	kept := b.order[:0]
	for _, id := range b.order {
		s := b.known[id]
		if now.Sub(s.changed) > memory && now.Sub(s.limitSeen) > memory {
			delete(b.known, id)
			continue
		}
		kept = append(kept, id)
	}
	b.order = kept
}

// Share returns what to report to peers: what has changed a short time ago, and some of the older
// limits.
func (b *Book) Share() []track.SignReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var reports []track.SignReport
	older, first := 0, b.next
	for i := range b.order {
		position := (first + i) % len(b.order)
		if len(reports) == maxReports {
			b.next = position
			break
		}
		id := b.order[position]
		s := b.known[id]
		if now.Sub(s.changed) >= shareFor {
			if s.Limit == 0 || older == olderReports {
				continue
			}
			if older++; older == olderReports {
				b.next = (position + 1) % len(b.order)
			}
		}
		reports = append(reports, track.SignReport{
			Replica: id, StartID: s.StartID, Leaving: s.Leaving, Limit: s.Limit, Age: now.Sub(s.limitSeen),
		})
	}
	return reports
}

// AnyLimit reports whether a replica names a limit.
func (b *Book) AnyLimit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.known {
		if s.Limit > 0 {
			return true
		}
	}
	return false
}
