package limit

import (
	"cmp"
	"slices"
)

// lowestEvery is the number of pops of which one goes to the lowest level that
// waits, so that none starves.
const lowestEvery = 10

// Item is a request that waits in a Queue.
type Item[T any] struct {
	Subject T
	Account string
	// Weight is the account's share relative to others.
	Weight float64
	// Level goes before weight: higher first.
	Level int
	// Cost is the work that the request stands for.
	Cost float64

	start, finish float64
	order         uint64
}

// flow names the requests of one account at one level.
type flow struct {
	level   int
	account string
}

// Queue orders requests by level and, within a level, by weighted fair queueing
// over accounts (self-clocked: virtual time is the finish tag last served). It
// is not safe for concurrent use.
type Queue[T any] struct {
	items   []*Item[T]
	virtual map[int]float64
	last    map[flow]float64
	order   uint64
	pops    uint64
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{virtual: make(map[int]float64), last: make(map[flow]float64)}
}

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Push adds a request.
func (q *Queue[T]) Push(item *Item[T]) {
	f := flow{item.Level, item.Account}
	weight := item.Weight
	if weight <= 0 {
		weight = 1
	}
	item.start = max(q.virtual[item.Level], q.last[f])
	item.finish = item.start + item.Cost/weight
	q.last[f] = item.finish
	q.order++
	item.order = q.order
	at, _ := slices.BinarySearchFunc(q.items, item, before)
	q.items = slices.Insert(q.items, at, item)
}

func before[T any](a, b *Item[T]) int {
	return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(a.finish, b.finish), cmp.Compare(a.order, b.order))
}

// Pop removes the request that is next, or returns nil if there is none.
func (q *Queue[T]) Pop() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	q.pops++
	at := 0
	if q.pops%lowestEvery == 0 {
		at = q.lowest()
	}
	item := q.items[at]
	q.items = slices.Delete(q.items, at, at+1)
	q.virtual[item.Level] = max(q.virtual[item.Level], item.finish)
	q.forget(item)
	return item
}

// lowest returns the index of the first request of the lowest level.
func (q *Queue[T]) lowest() int {
	level := q.items[len(q.items)-1].Level
	return slices.IndexFunc(q.items, func(item *Item[T]) bool { return item.Level == level })
}

// Shed removes the requests for which late reports true, and returns them. Late
// is told how many requests go first at most; removed ones don't count.
func (q *Queue[T]) Shed(late func(item *Item[T], ahead int) bool) []*Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	var shed []*Item[T]
	kept := q.items[:0]
	lowest, rank := q.items[len(q.items)-1].Level, 0
	for _, item := range q.items {
		ahead := len(kept)
		if item.Level == lowest {
			ahead = min(ahead, lowestEvery*(rank+1))
		}
		if late(item, ahead) {
			shed = append(shed, item)
			continue
		}
		if item.Level == lowest {
			rank++
		}
		kept = append(kept, item)
	}
	clear(q.items[len(kept):])
	q.items = kept
	for _, item := range slices.Backward(shed) {
		q.refund(item)
	}
	return shed
}

// Remove takes out a request whose caller went away, and reports whether it
// still waited.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	at := slices.Index(q.items, item)
	if at < 0 {
		return false
	}
	q.items = slices.Delete(q.items, at, at+1)
	q.refund(item)
	return true
}

// refund gives an account back the share of a request that was never served.
func (q *Queue[T]) refund(item *Item[T]) {
	f := flow{item.Level, item.Account}
	if q.last[f] == item.finish {
		q.last[f] = item.start
	}
	q.forget(item)
}

// forget drops the tag of an account that virtual time has passed.
func (q *Queue[T]) forget(item *Item[T]) {
	f := flow{item.Level, item.Account}
	if q.last[f] <= q.virtual[item.Level] {
		delete(q.last, f)
	}
}
