package swap

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// Send carries an order to its member.
type Send func(ctx context.Context, o track.MapOrder) (track.MapReply, error)

// Timing bounds an attempt.
type Timing struct {
	// Repeat is the time after which unanswered orders are sent again.
	Repeat time.Duration
	// Patience bounds each phase but Prepare.
	Patience time.Duration
	// FetchPatience bounds Prepare, during which ranks fetch weights.
	FetchPatience time.Duration
}

// DefaultTiming returns the timing for members in one region.
func DefaultTiming() Timing {
	return Timing{Repeat: 200 * time.Millisecond, Patience: 2 * time.Second, FetchPatience: time.Minute}
}

// Runner carries the orders of drivers to members.
type Runner struct {
	Clock  clockwork.Clock
	Timing Timing
	Send   Send
}

// reported is the end of one call to a member.
type reported struct {
	to    track.RankID
	reply track.MapReply
	err   error
}

// Run carries out an attempt and returns its end. It returns an error only if
// the context ended first; then another driver has to settle the change.
func (r *Runner) Run(ctx context.Context, d *Driver, orders []track.MapOrder) (Result, error) {
	reports := make(chan reported)
	pending := 0
	// underway holds the members with an order on its way, so that a slow link isn't
	// filled with repeats.
	underway := make(map[track.RankID]int)
	// Orders under way are not broken off, so that a commit reaches all members
	// that can be reached even if one of them refuses.
	defer func() {
		for ; pending > 0; pending-- {
			<-reports
		}
	}()
	launch := func(orders []track.MapOrder) {
		pending += len(orders)
		for _, o := range orders {
			underway[o.To]++
			go r.call(ctx, o, reports)
		}
	}
	idle := func(orders []track.MapOrder) []track.MapOrder {
		return slices.DeleteFunc(orders, func(o track.MapOrder) bool { return underway[o.To] > 0 })
	}
	launch(orders)
	phase, since := d.phase, r.Clock.Now()
	var armed time.Time
	ticker := r.Clock.NewTicker(r.Timing.Repeat)
	defer ticker.Stop()
	for {
		if result, done := d.Result(); done {
			if !armed.IsZero() {
				result.Held = r.Clock.Since(armed)
			}
			return result, nil
		}
		select {
		case <-ctx.Done():
			return Result{}, track.Fail("change expert map", Cancelled, context.Cause(ctx))
		case got := <-reports:
			pending--
			underway[got.to]--
			if got.err == nil {
				launch(d.Handle(got.reply))
			}
		case <-ticker.Chan():
			if r.Clock.Since(since) >= r.patience(d.phase) {
				launch(d.GiveUp())
				since = r.Clock.Now()
			} else {
				launch(idle(d.Repeat()))
			}
		}
		if d.phase != phase {
			phase, since = d.phase, r.Clock.Now()
			if phase == arming {
				armed = since
			}
		}
	}
}

func (r *Runner) patience(p phase) time.Duration {
	if p == preparing {
		return r.Timing.FetchPatience
	}
	return r.Timing.Patience
}

// call gives one order to its member and reports its end.
func (r *Runner) call(ctx context.Context, o track.MapOrder, reports chan<- reported) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, r.Timing.Patience)
	defer cancel()
	reply, err := r.Send(ctx, o)
	reports <- reported{to: o.To, reply: reply, err: err}
}
