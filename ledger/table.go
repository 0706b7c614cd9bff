package ledger

import (
	"container/list"
	"time"

	"filberttrack.example/track"
)

// table holds the attempts of one sort and forgets them in the order of their
// ends.
type table struct {
	memory   time.Duration
	limit    int
	attempts map[track.AttemptID]*Attempt
	// ended holds the attempts that are barred or done, oldest end first.
	ended *list.List
	// floor is the highest stamp of a forgotten attempt. Nothing is known of
	// an absent attempt whose stamp is not above it.
	floor track.Stamp
}

func newTable(memory time.Duration, limit int) *table {
	return &table{
		memory:   memory,
		limit:    limit,
		attempts: map[track.AttemptID]*Attempt{},
		ended:    list.New(),
		floor:    -1,
	}
}

func (t *table) end(a *Attempt, now track.Stamp) {
	a.endedAt = now
	t.ended.PushBack(a)
}

func (t *table) oldestExpired(now track.Stamp) bool {
	front := t.ended.Front()
	if front == nil {
		return false
	}
	return time.Duration(now-front.Value.(*Attempt).endedAt) > t.memory
}

func (t *table) forgetOldest() *Attempt {
	a := t.ended.Remove(t.ended.Front()).(*Attempt)
	delete(t.attempts, a.ref.ID)
	t.floor = max(t.floor, a.ref.Stamp)
	return a
}
