package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/frames"
)

// recall asks the agent of a claim what became of it. It returns nil if the
// attempt never ran and never will.
func (x *execution) recall(ctx context.Context, view View) (*Answer, error) {
	const op = "recall"
	settings := x.book.options.Settings
	if !x.own(view) {
		x.sleep(ctx, settings.BarDelay-x.book.options.Clock.Since(view.ReadAt))
	}
	agent, err := x.book.options.Agents.Dial(track.Instance{
		ID: view.Claim.Agent, Role: track.RoleAgent, Address: view.Claim.Address,
	})
	if err != nil {
		return nil, track.Fail(op, Unreachable, err)
	}
	for range settings.RecallAttempts {
		var state track.AttemptState
		state, err = x.ask(ctx, agent, view)
		if err == nil {
			answer, known := x.settle(ctx, agent, view, state)
			if known && answer == nil && state == track.AttemptForgotten {
				return nil, track.Fail(op, Lost, nil)
			}
			if known {
				return answer, nil
			}
		}
		x.sleep(ctx, settings.RecallBackoff)
	}
	if ctx.Err() != nil {
		return nil, track.Fail(op, TimedOut, context.Cause(ctx))
	}
	return nil, track.Fail(op, Unreachable, err)
}

// ask bars the attempt of a claim, unless it has started.
func (x *execution) ask(ctx context.Context, agent track.Agent, view View) (track.AttemptState, error) {
	ctx, cancel := context.WithTimeout(ctx, x.book.options.Settings.RecallTimeout)
	defer cancel()
	return agent.Bar(ctx, view.Claim.Ref())
}

// settle acts on the state that the agent found. It reports whether the matter
// is known; with no answer the attempt is barred or forgotten.
func (x *execution) settle(ctx context.Context, agent track.Agent, view View, state track.AttemptState) (*Answer, bool) {
	switch state {
	case track.AttemptBarred:
		return nil, true
	case track.AttemptStarted, track.AttemptDone:
		return x.replay(ctx, agent, view)
	}
	_, err := x.book.add(ctx, Record{Kind: KindClose, Close: &Close{
		Key: x.work.Key, Offset: view.Offset, Reason: Forsaken,
	}})
	if err != nil {
		x.book.options.Logger.Debug("claim not closed", zap.Error(err))
	}
	return nil, true
}

// replay fetches the stored answer, waiting for the end of the attempt.
func (x *execution) replay(ctx context.Context, agent track.Agent, view View) (*Answer, bool) {
	answer, err := frames.Collect(view.Claim.Attempt, x.book.options.Drops, func(send track.FrameFunc) error {
		return agent.Replay(ctx, view.Claim.Ref(), send)
	})
	if err != nil {
		return nil, false
	}
	final := answer[len(answer)-1]
	if final.Outcome == track.NotRun {
		return nil, true
	}
	x.keep(ctx, view, answer)
	return &Answer{Outcome: final.Outcome, Frames: answer, Replayed: !x.own(view)}, true
}

func (x *execution) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-x.book.options.Clock.After(d):
	}
}
