package limit

import (
	"cmp"
	"slices"
)

// lowestLevelInterval makes one in this many pops take a request of the lowest waiting
// level, so that no level starves.
const lowestLevelInterval = 10

// Item is a request that waits in a Queue.
type Item[T any] struct {
	// Value is the caller's value for the request.
	Value T
	// Account is the name of the client account.
	Account string
	// Weight is the account's share relative to that of others; 0 or less counts as 1.
	Weight float64
	// Priority is the level of the request. Requests of a higher level are served first,
	// whatever their weights, except in one pop of lowestLevelInterval.
	Priority int
	// Cost is the work of the request, in any unit that all requests share.
	Cost float64

	tag      Tag
	sequence uint64
}

func (i *Item[T]) flow() Flow {
	return Flow{Level: i.Priority, Account: i.Account}
}

// Queue orders requests by level and, within a level, by weighted fair queueing across
// accounts. The queueing is self-clocked: virtual time is the finish tag of the request
// served last. It is not safe for concurrent use.
type Queue[T any] struct {
	items    []*Item[T]
	fair     Fair
	sequence uint64
	pops     uint64
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Push adds a request.
func (q *Queue[T]) Push(item *Item[T]) {
	weight := item.Weight
	if weight <= 0 {
		weight = 1
	}
	item.tag = q.fair.Tag(item.flow(), item.Cost/weight)
	q.sequence++
	item.sequence = q.sequence
	index, _ := slices.BinarySearchFunc(q.items, item, compareItems)
	q.items = slices.Insert(q.items, index, item)
}

// compareItems orders by level, highest first, then by finish tag, then by arrival.
func compareItems[T any](a, b *Item[T]) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.tag.Finish, b.tag.Finish), cmp.Compare(a.sequence, b.sequence),
	)
}

// Pop removes and returns the request to serve next, or returns nil if the queue is empty.
func (q *Queue[T]) Pop() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	q.pops++
	index := 0
	if q.pops%lowestLevelInterval == 0 {
		index = q.firstOfLowestLevel()
	}
	item := q.items[index]
	q.items = slices.Delete(q.items, index, index+1)
	q.fair.Serve(item.flow(), item.tag.Finish)
	return item
}

// firstOfLowestLevel returns the index of the first request of the lowest level.
func (q *Queue[T]) firstOfLowestLevel() int {
	level := q.items[len(q.items)-1].Priority
	return slices.IndexFunc(q.items, func(item *Item[T]) bool { return item.Priority == level })
}

// Shed removes and returns the requests for which late reports true. Late gets the largest
// number of requests that are served before the item; those already shed don't count.
func (q *Queue[T]) Shed(late func(item *Item[T], ahead int) bool) []*Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	var shed []*Item[T]
	kept := q.items[:0]
	lowestLevel, keptLowest := q.items[len(q.items)-1].Priority, 0
	for _, item := range q.items {
		ahead := len(kept)
		if item.Priority == lowestLevel {
			ahead = min(ahead, lowestLevelInterval*(keptLowest+1))
		}
		if late(item, ahead) {
			shed = append(shed, item)
			continue
		}
		if item.Priority == lowestLevel {
			keptLowest++
		}
		kept = append(kept, item)
	}
	clear(q.items[len(kept):])
	q.items = kept
	for _, item := range slices.Backward(shed) {
		q.fair.Refund(item.flow(), item.tag)
	}
	return shed
}

// Remove removes a request whose caller went away. It reports whether the request was
// still waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	index := slices.Index(q.items, item)
	if index < 0 {
		return false
	}
	q.items = slices.Delete(q.items, index, index+1)
	q.fair.Refund(item.flow(), item.tag)
	return true
}
