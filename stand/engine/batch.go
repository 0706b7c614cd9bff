package engine

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

var errQueueFull = errors.New("queue is full")

// batch gives out the places of a continuous batch by priority, then in order of
// arrival.
type batch struct {
	capacity int
	limit    int

	mu      sync.Mutex
	running int
	arrived uint64
	waiting waiters
}

func newBatch(capacity, limit int) *batch {
	return &batch{capacity: capacity, limit: limit}
}

// enter waits for a place. The caller gives it back with leave.
func (b *batch) enter(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.capacity && len(b.waiting) == 0 {
		b.running++
		b.mu.Unlock()
		return nil
	}
	if len(b.waiting) >= b.limit {
		b.mu.Unlock()
		return errQueueFull
	}
	b.arrived++
	w := &waiter{priority: priority, arrival: b.arrived, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.mu.Unlock()

	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		b.abandon(w)
		return context.Cause(ctx)
	}
}

// abandon takes back a wait, or the place if it was given meanwhile.
func (b *batch) abandon(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
		return
	}
	b.release()
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
}

func (b *batch) release() {
	b.running--
	if len(b.waiting) > 0 && b.running < b.capacity {
		w := heap.Pop(&b.waiting).(*waiter)
		b.running++
		close(w.admitted)
	}
}

func (b *batch) sizes() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

type waiter struct {
	priority int
	arrival  uint64
	admitted chan struct{}
	// index is the place in the heap, -1 once removed.
	index int
}

// waiters implements heap.Interface.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	item.index = -1
	return item
}
