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
	"filberttrack.example/track/retry"
)

// attempt runs one attempt, and a second one beside it if the first is slow and
// the profile allows that. It returns nil if the caller has the whole answer;
// otherwise the refusal to give and whether another replica may do better.
func (r *run) attempt(ctx context.Context) (*flow.RefusalError, bool) {
	first, refusal := r.prepare(ctx)
	if refusal != nil {
		return refusal, false
	}
	last := r.race(ctx, first)
	r.latest = last
	return r.judge(ctx, last.choice, last)
}

// prepare chooses a replica for the next attempt.
func (r *run) prepare(ctx context.Context) (*transfer, *flow.RefusalError) {
	call := &r.exchange.Call
	for {
		v := r.begin(ctx)
		if v.Refused {
			return nil, screen.Refusal(call.Fingerprint, v.RetryAfter, r.refuse(0, "", "").Outcome)
		}
		isolated := v.Standing == crash.Suspect && !r.crowded
		choice, err := r.pick(isolated)
		if err != nil {
			r.step.options.Crashes.Finish(call.Fingerprint, crash.RunResult{})
			r.unplaced = true
			return nil, r.noServer(err)
		}
		if !isolated || choice.Isolated {
			return r.transfer(choice, isolated), nil
		}
		r.step.options.Router.Done(choice, track.Result{Outcome: track.NotRun})
		r.step.options.Crashes.Finish(call.Fingerprint, crash.RunResult{})
		r.awaitTurn(ctx)
	}
}

func (r *run) transfer(choice track.Choice, isolated bool) *transfer {
	o := r.step.options
	return &transfer{
		answer:     r.answer,
		clock:      o.Clock,
		started:    o.Clock.Now(),
		transcript: r.transcript,
		choice:     choice,
		number:     r.number,
		isolated:   isolated,
		checker:    frames.NewChecker(track.AttemptID{Request: r.exchange.Call.ID, Number: r.number}, o.Drops),
	}
}

// turnInterval is the time between two looks for a replica without a suspect.
const turnInterval = 25 * time.Millisecond

// awaitTurn lets a suspect wait until others have run. With more suspects than
// replicas it runs beside another one after a quarter of its time.
func (r *run) awaitTurn(ctx context.Context) {
	now := r.step.options.Clock.Now()
	if r.turns == 0 {
		r.patience = now.Add(r.exchange.Call.Deadline.Sub(now) / 4)
	}
	r.turns++
	if !r.pause(ctx, turnInterval) || !r.step.options.Clock.Now().Before(r.patience) {
		r.crowded = true
	}
}

// begin asks whether the call may run now. A suspect of a crash waits for another
// run of the same content, for half of its time at most.
func (r *run) begin(ctx context.Context) crash.Decision {
	o := r.step.options
	call := &r.exchange.Call
	patience := o.Clock.After(call.Deadline.Sub(o.Clock.Now()) / 2)
	for {
		v := o.Crashes.Begin(call.Fingerprint)
		if v.RunEnded == nil {
			return v
		}
		select {
		case <-v.RunEnded:
		case <-patience:
			return v
		case <-ctx.Done():
			return v
		}
	}
}

// race runs an attempt to its end. While nothing has come of it for the time that
// the profile names, a second one is sent, and the first to answer wins.
func (r *run) race(ctx context.Context, first *transfer) *transfer {
	call := &r.exchange.Call
	if call.Profile.Hedge.After <= 0 || r.body != nil || first.isolated {
		first.run(ctx, r)
		r.settle(ctx, first)
		return first
	}
	c := &contest{}
	firstDone := c.start(ctx, r, first)
	second, secondDone := r.hedge(ctx, c, first, firstDone)
	last := first
	if secondDone != nil {
		last = c.wait(first, second, firstDone, secondDone)
		r.settle(ctx, second)
	} else {
		<-firstDone
	}
	r.settle(ctx, first)
	return last
}

// hedge sends a second attempt if the first has not answered in time.
func (r *run) hedge(ctx context.Context, c *contest, first *transfer, firstDone <-chan struct{}) (*transfer, <-chan struct{}) {
	o := r.step.options
	call := &r.exchange.Call
	timer := o.Clock.NewTimer(call.Profile.Hedge.After)
	defer timer.Stop()
	select {
	case <-firstDone:
		return nil, nil
	case <-timer.Chan():
	}
	if c.decided() {
		return nil, nil
	}
	again, reason := o.Retries.ShouldHedge(call, int(r.number)-r.reroutes-r.turns, o.Clock.Since(first.started))
	r.logDecision("hedge", again, string(reason), 0)
	if !again {
		return nil, nil
	}
	r.excluded = append(r.excluded, first.choice.Server.Agent)
	second, refusal := r.prepare(ctx)
	if refusal != nil {
		return nil, nil
	}
	return second, c.start(ctx, r, second)
}

// overloaded reports whether the replica turned the attempt away for want of room.
func (t *transfer) overloaded() bool {
	switch t.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	}
	return t.final != nil && t.final.Refusal == track.RefusedFull && !t.isolated
}

// settle tells everybody concerned how an attempt ended.
func (r *run) settle(ctx context.Context, t *transfer) {
	o := r.step.options
	call := &r.exchange.Call
	o.Router.Done(t.choice, r.result(ctx, t))
	r.exchange.Tokens += t.tokens
	succeeded := t.outcome() == track.Completed && t.status < serverErrorStatus && !t.final.Crashed
	o.Crashes.Finish(call.Fingerprint, crash.RunResult{
		Crashed:   t.final != nil && t.final.Crashed,
		Completed: succeeded,
		Isolated:  t.choice.Isolated,
	})
	if t.provenNotRun() {
		return
	}
	r.tainted = true
	if !t.lost {
		o.Retries.RecordResult(call, t.choice.Server.Agent, succeeded)
	}
}

// result returns what the router is to learn from an attempt.
func (r *run) result(ctx context.Context, t *transfer) track.Result {
	result := track.Result{
		Outcome:    t.outcome(),
		Failed:     !t.lost && t.replicaFailed(),
		Down:       t.final != nil && (t.final.Crashed || t.final.Refusal == track.RefusedDown),
		Overloaded: t.overloaded() || ctx.Err() != nil && t.firstByte == 0 && r.expired(),
		FirstByte:  t.firstByte,
		Duration:   r.step.options.Clock.Since(t.started),
	}
	if t.lost && t.firstByte == 0 {
		// It would have taken longer than this.
		result.FirstByte = result.Duration
	}
	return result
}

// again decides whether the call is tried again, and waits for that. If not, it
// puts into the refusal when the caller may come back.
func (r *run) again(ctx context.Context, refusal *flow.RefusalError) bool {
	o := r.step.options
	call := &r.exchange.Call
	if v := o.Crashes.Check(call.Fingerprint); v.Standing == crash.Quarantined {
		*refusal = *screen.Refusal(call.Fingerprint, v.RetryAfter, refusal.Outcome)
		return false
	}
	if r.latest.isolated && r.latest.refused() && !r.latest.neverSent && r.latest.final.Refusal == track.RefusedFull {
		r.excluded = r.excluded[:len(r.excluded)-1]
		r.awaitTurn(ctx)
		return ctx.Err() == nil
	}
	f := retry.Failure{
		Attempts:         int(r.number) - r.reroutes - r.turns,
		Reroutes:         r.reroutes,
		Outcome:          r.latest.outcome(),
		Refused:          r.latest.refused(),
		Crashed:          r.latest.final != nil && r.latest.final.Crashed,
		CrashRetryUsed:   r.spared,
		Replicas:         o.Capacity.Replicas(call.Target),
		ExpectedDuration: o.Expected(call.Target),
	}
	d := o.Retries.AfterFailure(call, f)
	r.logDecision("retry", d.Retry, string(d.Reason), d.Delay)
	if !d.Retry {
		refusal.RetryAfter = d.RetryAfter
		return false
	}
	switch d.Reason {
	case retry.ReasonReroute:
		r.reroutes++
	case retry.ReasonBackendServerCrashed:
		r.spared = true
	}
	return r.pause(ctx, d.Delay)
}

// pause waits before the next attempt. It reports whether the call still runs.
func (r *run) pause(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	select {
	case <-r.step.options.Clock.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) logDecision(kind string, again bool, reason string, delay time.Duration) {
	o := r.step.options
	if !o.LogDecisions {
		return
	}
	o.Logger.Info(kind,
		zap.String("RequestID", string(r.exchange.Call.ID)),
		zap.Uint32("Attempt", r.number),
		zap.Bool("Again", again),
		zap.String("Reason", reason),
		zap.Duration("Delay", delay))
}

// refused reports whether the attempt never reached the backend server: the agent
// declined it, or the dispatch never left.
func (t *transfer) refused() bool {
	if t == nil || !t.provenNotRun() {
		return false
	}
	return t.neverSent || t.final.Refusal != ""
}

// countTokens counts the chunks of a generation, each of which carries a token.
func (t *transfer) countTokens(data []byte) {
	if t.status < errorStatus {
		t.tokens += bytes.Count(data, []byte("\n")) + 1
	}
}
