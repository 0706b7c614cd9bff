package proxy

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/blame"
)

const (
	// maxUnreachable is the maximum number of attempts of a request that reach no replica.
	maxUnreachable = 3
	// queueObjectiveShare is the share of the route's objective that a request may spend
	// in the queue before it counts as late.
	queueObjectiveShare = 0.5
	// lateQueueShare is the share of the time until its deadline that a request may spend
	// in the queue if it is already late.
	lateQueueShare = 0.3
	// minRetryTime is the minimum time until the deadline for a retry to be sent.
	minRetryTime = 20 * time.Millisecond
	// defaultPatience is how long clients are assumed to wait for an event of a stream if
	// the route doesn't say.
	defaultPatience = 2 * time.Second
	// silencePatienceShare is the share of the clients' patience after which an attempt is
	// canceled if the replica sends nothing.
	silencePatienceShare = 0.85
	// queuePatienceShare is the share of the clients' patience that a late request for a
	// stream may spend in the queue. By the time that an answer after a longer wait
	// began, the client would have left.
	queuePatienceShare = 0.7
	// soundAfter is the time after the first event from which on a replica that goes on writing
	// shows that the parts of the prompt don't crash it.
	soundAfter = 300 * time.Millisecond
	// defaultUrgency is the middle of the urgency range by which model engines order
	// requests.
	defaultUrgency = 5
)

// attemptOutcome says how an attempt to send the request ended.
type attemptOutcome struct {
	// result says what the attempt showed about the replica.
	result batch.Result
	// retryable is set if another attempt may be made.
	retryable bool
	// refusal is what the client gets if no further attempt is made; nil if the attempt
	// was answered.
	refusal *Refusal
}

// sendWithRetries sends the request to a replica, and retries if that fails and a retry
// is allowed.
func (x *exchange) sendWithRetries(ctx context.Context) *Refusal {
	clock := x.proxy.options.Clock
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	deadline := clock.AfterFunc(x.deadline.Sub(clock.Now()), cancel)
	defer deadline.Stop()
	defer x.proxy.onStop(cancel)()
	for {
		grant, refusal := x.admit(ctx)
		if refusal != nil {
			return refusal
		}
		x.grant = grant
		if refusal := x.recheck(grant); refusal != nil {
			grant.Done(batch.Result{Verdict: batch.Canceled})
			return refusal
		}
		outcome := x.attempt(ctx, grant)
		grant = x.grant // A hedge has a grant of its own.
		grant.Done(outcome.result)
		x.reportAttempt(ctx, grant, outcome)
		if outcome.refusal == nil {
			return nil
		}
		x.excluded = append(x.excluded, grant.Replica.ID)
		if outcome.result.AtFault != "" {
			available, retryAfter := x.pool.OtherGroupAvailable(grant.Replica.ID)
			outcome.retryable = outcome.retryable && available
			if outcome.refusal.RetryAfter > 0 {
				outcome.refusal.RetryAfter = max(retryAfter, declinedRetryAfter)
			}
		}
		if !outcome.retryable || ctx.Err() != nil || x.deadline.Sub(clock.Now()) < minRetryTime {
			return outcome.refusal
		}
		if refusal := x.barredRefusal(); refusal != nil {
			return refusal
		}
		if x.attempts > 0 && !x.budget.TryRetry() {
			x.lastFailure = "NoRetryBudget"
			return outcome.refusal
		}
	}
}

// recheck returns a refusal if the request must not be sent any more: it may have been barred while it
// waited, and the entry may stop by now.
func (x *exchange) recheck(grant *batch.Grant) *Refusal {
	if grant.Waited > 0 {
		if refusal := x.barredRefusal(); refusal != nil {
			return refusal
		}
	}
	if x.mayHaveRun {
		return nil
	}
	return x.stopRefusal()
}

// reportAttempt tells the crash tracker if the request ran to completion or broke off on
// the replica.
func (x *exchange) reportAttempt(ctx context.Context, grant *batch.Grant, outcome attemptOutcome) {
	switch outcome.result.Verdict {
	case batch.Served:
		x.proxy.options.CrashTracker.RequestCompleted(x.fingerprint)
		x.reportSoundRun()
	case batch.Interrupted:
		x.proxy.options.Logger.Info("attempt broke off", zap.String("RequestID", string(x.request.ID)),
			zap.Int("Attempt", x.attempts), zap.String("Replica", string(grant.Replica.ID)),
			zap.Uint64("Fingerprint", uint64(x.fingerprint)), zap.String("Fault", x.lastFailure),
			zap.Strings("PromptParts", x.request.PromptParts), zap.Bool("Started", x.startedWriting()))
		attempt := blame.Attempt{
			RequestID: x.request.ID, Fingerprint: x.fingerprint, Replica: grant.Replica, Trial: x.trial, SentAt: x.current.startedAt,
		}
		if !x.soundRun {
			attempt.Parts = x.parts
		}
		x.proxy.options.CrashTracker.AttemptBroke(attempt)
		if x.proxy.options.Prober.Refuses(ctx, grant.Replica) {
			x.proxy.options.CrashTracker.ReplicaDied(grant.Replica)
		}
	}
}

// reportSoundRun tells the parts tracker, once in an attempt, that the replica has written an
// answer without crashing.
func (x *exchange) reportSoundRun() {
	if x.soundRun || len(x.parts) == 0 || x.status >= http.StatusMultipleChoices {
		return
	}
	x.soundRun = true
	x.proxy.options.PartsTracker.RunWasSound(x.parts)
}

// admit queues the request until a replica has free capacity.
func (x *exchange) admit(ctx context.Context) (*batch.Grant, *Refusal) {
	onTimeUntil := x.arrived.Add(time.Duration(queueObjectiveShare*float64(x.route.Objective)) - x.timeBeforeArrival())
	grant, err := x.pool.Acquire(ctx, x.admissionRequest(onTimeUntil))
	if err == nil {
		return grant, nil
	}
	var refused *batch.RefusalError
	if !errors.As(err, &refused) {
		return nil, x.newRefusal(http.StatusBadGateway, err.Error())
	}
	if ctx.Err() != nil {
		return nil, x.endedRefusal()
	}
	refusal := x.newRefusal(http.StatusServiceUnavailable, string(refused.Reason))
	if refusal.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = refused.RetryAfter
	}
	return nil, refusal
}

// admissionRequest describes the request to the pool.
func (x *exchange) admissionRequest(onTimeUntil time.Time) batch.AdmissionRequest {
	return batch.AdmissionRequest{
		RequestID:   x.request.ID,
		Account:     x.account.Name,
		Priority:    x.priority,
		Tokens:      x.request.PromptTokens + x.estimateAnswerTokens(),
		MaxGap:      x.route.MaxGap,
		OnTimeUntil: onTimeUntil,
		WaitUntil:   x.waitUntil(onTimeUntil),
		Deadline:    x.deadline,
		Return:      x.returning.kind,
		Excluded:    x.excluded,
		Zones:       x.homeZones(),
	}
}

// estimateAnswerTokens estimates the length of the answer in tokens.
func (x *exchange) estimateAnswerTokens() int {
	if x.request.AnswerTokens > 0 {
		return min(x.request.AnswerTokens, max(x.request.MaxTokens, 1))
	}
	return x.request.MaxTokens
}

// timeBeforeArrival returns how long before this request the client started to try. Tickets
// tell where they are used. Elsewhere it is inferred from the request: a client that retries
// after a refusal has less time left than the route's timeout.
func (x *exchange) timeBeforeArrival() time.Duration {
	if x.returning.known {
		return x.arrived.Sub(x.returning.firstSeen)
	}
	if x.request.TimeLeft <= 0 {
		return 0
	}
	return max(x.route.Timeout-x.request.TimeLeft, 0)
}

// waitUntil returns the time at which the request gives up waiting for capacity. A retry
// of the client that can no longer be answered within the objective is better served late
// than refused once more.
func (x *exchange) waitUntil(onTimeUntil time.Time) time.Time {
	if now := x.proxy.options.Clock.Now(); !onTimeUntil.After(now) {
		wait := time.Duration(lateQueueShare * float64(x.deadline.Sub(now)))
		if x.route.Stream {
			wait = min(wait, x.shareOfPatience(queuePatienceShare))
		}
		return now.Add(wait)
	}
	if x.deadline.Before(onTimeUntil) {
		return x.deadline
	}
	return onTimeUntil
}

// shareOfPatience returns a share of the time without an event after which the client leaves.
func (x *exchange) shareOfPatience(share float64) time.Duration {
	return time.Duration(share * float64(cmp.Or(x.route.Patience, defaultPatience)))
}

// newRefusal returns a refusal. It replaces status 503, which tells clients that the
// request has not run, with 502 if the request may have run.
func (x *exchange) newRefusal(status int, reason string) *Refusal {
	if x.mayHaveRun && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	return &Refusal{Status: status, Reason: reason}
}

// endedRefusal returns the refusal of a request that passed its deadline, whose client left, or that
// the entry's stop has ended.
func (x *exchange) endedRefusal() *Refusal {
	reason, retryAfter := "ClientGone", startRetryAfter
	switch {
	case !x.proxy.options.Clock.Now().Before(x.deadline):
		reason = "DeadlineExceeded"
	case x.proxy.stopping.Err() != nil:
		reason, retryAfter = "Stopping", stoppingRetryAfter
	}
	if x.mayHaveRun {
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: reason}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Reason: reason}
}

// attempt sends the request to the granted replica and relays the answer.
func (x *exchange) attempt(ctx context.Context, grant *batch.Grant) attemptOutcome {
	x.firstEventAt, x.soundRun = time.Time{}, false
	attemptCtx, first := x.newAttempt(ctx, grant, x.attempts+1)
	defer first.end()
	x.setCurrent(first)
	if x.proxy.hedges == nil {
		first.answer, first.err = x.proxy.options.Caller.Call(attemptCtx, first.call)
	} else if hedge := x.callHedged(ctx, attemptCtx, first); hedge != nil {
		defer hedge.end()
	}
	current := x.current
	if current.err != nil {
		return x.handleCallError(ctx, current.err)
	}
	answer := current.answer
	if !answer.WrongReplica {
		current.grant.Observe(answer.Signs)
	}
	x.attempts++
	switch {
	case answer.NotRun:
		return x.handleDeclined(answer)
	case answer.Status >= http.StatusMultipleChoices:
		x.mayHaveRun = true
		return x.handleErrorAnswer(ctx, answer)
	case !answer.Authenticated:
		x.mayHaveRun = true
		return x.handleInterruption(ctx, "AnswerNotSealed")
	}
	x.mayHaveRun = true
	if x.route.Stream {
		return x.relayStream(ctx, answer, current.silenceTimer, current.startedAt)
	}
	return x.relayWhole(ctx, answer, current.startedAt)
}

// resumeAfter returns the ID of the event after which a stream is to be resumed: the last
// one that was relayed, or else the one that the client named.
func (x *exchange) resumeAfter() string {
	if x.splitter != nil && x.splitter.LastID() != "" {
		return x.splitter.LastID()
	}
	return x.request.ResumeAfter
}

// handleCallError returns the outcome of an attempt that got no answer.
func (x *exchange) handleCallError(ctx context.Context, err error) attemptOutcome {
	x.lastFailure = err.Error()
	if track.IsKind(err, track.Unavailable) {
		x.unreachable++
		outcome := attemptOutcome{
			result:    batch.Result{Verdict: batch.Unreachable},
			retryable: x.unreachable < maxUnreachable,
		}
		if ctx.Err() != nil {
			outcome.result.Verdict = batch.Canceled
			outcome.refusal = x.endedRefusal()
			return outcome
		}
		outcome.refusal = x.newRefusal(http.StatusServiceUnavailable, "Unreachable")
		outcome.refusal.RetryAfter = startRetryAfter
		return outcome
	}
	x.attempts++
	x.mayHaveRun = true
	return x.handleInterruption(ctx, "NoAnswer")
}

// handleInterruption returns the outcome of an attempt whose answer broke off, never came
// or can't be used. If the request's own context has ended, that says nothing about the
// replica.
func (x *exchange) handleInterruption(ctx context.Context, reason string) attemptOutcome {
	if ctx.Err() != nil {
		return attemptOutcome{result: batch.Result{Verdict: batch.Canceled}, refusal: x.endedRefusal()}
	}
	result := batch.Result{Verdict: batch.Interrupted}
	if x.current.leftSlowRank.Swap(false) {
		// This entry canceled the attempt, which says nothing about the replica's health.
		result.Verdict, reason = batch.Canceled, "LeftSlowRank"
	}
	return attemptOutcome{
		result:    result,
		retryable: x.mayRetry(),
		refusal:   &Refusal{Status: http.StatusBadGateway, Reason: reason},
	}
}

// mayRetry reports whether the request may be sent to another replica although it may
// have run.
func (x *exchange) mayRetry() bool {
	return x.route.RetryRule != track.RetryOnlyIfNotRun && x.attempts < x.route.MaxAttempts
}

// handleDeclined returns the outcome of an attempt whose answer says that the request did
// not run.
func (x *exchange) handleDeclined(answer track.ReplicaAnswer) attemptOutcome {
	outcome := attemptOutcome{result: batch.Result{Verdict: batch.AtCapacity, AtFault: answer.FailedReplica}}
	outcome.retryable = x.attempts < x.route.MaxAttempts
	if answer.WrongReplica && answer.FailedReplica == "" {
		outcome.result.Verdict = batch.WrongReplica
	}
	outcome.refusal = x.newRefusal(http.StatusServiceUnavailable, "Declined")
	if outcome.refusal.Status == http.StatusServiceUnavailable {
		outcome.refusal.RetryAfter = declinedRetryAfter
	}
	x.lastFailure = "status " + http.StatusText(answer.Status) + " at " + answer.FailedReplica
	return outcome
}

// declinedRetryAfter is the time after which a replica that was at capacity is expected
// to have free capacity.
const declinedRetryAfter = 300 * time.Millisecond

// handleErrorAnswer returns the outcome of an attempt that was answered with a status of
// 300 or more. A server error is retried if that is allowed, else the client gets the
// answer as it is, unless its status would promise that the request has not run.
func (x *exchange) handleErrorAnswer(ctx context.Context, answer track.ReplicaAnswer) attemptOutcome {
	if answer.Status >= http.StatusInternalServerError && x.mayRetry() && !x.committed && x.budget.Remaining() > 1 {
		outcome := x.handleInterruption(ctx, "ReplicaFailed")
		outcome.result.Verdict = batch.Failed
		return outcome
	}
	if x.committed || promisesNotRun(answer.Status) {
		outcome := x.handleInterruption(ctx, "ReplicaFailed")
		outcome.result.Verdict, outcome.retryable = batch.Failed, false
		return outcome
	}
	outcome := x.relayWhole(ctx, answer, x.proxy.options.Clock.Now())
	outcome.result.ErrorAnswer = true
	if answer.Status >= http.StatusInternalServerError {
		outcome.result.Verdict = batch.Failed
	}
	return outcome
}

// promisesNotRun reports whether clients understand the status to mean that the request
// has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
