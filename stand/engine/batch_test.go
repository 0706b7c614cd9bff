package engine

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBatchAdmitsByPriorityThenArrival(t *testing.T) {
	b := newBatch(1, 10)
	assert.NilError(t, b.acquire(t.Context(), 0))
	admitted := make(chan string)
	for i, w := range []struct {
		name     string
		priority int
	}{{"batch", 0}, {"first", 1}, {"second", 1}, {"urgent", 2}} {
		go func() {
			if b.acquire(t.Context(), w.priority) == nil {
				admitted <- w.name
			}
		}()
		queued := 0
		for queued != i+1 {
			_, queued = b.counts()
		}
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, b.acquire(cancelled, 9), context.Canceled)
	for _, want := range []string{"urgent", "first", "second", "batch"} {
		b.release()
		assert.Equal(t, <-admitted, want)
	}
	b.release()
	running, queued := b.counts()
	assert.Equal(t, running+queued, 0)
}
