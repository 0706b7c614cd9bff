// Package ring provides bounded queues between the background tasks of a process.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue with any number of senders and one receiver.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns an empty queue with room for the given number of items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds an item if there is room and reports whether it did. It never blocks; an
// item that finds the queue full is dropped and counted.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds an item. It waits for room until the context ends, and then returns the cause
// of its end.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Items returns the channel from which the receiver takes items.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Dropped returns the number of items that Offer has dropped.
func (r *Ring[T]) Dropped() uint64 {
	return r.dropped.Load()
}
