package engine

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

var errQueueFull = errors.New("queue is full")

// batch limits the number of requests in a continuous batch. Free slots go to
// waiting requests by priority, highest first, then in order of arrival.
type batch struct {
	capacity   int
	queueLimit int

	mu      sync.Mutex
	running int
	// arrivals is the number of requests that have had to wait.
	arrivals uint64
	waiting  waitQueue
}

func newBatch(capacity, queueLimit int) *batch {
	return &batch{capacity: capacity, queueLimit: queueLimit}
}

// acquire waits for a slot in the batch, which the caller must release. It returns
// errQueueFull if the queue is full, and the cause of ctx if that ends first.
func (b *batch) acquire(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.capacity && len(b.waiting) == 0 {
		b.running++
		b.mu.Unlock()
		return nil
	}
	if len(b.waiting) >= b.queueLimit {
		b.mu.Unlock()
		return errQueueFull
	}
	b.arrivals++
	w := &waiter{priority: priority, arrival: b.arrivals, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.mu.Unlock()

	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		b.cancelWait(w)
		return context.Cause(ctx)
	}
}

// cancelWait removes a waiter from the queue. If it was given a slot in the
// meantime, the slot is released.
func (b *batch) cancelWait(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
		return
	}
	b.releaseLocked()
}

// release returns a slot of the batch, which goes to the next waiter, if any.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

// releaseLocked is release for callers that hold b.mu.
func (b *batch) releaseLocked() {
	b.running--
	if len(b.waiting) > 0 && b.running < b.capacity {
		w := heap.Pop(&b.waiting).(*waiter)
		b.running++
		close(w.admitted)
	}
}

// counts returns the number of requests in the batch and in the queue.
func (b *batch) counts() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	arrival  uint64
	// admitted is closed when the request gets a slot.
	admitted chan struct{}
	// index is the position in the heap, or -1 after removal.
	index int
}

// waitQueue is a heap of waiters. It implements heap.Interface.
type waitQueue []*waiter

func (w waitQueue) Len() int { return len(w) }

func (w waitQueue) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waitQueue) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push implements heap.Interface.
func (w *waitQueue) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waitQueue) Pop() any {
	old := *w
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	item.index = -1
	return item
}
