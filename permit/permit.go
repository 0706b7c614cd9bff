// Package permit divides the requests that a replica takes among the entries that send to it,
// without a message for each request and without a coordinator.
//
// The replica's limit numbers its permits: at a limit of two a second, permit n falls due n/2
// seconds after the epoch. Each permit has a place on the unit interval, and each entry owns a part
// of that interval, its Share. A permit belongs to the entry that owns its place. Successive
// permits step through the interval by the golden ratio, so that each entry gets its permits at
// nearly even distances whatever its share, and the sum over all entries is nearly even, too.
// Entries whose clocks differ get other permits, but no more of them.
package permit

import (
	"hash/fnv"
	"math"
	"time"

	"filberttrack.example/track"
)

// defaultKeep is the time for which a permit can be used, beside the time between two of them. A replica
// that was idle gets no more than the permits of that time at once.
const defaultKeep = time.Second

// goldenStep is the golden ratio as a part of the range of uint64.
const goldenStep = 0x9E3779B97F4A7C15

// Share is an entry's part of the permits: the places from From to From + Width on the unit
// interval. The shares of all entries cover it without overlaps.
type Share struct {
	From, Width float64
}

// owns reports whether the place belongs to the share.
func (s Share) owns(place float64) bool {
	return place >= s.From && place < s.From+s.Width
}

// Schedule hands out an entry's permits for one replica.
type Schedule struct {
	// offset is the place of permit 0, which differs between replicas, so that their permits
	// don't fall due to the same entry at once.
	offset uint64
	// limit is the number of permits a second of all entries; 0 if no permit is needed.
	limit float64
	// keep is the time for which a permit can be used.
	keep time.Duration
	// next is the first permit that has neither been used nor skipped.
	next int64
}

// New returns the schedule of a replica without a limit.
func New(replica track.ReplicaID) *Schedule {
	hash := fnv.New64a()
	hash.Write([]byte(replica))
	return &Schedule{offset: hash.Sum64(), keep: defaultKeep}
}

// SetLimit sets the number of permits a second. After a change, permits that fell due before can't be
// used any more.
func (s *Schedule) SetLimit(limit float64, now time.Time) {
	s.SetLimitAndKeep(limit, defaultKeep, now)
}

// SetLimitAndKeep is like SetLimit and also sets the time for which a permit can be used. In any one
// second, all entries together use at most the permits that fall due in it, limit x keep that were
// kept before, and two.
func (s *Schedule) SetLimitAndKeep(limit float64, keep time.Duration, now time.Time) {
	s.keep = keep
	if limit == s.limit {
		return
	}
	s.limit = limit
	if limit > 0 {
		s.next = s.due(now) + 1
	}
}

// Available reports whether the entry with the given share may send a request now.
func (s *Schedule) Available(share Share, now time.Time) bool {
	if s.limit == 0 {
		return true
	}
	latest := s.due(now)
	kept := int64(s.limit*s.keep.Seconds()) + 1
	if s.next > latest+kept {
		// The clock was set back.
		s.next = latest + 1
	}
	for s.next = max(s.next, latest-kept+1); s.next <= latest; s.next++ {
		if share.owns(s.place(s.next)) {
			return true
		}
	}
	return false
}

// Use uses the permit that Available has found.
func (s *Schedule) Use() {
	if s.limit > 0 {
		s.next++
	}
}

// due returns the latest permit that has fallen due.
func (s *Schedule) due(now time.Time) int64 {
	seconds := float64(now.Unix()) + float64(now.Nanosecond())/1e9
	return int64(math.Floor(seconds * s.limit))
}

// place returns the place of a permit on the unit interval.
func (s *Schedule) place(n int64) float64 {
	return float64((uint64(n)*goldenStep+s.offset)>>11) / (1 << 53)
}
