package send

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/entry/screen"
	"filberttrack.example/track/frames"
	"filberttrack.example/track/parts"
	"filberttrack.example/track/retry"
)

// runAttempt runs one attempt, and hedges it with a second one if it is slow
// and the profile allows that. It returns nil if the caller has received the
// whole response, or else the refusal and whether another replica may succeed.
func (e *execution) runAttempt(ctx context.Context) (*flow.RefusalError, bool) {
	first, refusal := e.prepareAttempt(ctx)
	if refusal != nil {
		return refusal, false
	}
	last := e.runHedged(ctx, first)
	e.lastAttempt = last
	return e.evaluate(ctx, last.choice, last)
}

// prepareAttempt chooses a replica for the next attempt. A crash suspect gets
// one that runs no other suspect, for which it may have to wait.
func (e *execution) prepareAttempt(ctx context.Context) (*attempt, *flow.RefusalError) {
	call := &e.exchange.Call
	if left := e.partsBarredFor(); left > 0 {
		return nil, screen.PartRefusal(left, e.newRefusal(0, "", "").Outcome)
	}
	for {
		decision := e.beginRun(ctx)
		if decision.Refused {
			return nil, screen.QuarantineRefusal(call.Fingerprint, decision.RetryAfter, e.newRefusal(0, "", "").Outcome)
		}
		isolated := decision.Standing == crash.Suspect && !e.isolationAbandoned
		choice, err := e.pickReplica(isolated)
		if err != nil {
			e.step.options.Crashes.Finish(call.Fingerprint, crash.RunResult{})
			e.noReplica = true
			return nil, e.noReplicaRefusal(err)
		}
		if !isolated || choice.Isolated {
			return e.newAttempt(choice, isolated), nil
		}
		e.step.options.Router.Done(choice, track.AttemptResult{Outcome: track.NotRun})
		e.step.options.Crashes.Finish(call.Fingerprint, crash.RunResult{})
		e.waitForIsolation(ctx)
	}
}

// partsBarredFor returns the time after which a call with a barred part may be retried; 0 if no
// part is barred or this call is its trial.
func (e *execution) partsBarredFor() time.Duration {
	tracker, list := e.step.options.Parts, screen.PartsOf(&e.exchange.Call)
	if e.exchange.PartTrial {
		return tracker.ConvictedFor(list)
	}
	decision := tracker.Check(list)
	e.exchange.PartTrial = decision.Trial
	return decision.RetryAfter
}

// newAttempt returns the attempt that is to run on the chosen replica.
func (e *execution) newAttempt(choice track.RoutingDecision, isolated bool) *attempt {
	o := e.step.options
	return &attempt{
		response:   e.response,
		clock:      o.Clock,
		startedAt:  o.Clock.Now(),
		transcript: e.transcript,
		choice:     choice,
		number:     e.attemptNumber,
		isolated:   isolated,
		checker:    frames.NewChecker(track.AttemptID{Request: e.exchange.Call.ID, Number: e.attemptNumber}, o.Drops),
	}
}

// isolationRetryInterval is the delay before a crash suspect that found no
// replica free of other suspects looks for one again.
const isolationRetryInterval = 25 * time.Millisecond

// waitForIsolation delays a crash suspect while every replica runs another
// suspect. With more suspects than replicas the wait might not end, so isolation
// is abandoned after a quarter of the time left until the deadline.
func (e *execution) waitForIsolation(ctx context.Context) {
	now := e.step.options.Clock.Now()
	if e.isolationWaits == 0 {
		e.isolationDeadline = now.Add(e.exchange.Call.Deadline.Sub(now) / 4)
	}
	e.isolationWaits++
	if !e.sleep(ctx, isolationRetryInterval) || !e.step.options.Clock.Now().Before(e.isolationDeadline) {
		e.isolationAbandoned = true
	}
}

// beginRun asks whether the call may run now. A crash suspect waits until
// another run of the same content has ended, for at most half of the time left
// until the deadline.
func (e *execution) beginRun(ctx context.Context) crash.Decision {
	o := e.step.options
	call := &e.exchange.Call
	timeout := o.Clock.After(call.Deadline.Sub(o.Clock.Now()) / 2)
	for {
		decision := o.Crashes.Begin(call.Fingerprint)
		if decision.RunEnded == nil {
			return decision
		}
		select {
		case <-decision.RunEnded:
		case <-timeout:
			return decision
		case <-ctx.Done():
			return decision
		}
	}
}

// runHedged runs an attempt until it has ended. If it hasn't responded after
// the hedge delay of the profile, a second attempt is started, and the first of
// the two to respond wins. It returns the attempt that decides the result.
func (e *execution) runHedged(ctx context.Context, first *attempt) *attempt {
	call := &e.exchange.Call
	if call.Profile.Hedge.After <= 0 || e.resumeBody != nil || first.isolated {
		first.run(ctx, e)
		e.recordResult(ctx, first)
		return first
	}
	race := &hedgeRace{}
	firstDone := race.start(ctx, e, first)
	second, secondDone := e.startHedge(ctx, race, first, firstDone)
	deciding := first
	if secondDone != nil {
		deciding = race.wait(first, second, firstDone, secondDone)
		e.recordResult(ctx, second)
	} else {
		<-firstDone
	}
	e.recordResult(ctx, first)
	return deciding
}

// startHedge starts a second attempt if the first hasn't responded after the
// hedge delay. It returns nil if no second attempt was started.
func (e *execution) startHedge(
	ctx context.Context, race *hedgeRace, first *attempt, firstDone <-chan struct{},
) (*attempt, <-chan struct{}) {
	o := e.step.options
	call := &e.exchange.Call
	timer := o.Clock.NewTimer(call.Profile.Hedge.After)
	defer timer.Stop()
	select {
	case <-firstDone:
		return nil, nil
	case <-timer.Chan():
	}
	if race.hasWinner() {
		return nil, nil
	}
	hedge, reason := o.Retries.ShouldHedge(
		call, int(e.attemptNumber)-e.reroutes-e.isolationWaits, o.Clock.Since(first.startedAt))
	e.logDecision("hedge", hedge, string(reason), 0)
	if !hedge {
		return nil, nil
	}
	e.excluded = append(e.excluded, first.choice.Server.Agent)
	second, refusal := e.prepareAttempt(ctx)
	if refusal != nil {
		return nil, nil
	}
	return second, race.start(ctx, e, second)
}

// overloaded reports whether the replica refused the attempt because it is
// full. A full refusal of an isolated attempt doesn't count, as the agent
// refuses it if another isolated attempt is running.
func (a *attempt) overloaded() bool {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	}
	return a.finalFrame != nil && a.finalFrame.Refusal == track.RefusedFull && !a.isolated
}

// recordResult reports the result of an ended attempt to the router, the crash
// tracker and the retrier.
func (e *execution) recordResult(ctx context.Context, a *attempt) {
	o := e.step.options
	call := &e.exchange.Call
	o.Router.Done(a.choice, e.routerResult(ctx, a))
	e.exchange.GeneratedTokens += a.tokens
	succeeded := a.outcome() == track.Completed && a.status < serverErrorStatus && !a.finalFrame.Crashed
	o.Crashes.Finish(call.Fingerprint, crash.RunResult{
		Crashed:   a.finalFrame != nil && a.finalFrame.Crashed,
		Completed: succeeded,
		Isolated:  a.choice.Isolated,
	})
	e.recordPartsResult(a, succeeded)
	if a.provenNotRun() {
		return
	}
	e.mayHaveRun = true
	if !a.lostRace {
		o.Retries.RecordResult(call, a.choice.Server.Agent, succeeded)
	}
}

// soundAfter is the time after the first byte from which on a response shows that the parts of the
// prompt don't crash the backend server.
const soundAfter = 300 * time.Millisecond

// recordPartsResult reports to the parts tracker whether the backend server has crashed before it
// wrote a response.
func (e *execution) recordPartsResult(a *attempt, succeeded bool) {
	o := e.step.options
	list := screen.PartsOf(&e.exchange.Call)
	if len(list) == 0 {
		return
	}
	now := o.Clock.Now()
	sound := succeeded || a.firstByte > 0 && now.Sub(a.startedAt)-a.firstByte >= soundAfter
	switch {
	case sound:
		o.Parts.RunWasSound(list)
	case a.finalFrame != nil && a.finalFrame.Crashed:
		o.Parts.RunCrashed(parts.Run{
			Request: e.exchange.Call.Fingerprint, Parts: list, Trial: e.exchange.PartTrial, SentAt: a.startedAt, BrokeAt: now,
		}, parts.Crash{Replica: track.ReplicaID(a.choice.Server.Agent)})
	}
}

// routerResult returns the result of an attempt that is reported to the router.
func (e *execution) routerResult(ctx context.Context, a *attempt) track.AttemptResult {
	result := track.AttemptResult{
		Outcome:        a.outcome(),
		ReplicaAtFault: !a.lostRace && a.replicaFailed(),
		BackendServerDown: a.finalFrame != nil && (a.finalFrame.Crashed ||
			a.finalFrame.Refusal == track.RefusedBackendServerDown),
		Overloaded: a.overloaded() || ctx.Err() != nil && a.firstByte == 0 && e.deadlinePassed(),
		FirstByte:  a.firstByte,
		Duration:   e.step.options.Clock.Since(a.startedAt),
	}
	if a.lostRace && a.firstByte == 0 {
		// Had it not been canceled, it would have taken longer than this.
		result.FirstByte = result.Duration
	}
	return result
}

// waitForRetry decides whether the call is retried, and if so waits for the
// delay before the retry. Otherwise it sets in the refusal when the caller may
// retry.
func (e *execution) waitForRetry(ctx context.Context, refusal *flow.RefusalError) bool {
	o := e.step.options
	call := &e.exchange.Call
	if decision := o.Crashes.Check(call.Fingerprint); decision.Standing == crash.Quarantined {
		*refusal = *screen.QuarantineRefusal(call.Fingerprint, decision.RetryAfter, refusal.Outcome)
		return false
	}
	if e.lastAttempt.isolated && e.lastAttempt.notDelivered() && !e.lastAttempt.neverSent &&
		e.lastAttempt.finalFrame.Refusal == track.RefusedFull {
		e.excluded = e.excluded[:len(e.excluded)-1]
		e.waitForIsolation(ctx)
		return ctx.Err() == nil
	}
	failure := retry.Failure{
		Attempts:         int(e.attemptNumber) - e.reroutes - e.isolationWaits,
		Reroutes:         e.reroutes,
		Outcome:          e.lastAttempt.outcome(),
		Refused:          e.lastAttempt.notDelivered(),
		Crashed:          e.lastAttempt.finalFrame != nil && e.lastAttempt.finalFrame.Crashed,
		CrashRetryUsed:   e.crashRetryUsed,
		Replicas:         o.Capacity.Replicas(call.Target),
		ExpectedDuration: o.ExpectedDuration(call.Target),
	}
	decision := o.Retries.AfterFailure(call, failure)
	e.logDecision("retry", decision.Retry, string(decision.Reason), decision.Delay)
	if !decision.Retry {
		refusal.RetryAfter = decision.RetryAfter
		return false
	}
	switch decision.Reason {
	case retry.ReasonReroute:
		e.reroutes++
	case retry.ReasonBackendServerCrashed:
		e.crashRetryUsed = true
	}
	return e.sleep(ctx, decision.Delay)
}

// sleep waits for the delay. It reports whether the call is still running.
func (e *execution) sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	select {
	case <-e.step.options.Clock.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// logDecision logs a decision on a retry or a hedge, if such lines are enabled.
func (e *execution) logDecision(message string, again bool, reason string, delay time.Duration) {
	o := e.step.options
	if !o.LogDecisions {
		return
	}
	o.Logger.Info(message,
		zap.String("RequestID", string(e.exchange.Call.ID)),
		zap.Uint32("Attempt", e.attemptNumber),
		zap.Bool("Again", again),
		zap.String("Reason", reason),
		zap.Duration("Delay", delay))
}

// notDelivered reports whether the attempt never reached the backend server,
// because the agent refused it or because it couldn't be sent to the agent.
func (a *attempt) notDelivered() bool {
	if a == nil || !a.provenNotRun() {
		return false
	}
	return a.neverSent || a.finalFrame.Refusal != ""
}

// countTokens counts the chunks of a chat completion, one per line. Each of them
// contains one token.
func (a *attempt) countTokens(data []byte) {
	if a.status < errorStatus {
		a.tokens += bytes.Count(data, []byte("\n")) + 1
	}
}
