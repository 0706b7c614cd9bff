package send

import (
	"context"
	"errors"
	"sync"
)

var (
	// errLost ends an attempt whose rival answered first.
	errLost = errors.New("another attempt answered first")
	// errUnfit ends an attempt that answered with an error while it has a rival.
	errUnfit = errors.New("the backend server answered with an error")
)

// contest decides which of two attempts at the same call answers the caller.
type contest struct {
	mu       sync.Mutex
	winner   *transfer
	contends []*transfer
	cancels  []context.CancelFunc
}

// start runs an attempt on its own goroutine. The channel is closed at its end.
func (c *contest) start(ctx context.Context, r *run, t *transfer) <-chan struct{} {
	ctx, cancel := context.WithCancel(ctx)
	t.contest = c
	c.mu.Lock()
	c.contends = append(c.contends, t)
	c.cancels = append(c.cancels, cancel)
	c.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer cancel()
		t.run(ctx, r)
	}()
	return ended
}

// claim lets an attempt answer, unless its rival does already. The loser is
// broken off.
func (c *contest) claim(t *transfer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winner == nil {
		c.winner = t
		for i, other := range c.contends {
			if other != t {
				c.cancels[i]()
			}
		}
	}
	if c.winner != t {
		t.lost = true
		return errLost
	}
	return nil
}

// decided reports whether an attempt answers already.
func (c *contest) decided() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.winner != nil
}

// wait waits for the end of both attempts, and returns the one that answered; the
// later one, if none did.
func (c *contest) wait(first, second *transfer, firstDone, secondDone <-chan struct{}) *transfer {
	last := first
	select {
	case <-firstDone:
		last = second
		<-secondDone
	case <-secondDone:
		<-firstDone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winner != nil {
		last = c.winner
	}
	for _, t := range []*transfer{first, second} {
		t.lost = c.winner != nil && t != c.winner
	}
	return last
}
