// Package ring provides the bounded queues that join the duties of a process.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue for any number of senders and one receiving duty.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns an empty ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item if there is room. It never waits; an item that finds the
// ring full is counted as dropped.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Put adds an item, waiting for room until the context ends.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Items returns the channel from which the receiving duty takes items.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Dropped returns the number of items that Offer found no room for.
func (r *Ring[T]) Dropped() uint64 {
	return r.dropped.Load()
}
