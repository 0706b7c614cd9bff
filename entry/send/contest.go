package send

import (
	"context"
	"errors"
	"sync"
)

var (
	// errLostRace ends an attempt because the other one responded first.
	errLostRace = errors.New("another attempt responded first")
	// errServerError ends a hedged attempt that responded with a server error, so
	// that the other attempt can still win.
	errServerError = errors.New("the backend server responded with a server error")
)

// hedgeRace decides which of two attempts at the same call responds to the
// caller. It is safe for concurrent use.
type hedgeRace struct {
	mu       sync.Mutex
	winner   *attempt
	attempts []*attempt
	// cancels holds the function that cancels each of the attempts.
	cancels []context.CancelFunc
}

// start runs an attempt on its own goroutine. The returned channel is closed
// when the attempt has ended.
func (h *hedgeRace) start(ctx context.Context, e *execution, a *attempt) <-chan struct{} {
	ctx, cancel := context.WithCancel(ctx)
	a.race = h
	h.mu.Lock()
	h.attempts = append(h.attempts, a)
	h.cancels = append(h.cancels, cancel)
	h.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer cancel()
		a.run(ctx, e)
	}()
	return ended
}

// claimWin makes the attempt the winner and cancels the other, unless the other
// has won already, in which case it returns errLostRace.
func (h *hedgeRace) claimWin(a *attempt) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner == nil {
		h.winner = a
		for i, other := range h.attempts {
			if other != a {
				h.cancels[i]()
			}
		}
	}
	if h.winner != a {
		a.lostRace = true
		return errLostRace
	}
	return nil
}

// hasWinner reports whether an attempt has started to respond to the caller.
func (h *hedgeRace) hasWinner() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.winner != nil
}

// wait waits until both attempts have ended, and returns the winner, or the one
// that ended last if neither won.
func (h *hedgeRace) wait(first, second *attempt, firstDone, secondDone <-chan struct{}) *attempt {
	last := first
	select {
	case <-firstDone:
		last = second
		<-secondDone
	case <-secondDone:
		<-firstDone
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner != nil {
		last = h.winner
	}
	for _, a := range []*attempt{first, second} {
		a.lostRace = h.winner != nil && a != h.winner
	}
	return last
}
