package swap

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// SendFunc sends an order to its member and returns the reply. An error counts as no
// reply.
type SendFunc func(ctx context.Context, o track.MapOrder) (track.MapReply, error)

// Timing holds the intervals and timeouts of an attempt.
type Timing struct {
	// ResendInterval is the interval at which unanswered orders are sent again.
	ResendInterval time.Duration
	// PhaseTimeout is the timeout of each phase but Prepare, and of each call to a member.
	PhaseTimeout time.Duration
	// PrepareTimeout is the timeout of Prepare, during which ranks fetch weights.
	PrepareTimeout time.Duration
}

// DefaultTiming returns the timing for a group whose members are all in one region.
func DefaultTiming() Timing {
	return Timing{ResendInterval: 200 * time.Millisecond, PhaseTimeout: 2 * time.Second, PrepareTimeout: time.Minute}
}

// Runner runs attempts: it sends the orders of a Coordinator to the members, and sends
// unanswered ones again.
type Runner struct {
	Clock  clockwork.Clock
	Timing Timing
	Send   SendFunc
	// SendAll sends the orders of a phase together and calls handle once for each, from any
	// goroutine, with the reply or an error; nil to send each with Send. Orders that are
	// sent again are sent one by one.
	SendAll func(ctx context.Context, orders []track.MapOrder, handle func(track.RankID, track.MapReply, error))
}

// callResult is the result of one call to a member.
type callResult struct {
	to    track.RankID
	reply track.MapReply
	err   error
}

// Run carries out an attempt, beginning with the orders from NewCoordinator, and returns its
// result. It returns an error, of kind Cancelled, only if the context ended first; then
// another attempt has to settle the change.
func (r *Runner) Run(ctx context.Context, d *Coordinator, orders []track.MapOrder) (Result, error) {
	results := make(chan callResult)
	pending := 0
	// inFlight counts the unfinished calls to each member. A member with one gets no
	// repeated orders, so that they don't fill a slow link.
	inFlight := make(map[track.RankID]int)
	// Run waits for the calls in flight instead of cancelling them, so that a Commit
	// reaches all members that can be reached even if one of them refuses.
	defer func() {
		for ; pending > 0; pending-- {
			<-results
		}
	}()
	resend := func(orders []track.MapOrder) {
		pending += len(orders)
		for _, o := range orders {
			inFlight[o.To]++
			go r.call(ctx, o, results)
		}
	}
	sendAll := func(orders []track.MapOrder) {
		if r.SendAll == nil || len(orders) < 2 {
			resend(orders)
			return
		}
		pending += len(orders)
		for _, o := range orders {
			inFlight[o.To]++
		}
		r.callAll(ctx, orders, results)
	}
	notInFlight := func(orders []track.MapOrder) []track.MapOrder {
		return slices.DeleteFunc(orders, func(o track.MapOrder) bool { return inFlight[o.To] > 0 })
	}
	sendAll(orders)
	phase, phaseStart := d.phase, r.Clock.Now()
	var armedAt time.Time
	ticker := r.Clock.NewTicker(r.Timing.ResendInterval)
	defer ticker.Stop()
	for {
		if result, done := d.Result(); done {
			if !armedAt.IsZero() {
				result.HoldTime = r.Clock.Since(armedAt)
			}
			return result, nil
		}
		select {
		case <-ctx.Done():
			return Result{}, track.Fail("change expert map", Cancelled, context.Cause(ctx))
		case res := <-results:
			pending--
			inFlight[res.to]--
			if res.err == nil {
				sendAll(d.Handle(res.reply))
			}
		case <-ticker.Chan():
			if r.Clock.Since(phaseStart) >= r.phaseTimeout(d.phase) {
				sendAll(d.HandlePhaseTimeout())
				phaseStart = r.Clock.Now()
			} else {
				resend(notInFlight(d.UnansweredOrders()))
			}
		}
		if d.phase != phase {
			phase, phaseStart = d.phase, r.Clock.Now()
			if phase == phaseArm {
				armedAt = phaseStart
			}
		}
	}
}

func (r *Runner) phaseTimeout(p phase) time.Duration {
	if p == phasePrepare {
		return r.Timing.PrepareTimeout
	}
	return r.Timing.PhaseTimeout
}

// call sends one order to its member and puts the result on the channel.
func (r *Runner) call(ctx context.Context, o track.MapOrder, results chan<- callResult) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, r.Timing.PhaseTimeout)
	defer cancel()
	reply, err := r.Send(ctx, o)
	results <- callResult{to: o.To, reply: reply, err: err}
}

// callAll sends the orders of a phase and puts the results on the channel.
func (r *Runner) callAll(ctx context.Context, orders []track.MapOrder, results chan<- callResult) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.Clock, r.Timing.PhaseTimeout)
	var unanswered sync.WaitGroup
	unanswered.Add(len(orders))
	r.SendAll(ctx, orders, func(to track.RankID, reply track.MapReply, err error) {
		results <- callResult{to: to, reply: reply, err: err}
		unanswered.Done()
	})
	go func() {
		unanswered.Wait()
		cancel()
	}()
}
