package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/retry"
)

// The results of hedges in metrics and logs, besides the reasons against a hedge.
const (
	hedgeSent = "Sent"
	// hedgeWon means that the client got the hedge's answer, and hedgeLost that it didn't.
	hedgeWon  = "Won"
	hedgeLost = "Lost"
)

// hedgeShares holds the operator's share of hedges by service. It is safe for concurrent use.
type hedgeShares struct {
	share float64
	clock clockwork.Clock

	mu       sync.Mutex
	services map[string]*retry.ServiceBudget
}

// newHedgeShares returns nil if hedging is off.
func newHedgeShares(share float64, clock clockwork.Clock) *hedgeShares {
	if share <= 0 {
		return nil
	}
	return &hedgeShares{share: share, clock: clock, services: make(map[string]*retry.ServiceBudget)}
}

func (h *hedgeShares) forService(service string) *retry.ServiceBudget {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil {
		s = retry.NewHedgeShare(h.share, h.clock)
		h.services[service] = s
	}
	return s
}

// recordRequest counts a client's request towards the share of its service.
func (h *hedgeShares) recordRequest(service string) {
	if h != nil {
		h.forService(service).RecordRequest()
	}
}

// setCurrent makes an attempt the one whose outcome is handled.
func (x *exchange) setCurrent(a *attempt) {
	x.current, x.grant = a, a.grant
}

// callHedged sends the attempt and, if its answer is slow to begin, a hedge beside it. It returns when the current
// attempt has an answer that can be relayed, or an error, and no other one runs. That is the first attempt or the
// hedge, which it returns; nil if none was sent.
func (x *exchange) callHedged(ctx, attemptCtx context.Context, first *attempt) *attempt {
	caller, clock := x.proxy.options.Caller, x.proxy.options.Clock
	candidate := x.slowAttempt(x.pool.SlowFirstByte())
	if reason := retry.DecideHedge(candidate); reason != retry.ReasonTooEarly {
		first.answer, first.err = caller.Call(attemptCtx, first.call)
		slow := candidate.After > 0 && clock.Since(first.startedAt) >= candidate.After
		if slow || reason == retry.ReasonTooFewSamples {
			x.countHedge(string(reason))
		}
		return nil
	}
	timer := clock.NewTimer(candidate.After)
	defer timer.Stop()
	first.done = make(chan struct{})
	go first.fetch(attemptCtx, caller, x.route.Stream)
	select {
	case <-first.done:
		return nil
	case <-timer.Chan():
	}
	var grant *batch.Grant
	if ctx.Err() == nil && !first.begun.Load() {
		grant = x.admitHedge(first, candidate.After)
	}
	if grant == nil {
		<-first.done
		return nil
	}
	hedgeCtx, hedge := x.newAttempt(ctx, grant, x.attempts+2)
	hedge.done = make(chan struct{})
	go hedge.fetch(hedgeCtx, caller, x.route.Stream)
	x.awaitWinner(ctx, first, hedge)
	return hedge
}

// slowAttempt describes the request's next attempt as one that counts as slow after the given time.
func (x *exchange) slowAttempt(after time.Duration) retry.SlowAttempt {
	clock := x.proxy.options.Clock
	return retry.SlowAttempt{
		Enabled:     true,
		Repeatable:  x.route.RetryRule != track.RetryOnlyIfNotRun && !x.committed,
		Hedged:      x.hedged,
		After:       after,
		Attempts:    x.attempts + 1,
		MaxAttempts: x.route.MaxAttempts,
		OutOfTime:   x.deadline.Sub(clock.Now()) < minRetryTime,
	}
}

// admitHedge returns a grant for a hedge beside an attempt that is slow; nil if none may be sent.
func (x *exchange) admitHedge(first *attempt, after time.Duration) *batch.Grant {
	grant, reason := x.decideHedge(first, after)
	if grant == nil {
		x.countHedge(reason)
		return nil
	}
	x.hedged = true
	if x.attempts+2 >= x.route.MaxAttempts {
		// An attempt that is moved off a slow rank needs another one.
		first.lastAttempt.Store(true)
	}
	x.countHedge(hedgeSent)
	x.proxy.options.Logger.Info("request hedged", zap.String("RequestID", string(x.request.ID)),
		zap.String("Service", x.service), zap.String("Replica", string(first.grant.Replica.ID)),
		zap.String("HedgeReplica", string(grant.Replica.ID)), zap.Int64("AfterMs", after.Milliseconds()))
	grant.Waited = first.grant.Waited
	return grant
}

// decideHedge decides on a hedge. It returns its grant, or the reason against it.
func (x *exchange) decideHedge(first *attempt, after time.Duration) (*batch.Grant, string) {
	share := x.proxy.hedges.forService(x.service)
	candidate := x.slowAttempt(after)
	candidate.Waited = x.proxy.options.Clock.Since(first.startedAt)
	barred := x.barredRefusal() != nil // This may make the request the trial of a part.
	candidate.MayCrash = barred || x.trial
	candidate.NoShareLeft = share.Remaining() < 1
	candidate.NoBudgetLeft = x.budget.Remaining() < 1
	if reason := retry.DecideHedge(candidate); reason != retry.ReasonHedge {
		return nil, string(reason)
	}
	grant, refused := x.pool.TryAcquire(x.admissionRequest(x.deadline), first.grant.Replica.ID)
	if grant == nil {
		return nil, string(refused)
	}
	// Other requests may have used up the budgets in the meantime.
	reason := retry.ReasonNoShareLeft
	if share.TryRetry() {
		if x.budget.TryRetry() {
			return grant, ""
		}
		reason = retry.ReasonNoBudgetLeft
	}
	grant.Done(batch.Result{Verdict: batch.Canceled})
	return nil, string(reason)
}

// awaitWinner waits until one of two attempts has an answer that can be relayed and cancels the other one. If one
// fails, the other one continues as its retry. The winner, or the last one to fail, becomes the current attempt.
func (x *exchange) awaitWinner(ctx context.Context, first, hedge *attempt) {
	winner, other := first, hedge
	select {
	case <-first.done:
	case <-hedge.done:
		winner, other = hedge, first
	}
	if winner.usable {
		x.abandon(ctx, other, other == first)
	} else {
		x.handleFailed(ctx, winner)
		winner = other
		<-winner.done
	}
	x.setCurrent(winner)
	result := hedgeLost
	if winner == hedge && winner.usable {
		result = hedgeWon
	}
	x.countHedge(result)
	x.proxy.options.Logger.Info("hedge ended", zap.String("RequestID", string(x.request.ID)),
		zap.String("Service", x.service), zap.String("Result", result), zap.String("Replica", string(winner.grant.Replica.ID)),
		zap.Int64("TookMs", x.proxy.options.Clock.Since(hedge.startedAt).Milliseconds()))
}

// abandon cancels the attempt that lost. One that has failed by itself before counts as failed.
func (x *exchange) abandon(ctx context.Context, loser *attempt, slow bool) {
	select {
	case <-loser.done:
		if !loser.usable {
			x.handleFailed(ctx, loser)
			return
		}
	default:
	}
	loser.cancel()
	result := batch.Result{Verdict: batch.Canceled}
	if slow {
		result.FirstByte = x.proxy.options.Clock.Since(loser.startedAt)
	}
	x.attempts++
	x.mayHaveRun = true
	loser.grant.Done(result)
	x.excluded = append(x.excluded, loser.grant.Replica.ID)
}

// handleFailed records the outcome of an attempt without a usable answer, while the request has another one.
func (x *exchange) handleFailed(ctx context.Context, a *attempt) {
	x.setCurrent(a)
	outcome := x.failedOutcome(ctx, a)
	a.grant.Done(outcome.result)
	x.reportAttempt(ctx, a.grant, outcome)
	x.excluded = append(x.excluded, a.grant.Replica.ID)
}

// failedOutcome returns the outcome of an attempt without a usable answer.
func (x *exchange) failedOutcome(ctx context.Context, a *attempt) attemptOutcome {
	if a.err != nil {
		return x.handleCallError(ctx, a.err)
	}
	if !a.answer.WrongReplica {
		a.grant.Observe(a.answer.Signs)
	}
	x.attempts++
	if a.answer.NotRun {
		return x.handleDeclined(a.answer)
	}
	x.mayHaveRun = true
	switch {
	case a.answer.Status >= http.StatusInternalServerError || promisesNotRun(a.answer.Status):
		outcome := x.handleInterruption(ctx, "ReplicaFailed")
		outcome.result.Verdict = batch.Failed
		return outcome
	case a.answer.Status < http.StatusMultipleChoices && !a.answer.Authenticated:
		return x.handleInterruption(ctx, "AnswerNotSealed")
	}
	return x.handleInterruption(ctx, "AnswerBrokeOff")
}

func (x *exchange) countHedge(result string) {
	x.proxy.options.Metrics.countHedge(x.service, result)
}
