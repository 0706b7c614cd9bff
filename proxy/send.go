package proxy

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
)

const (
	// maxUnreached bounds the replicas that are tried without reaching one.
	maxUnreached = 3
	// waitShare is the part of the objective for which a request waits for a place
	// before it counts as late.
	waitShare = 0.5
	// lateWaitShare is the part of the time left for which a request waits that is
	// late already.
	lateWaitShare = 0.3
	// minTimeLeft is the least time left that makes an attempt worth sending.
	minTimeLeft = 20 * time.Millisecond
	// defaultPatience is the patience assumed of a stream's clients.
	defaultPatience = 2 * time.Second
	// silenceShare is the part of the clients' patience after which a silent replica
	// is given up, and waitPatience that for which a stream waits for a place: an
	// answer that begins later finds nobody.
	silenceShare = 0.85
	waitPatience = 0.7
	// usualUrgency is the middle of the range by which replicas admit requests.
	usualUrgency = 5
)

// verdict is what an attempt means for the request.
type verdict struct {
	result batch.Result
	// again is set if another attempt may be made.
	again bool
	// refusal is the answer if there is none.
	refusal *Refusal
}

// send places the request and sends it, again if need be.
func (x *exchange) send(ctx context.Context) *Refusal {
	clock := x.proxy.options.Clock
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	deadline := clock.AfterFunc(x.deadline.Sub(clock.Now()), cancel)
	defer deadline.Stop()
	for {
		grant, refusal := x.place(ctx)
		if refusal != nil {
			return refusal
		}
		x.grant = grant
		v := x.attempt(ctx, grant)
		grant.Done(v.result)
		x.learn(grant, v)
		if v.refusal == nil {
			return nil
		}
		x.excluded = append(x.excluded, grant.Replica.ID)
		if v.result.AtFault != "" {
			open, after := x.pool.OtherGroupAvailable(grant.Replica.ID)
			v.again = v.again && open
			if v.refusal.RetryAfter > 0 {
				v.refusal.RetryAfter = max(after, declinedRetryAfter)
			}
		}
		if !v.again || ctx.Err() != nil || x.deadline.Sub(clock.Now()) < minTimeLeft {
			return v.refusal
		}
		if refusal := x.barred(); refusal != nil {
			return refusal
		}
		if x.sent > 0 && !x.budget.TryRetry() {
			x.fault = "NoRetryBudget"
			return v.refusal
		}
	}
}

// learn tells what the attempt showed of the request itself.
func (x *exchange) learn(grant *batch.Grant, v verdict) {
	switch v.result.Verdict {
	case batch.Served:
		x.proxy.options.Blame.RequestCompleted(x.fingerprint)
	case batch.Interrupted:
		x.proxy.options.Blame.AttemptBroke(x.fingerprint, grant.Replica)
	}
}

// place waits for a place on a replica.
func (x *exchange) place(ctx context.Context) (*batch.Grant, *Refusal) {
	due := x.arrived.Add(time.Duration(waitShare*float64(x.route.Objective)) - x.age())
	grant, err := x.pool.Acquire(ctx, batch.AdmissionRequest{
		RequestID:   x.request.ID,
		Priority:    x.priority,
		Tokens:      x.request.PromptTokens + x.answerTokens(),
		OnTimeUntil: due,
		WaitUntil:   x.waitUntil(due),
		Deadline:    x.deadline,
		Excluded:    x.excluded,
	})
	if err == nil {
		return grant, nil
	}
	var refused *batch.RefusalError
	if !errors.As(err, &refused) {
		return nil, x.fail(http.StatusBadGateway, err.Error())
	}
	if ctx.Err() != nil {
		return nil, x.ended()
	}
	refusal := x.fail(http.StatusServiceUnavailable, string(refused.Reason))
	if refusal.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = refused.RetryAfter
	}
	return nil, refusal
}

// answerTokens estimates the size of the answer.
func (x *exchange) answerTokens() int {
	if x.request.AnswerTokens > 0 {
		return min(x.request.AnswerTokens, max(x.request.MaxTokens, 1))
	}
	return x.request.MaxTokens
}

// age returns the time since the client first asked, as far as it shows: a client
// that was told to come back has less time left than the route allows.
func (x *exchange) age() time.Duration {
	if x.request.TimeLeft <= 0 {
		return 0
	}
	return max(x.route.Timeout-x.request.TimeLeft, 0)
}

// waitUntil returns the time at which the request gives up waiting for a place. A
// client that can't be answered within the objective any more, because it came
// back, is better served late than told to come back once more.
func (x *exchange) waitUntil(due time.Time) time.Time {
	if now := x.proxy.options.Clock.Now(); !due.After(now) {
		wait := time.Duration(lateWaitShare * float64(x.deadline.Sub(now)))
		if x.route.Stream {
			wait = min(wait, x.patience(waitPatience))
		}
		return now.Add(wait)
	}
	if x.deadline.Before(due) {
		return x.deadline
	}
	return due
}

// patience returns a part of the time without an event after which the client leaves.
func (x *exchange) patience(share float64) time.Duration {
	return time.Duration(share * float64(cmp.Or(x.route.Patience, defaultPatience)))
}

// fail returns a refusal that promises no more than is known.
func (x *exchange) fail(status int, reason string) *Refusal {
	if x.mayHaveRun && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	return &Refusal{Status: status, Reason: reason}
}

// ended returns the refusal of a request whose time is over or whose client left.
func (x *exchange) ended() *Refusal {
	reason := "ClientGone"
	if !x.proxy.options.Clock.Now().Before(x.deadline) {
		reason = "DeadlineExceeded"
	}
	if x.mayHaveRun {
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: reason}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: startRetryAfter, Reason: reason}
}

// attempt sends the request to the replica and relays the answer.
func (x *exchange) attempt(ctx context.Context, grant *batch.Grant) verdict {
	clock := x.proxy.options.Clock
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.left.Store(false)
	if x.route.Repeat != track.RepeatNever && x.sent+1 < x.route.MaxAttempts {
		grant.OnEvacuate(func() {
			if x.budget.Remaining() > 1 {
				x.left.Store(true)
				cancel()
			}
		})
	}
	started := clock.Now()
	call := track.ReplicaCall{
		Replica: grant.Replica, Request: x.request.ID, Host: x.request.Host, Method: x.request.Method,
		Target: x.request.Target, Header: x.request.Header, Body: x.request.Body, Account: x.account.Name,
		TimeLeft: x.deadline.Sub(started), ResumeAfter: x.resumeAfter(), Urgency: usualUrgency,
	}
	var silence clockwork.Timer
	if x.route.Stream {
		silence = clock.AfterFunc(x.patience(silenceShare), cancel)
		defer silence.Stop()
	}
	answer, err := x.proxy.options.Caller.Call(attemptCtx, call)
	if err != nil {
		return x.lost(ctx, err)
	}
	defer answer.Body.Close()
	x.sent++
	switch {
	case answer.NotRun:
		return x.declined(answer)
	case answer.Status >= http.StatusMultipleChoices:
		x.mayHaveRun = true
		return x.failure(ctx, answer)
	case !answer.Sealed:
		x.mayHaveRun = true
		return x.broke(ctx, "AnswerNotSealed")
	}
	x.mayHaveRun = true
	if x.route.Stream {
		return x.relayStream(ctx, answer, silence, started)
	}
	return x.relayWhole(ctx, answer, started)
}

func (x *exchange) resumeAfter() string {
	if x.splitter != nil && x.splitter.LastID() != "" {
		return x.splitter.LastID()
	}
	return x.request.ResumeAfter
}

// lost judges an attempt without an answer.
func (x *exchange) lost(ctx context.Context, err error) verdict {
	x.fault = err.Error()
	if track.IsKind(err, track.Unavailable) {
		x.unreached++
		v := verdict{result: batch.Result{Verdict: batch.Unreachable}, again: x.unreached < maxUnreached}
		if ctx.Err() != nil {
			v.result.Verdict = batch.Canceled
			v.refusal = x.ended()
			return v
		}
		v.refusal = x.fail(http.StatusServiceUnavailable, "Unreachable")
		v.refusal.RetryAfter = startRetryAfter
		return v
	}
	x.sent++
	x.mayHaveRun = true
	return x.broke(ctx, "NoAnswer")
}

// broke judges an attempt whose answer broke off, never came or can't be used. The
// end of the request's own time says nothing of the replica.
func (x *exchange) broke(ctx context.Context, reason string) verdict {
	if ctx.Err() != nil {
		return verdict{result: batch.Result{Verdict: batch.Canceled}, refusal: x.ended()}
	}
	result := batch.Result{Verdict: batch.Interrupted}
	if x.left.Swap(false) {
		// The attempt was broken off here, which says nothing of the replica's health.
		result.Verdict, reason = batch.Canceled, "LeftSlowRank"
	}
	return verdict{
		result:  result,
		again:   x.mayRepeat(),
		refusal: &Refusal{Status: http.StatusBadGateway, Reason: reason},
	}
}

// mayRepeat reports whether the request may be sent to another replica although
// it may have run.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeat != track.RepeatNever && x.sent < x.route.MaxAttempts
}

// declined judges an answer that says that the request did not run.
func (x *exchange) declined(answer track.ReplicaAnswer) verdict {
	v := verdict{result: batch.Result{Verdict: batch.AtCapacity, AtFault: answer.AtFault}}
	v.again = x.sent < x.route.MaxAttempts
	if answer.OtherReplica && answer.AtFault == "" {
		v.result.Verdict = batch.WrongReplica
	}
	v.refusal = x.fail(http.StatusServiceUnavailable, "Declined")
	if v.refusal.Status == http.StatusServiceUnavailable {
		v.refusal.RetryAfter = declinedRetryAfter
	}
	x.fault = "status " + http.StatusText(answer.Status) + " at " + answer.AtFault
	return v
}

// declinedRetryAfter is the time after which a replica that was full is expected
// to have room.
const declinedRetryAfter = 300 * time.Millisecond

// failure judges a replica's own failure: another replica is tried if that is
// allowed, else the client gets the answer as it is.
func (x *exchange) failure(ctx context.Context, answer track.ReplicaAnswer) verdict {
	if answer.Status >= http.StatusInternalServerError && x.mayRepeat() && !x.committed && x.budget.Remaining() > 1 {
		v := x.broke(ctx, "ReplicaFailed")
		v.result.Verdict = batch.Failed
		return v
	}
	if x.committed || promisesNotRun(answer.Status) {
		v := x.broke(ctx, "ReplicaFailed")
		v.result.Verdict, v.again = batch.Failed, false
		return v
	}
	v := x.relayWhole(ctx, answer, x.proxy.options.Clock.Now())
	if answer.Status >= http.StatusInternalServerError {
		v.result.Verdict = batch.Failed
	}
	return v
}

// promisesNotRun reports whether clients read the status as a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
