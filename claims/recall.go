package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/frames"
)

// resolveClaim asks the agent of the claim that holds the key for the result of the
// attempt. It returns a nil answer if the attempt never ran and never will. The error
// is of kind AttemptLost, AgentUnreachable or TimedOut.
func (e *execution) resolveClaim(ctx context.Context, info KeyInfo) (*Answer, error) {
	const op = "recall"
	settings := e.executor.options.Settings
	if !e.isOwnClaim(info) {
		e.sleep(ctx, settings.BarDelay-e.executor.options.Clock.Since(info.ReadAt))
	}
	agent, err := e.executor.options.Dialer.Dial(track.Instance{
		ID: info.Claim.Agent, Role: track.RoleAgent, Address: info.Claim.Address,
	})
	if err != nil {
		return nil, track.Fail(op, AgentUnreachable, err)
	}
	for range settings.MaxAgentQueries {
		var state track.AttemptState
		state, err = e.barAttempt(ctx, agent, info)
		if err == nil {
			answer, resolved := e.handleAttemptState(ctx, agent, info, state)
			if resolved && answer == nil && state == track.AttemptForgotten {
				return nil, track.Fail(op, AttemptLost, nil)
			}
			if resolved {
				return answer, nil
			}
		}
		e.sleep(ctx, settings.AgentQueryBackoff)
	}
	if ctx.Err() != nil {
		return nil, track.Fail(op, TimedOut, context.Cause(ctx))
	}
	return nil, track.Fail(op, AgentUnreachable, err)
}

// barAttempt makes sure that the attempt of a claim never starts, unless it has
// started already, and returns the state of the attempt.
func (e *execution) barAttempt(ctx context.Context, agent track.Agent, info KeyInfo) (track.AttemptState, error) {
	ctx, cancel := context.WithTimeout(ctx, e.executor.options.Settings.AgentQueryTimeout)
	defer cancel()
	return agent.PreventStart(ctx, info.Claim.Ref())
}

// handleAttemptState fetches the answer of an attempt that started, and closes the
// claim of a forgotten one. It reports whether it is known what became of the
// attempt. If so, but there is no answer, the attempt is barred or forgotten.
func (e *execution) handleAttemptState(
	ctx context.Context, agent track.Agent, info KeyInfo, state track.AttemptState,
) (*Answer, bool) {
	switch state {
	case track.AttemptBarred:
		return nil, true
	case track.AttemptStarted, track.AttemptDone:
		return e.fetchAnswer(ctx, agent, info)
	}
	_, err := e.executor.appendRecords(ctx, Record{Kind: KindClose, Close: &Close{
		Key: e.request.Key, Offset: info.ClaimOffset, Reason: ReasonForgotten,
	}})
	if err != nil {
		e.executor.options.Logger.Debug("claim of a forgotten attempt not closed", zap.Error(err))
	}
	return nil, true
}

// fetchAnswer waits for the attempt to end and returns the answer that its agent
// has stored. The answer is nil if the attempt did not run. It reports false if the
// whole answer could not be fetched.
func (e *execution) fetchAnswer(ctx context.Context, agent track.Agent, info KeyInfo) (*Answer, bool) {
	answer, err := frames.Collect(info.Claim.Attempt, e.executor.options.Drops, func(send track.FrameFunc) error {
		return agent.Replay(ctx, info.Claim.Ref(), send)
	})
	if err != nil {
		return nil, false
	}
	final := answer[len(answer)-1]
	if final.Outcome == track.NotRun {
		return nil, true
	}
	e.storeResult(ctx, info, answer)
	return &Answer{Outcome: final.Outcome, Frames: answer, Replayed: !e.isOwnClaim(info)}, true
}

func (e *execution) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-e.executor.options.Clock.After(d):
	}
}
