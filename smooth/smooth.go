// Package smooth evens out the pauses between the events of a stream. While the engine
// keeps up, each event is delayed for a short time. A slow pass of the engine is then
// bridged with delayed events, and the client sees no long pause.
package smooth

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxBuffered is the number of chunks that are buffered at most. Beyond it Send blocks, so
// that the replica has to wait, too.
const maxBuffered = 64

// Limits configures the pacing of a stream.
type Limits struct {
	// Spacing is the intended pause between two events.
	Spacing time.Duration
	// MaxDelay is the longest time for which an event is delayed; 0 delays none.
	MaxDelay time.Duration
}

// Pacer computes when the events of one stream are delivered. It is not safe for
// concurrent use.
type Pacer struct {
	limits       Limits
	lastDelivery time.Time
}

// NewPacer returns the pacer of a new stream.
func NewPacer(limits Limits) *Pacer {
	return &Pacer{limits: limits}
}

// DeliveryTime returns the time at which to deliver the next event, given the time at which it
// arrived. The first event is delivered at once. Each further one is delivered one Spacing
// after the event before it, but MaxDelay after its arrival at the latest.
func (p *Pacer) DeliveryTime(arrived time.Time) time.Time {
	delivery := arrived
	if !p.lastDelivery.IsZero() {
		delivery = p.lastDelivery.Add(p.limits.Spacing)
		if latest := arrived.Add(p.limits.MaxDelay); delivery.After(latest) {
			delivery = latest
		}
		if delivery.Before(arrived) {
			delivery = arrived
		}
		if delivery.Before(p.lastDelivery) {
			delivery = p.lastDelivery
		}
	}
	p.lastDelivery = delivery
	return delivery
}

// PacedWriter writes the chunks of one response at the times that its Pacer computes. Send and
// Close must be called from one goroutine.
type PacedWriter struct {
	clock  clockwork.Clock
	pacer  *Pacer
	write  func([]byte) error
	chunks chan chunk
	failed chan struct{}
	ended  chan struct{}
	// The fields below may be read only after ended is closed.
	err          error
	longestGap   time.Duration
	longestDelay time.Duration
	lastWrite    time.Time
}

type chunk struct {
	data     []byte
	arrived  time.Time
	delivery time.Time
}

// NewPacedWriter returns a writer that passes chunks to write until it is closed, the context
// ends or write fails.
func NewPacedWriter(ctx context.Context, clock clockwork.Clock, limits Limits, write func([]byte) error) *PacedWriter {
	o := &PacedWriter{
		clock: clock, pacer: NewPacer(limits), write: write,
		chunks: make(chan chunk, maxBuffered), failed: make(chan struct{}), ended: make(chan struct{}),
	}
	go o.run(ctx)
	return o
}

// Send queues a chunk, which the caller must not change afterwards. It blocks while the
// buffer is full, and reports whether the client can still be written to.
func (o *PacedWriter) Send(data []byte) bool {
	select {
	case <-o.failed:
		return false
	default:
	}
	arrived := o.clock.Now()
	select {
	case <-o.failed:
		return false
	case o.chunks <- chunk{data: data, arrived: arrived, delivery: o.pacer.DeliveryTime(arrived)}:
		return true
	}
}

// Close waits until all chunks are written. It returns the error that prevented a write,
// if any: that of the write function or the cause of the context's end.
func (o *PacedWriter) Close() error {
	close(o.chunks)
	<-o.ended
	return o.err
}

// LongestGap returns the longest pause between two writes. It is valid after Close.
func (o *PacedWriter) LongestGap() time.Duration { return o.longestGap }

// LongestDelay returns the longest time from the arrival of a chunk until it was written. It is
// valid after Close.
func (o *PacedWriter) LongestDelay() time.Duration { return o.longestDelay }

func (o *PacedWriter) run(ctx context.Context) {
	defer close(o.ended)
	for c := range o.chunks {
		if err := o.deliver(ctx, c); err != nil {
			o.err = err
			close(o.failed)
			return
		}
	}
}

// deliver waits for the chunk's delivery time and writes it.
func (o *PacedWriter) deliver(ctx context.Context, c chunk) error {
	if wait := c.delivery.Sub(o.clock.Now()); wait > 0 {
		timer := o.clock.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if err := o.write(c.data); err != nil {
		return err
	}
	now := o.clock.Now()
	if !o.lastWrite.IsZero() {
		o.longestGap = max(o.longestGap, now.Sub(o.lastWrite))
	}
	o.lastWrite, o.longestDelay = now, max(o.longestDelay, now.Sub(c.arrived))
	return nil
}
