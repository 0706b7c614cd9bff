// Package smooth spaces the events of a stream: while an engine keeps up, each event
// is held for a short time, so that a slow pass of the engine takes from what is
// held and the client sees no long pause.
package smooth

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxHeld bounds the pieces that are held. Beyond it a sender waits, and with it the
// replica.
const maxHeld = 64

// Limits bounds how events are spaced.
type Limits struct {
	// Spacing is the pause between two events that is aimed at.
	Spacing time.Duration
	// MaxHold is the longest time for which an event is held; 0 holds none.
	MaxHold time.Duration
}

// Pacer decides when events are delivered. It is not safe for concurrent use.
type Pacer struct {
	limits Limits
	last   time.Time
}

// NewPacer returns the pacer of a stream that has not begun.
func NewPacer(limits Limits) *Pacer {
	return &Pacer{limits: limits}
}

// At returns the time at which to deliver the next event, which was made at a time:
// one spacing after the event before, but no later than the event may be held, and
// the first event at once.
func (p *Pacer) At(made time.Time) time.Time {
	at := made
	if !p.last.IsZero() {
		at = p.last.Add(p.limits.Spacing)
		if latest := made.Add(p.limits.MaxHold); at.After(latest) {
			at = latest
		}
		if at.Before(made) {
			at = made
		}
		if at.Before(p.last) {
			at = p.last
		}
	}
	p.last = at
	return at
}

// Outlet delivers the pieces of one answer at the times that its pacer sets. Send and
// Close are called from one goroutine.
type Outlet struct {
	clock  clockwork.Clock
	pacer  *Pacer
	write  func([]byte) error
	pieces chan piece
	failed chan struct{}
	ended  chan struct{}
	// The rest is read after the end only.
	err     error
	maxGap  time.Duration
	maxHeld time.Duration
	last    time.Time
}

type piece struct {
	data []byte
	made time.Time
	at   time.Time
}

// NewOutlet returns an outlet that writes pieces until it is closed or the context
// ends.
func NewOutlet(ctx context.Context, clock clockwork.Clock, limits Limits, write func([]byte) error) *Outlet {
	o := &Outlet{
		clock: clock, pacer: NewPacer(limits), write: write,
		pieces: make(chan piece, maxHeld), failed: make(chan struct{}), ended: make(chan struct{}),
	}
	go o.run(ctx)
	return o
}

// Send takes over a piece. It reports whether the client can still be written to.
func (o *Outlet) Send(data []byte) bool {
	select {
	case <-o.failed:
		return false
	default:
	}
	made := o.clock.Now()
	select {
	case <-o.failed:
		return false
	case o.pieces <- piece{data: data, made: made, at: o.pacer.At(made)}:
		return true
	}
}

// Close waits until all pieces are delivered. It returns the error that kept one from
// being delivered, if any.
func (o *Outlet) Close() error {
	close(o.pieces)
	<-o.ended
	return o.err
}

// MaxGap returns the longest pause between two pieces, and MaxHeld the longest time for
// which one was held. Both are known once the outlet is closed.
func (o *Outlet) MaxGap() time.Duration { return o.maxGap }

// MaxHeld is described at MaxGap.
func (o *Outlet) MaxHeld() time.Duration { return o.maxHeld }

func (o *Outlet) run(ctx context.Context) {
	defer close(o.ended)
	for p := range o.pieces {
		if err := o.deliver(ctx, p); err != nil {
			o.err = err
			close(o.failed)
			return
		}
	}
}

func (o *Outlet) deliver(ctx context.Context, p piece) error {
	if wait := p.at.Sub(o.clock.Now()); wait > 0 {
		timer := o.clock.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if err := o.write(p.data); err != nil {
		return err
	}
	now := o.clock.Now()
	if !o.last.IsZero() {
		o.maxGap = max(o.maxGap, now.Sub(o.last))
	}
	o.last, o.maxHeld = now, max(o.maxHeld, now.Sub(p.made))
	return nil
}
