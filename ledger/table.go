package ledger

import (
	"container/list"
	"time"

	"filberttrack.example/track"
)

// table holds either the keyed attempts or the others. It forgets attempts in the order
// in which they ended.
type table struct {
	retention   time.Duration
	maxAttempts int
	attempts    map[track.AttemptID]*Attempt
	// ended holds the attempts that are barred or done, in the order in which they ended.
	ended *list.List
	// maxForgottenStamp is the highest stamp of a forgotten attempt; -1 if none was
	// forgotten. An attempt that is not in the table may have been forgotten unless its
	// stamp is higher.
	maxForgottenStamp track.Stamp
}

func newTable(retention time.Duration, maxAttempts int) *table {
	return &table{
		retention:         retention,
		maxAttempts:       maxAttempts,
		attempts:          map[track.AttemptID]*Attempt{},
		ended:             list.New(),
		maxForgottenStamp: -1,
	}
}

// end records that an attempt was barred or is done.
func (t *table) end(a *Attempt, now track.Stamp) {
	a.endedAt = now
	t.ended.PushBack(a)
}

// isOldestExpired reports whether the attempt that ended first is to be forgotten.
func (t *table) isOldestExpired(now track.Stamp) bool {
	oldest := t.ended.Front()
	if oldest == nil {
		return false
	}
	return time.Duration(now-oldest.Value.(*Attempt).endedAt) > t.retention
}

// removeOldest forgets the attempt that ended first and returns it.
func (t *table) removeOldest() *Attempt {
	a := t.ended.Remove(t.ended.Front()).(*Attempt)
	delete(t.attempts, a.ref.ID)
	t.maxForgottenStamp = max(t.maxForgottenStamp, a.ref.Stamp)
	return a
}
