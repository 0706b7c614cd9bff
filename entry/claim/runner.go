package claim

import (
	"context"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/entry/send"
)

// runner chooses replicas for the attempts of one call and dispatches them. It
// implements claims.Runner.
type runner struct {
	step *Step
	call *track.Call
	// choice is the replica to which the present attempt is charged, if any.
	choice   *track.Choice
	excluded []track.InstanceID
}

// Choose implements claims.Runner.
func (r *runner) Choose(ctx context.Context) (track.BackendServer, error) {
	o := r.step.options
	r.release(track.Result{Outcome: track.NotRun})
	// A booking that crashed a backend server is not repeated, but one with the
	// same content under another key is a suspect.
	isolated := o.Crashes.Check(r.call.Fingerprint).Standing == crash.Suspect
	choice, err := o.Router.Pick(track.Query{
		Request: r.call.ID, Target: r.call.Target, Excluded: r.excluded, Isolated: isolated,
	})
	if o.LogDecisions {
		o.Logger.Info("route",
			zap.String("RequestID", string(r.call.ID)),
			zap.Int("Attempt", len(r.excluded)+1),
			zap.String("Target", r.call.Target),
			zap.String("Agent", string(choice.Server.Agent)),
			zap.Int("Candidates", choice.Candidates),
			zap.String("Reason", choice.Reason),
			zap.Error(err))
	}
	if err != nil {
		return track.BackendServer{}, err
	}
	r.excluded = append(r.excluded, choice.Server.Agent)
	r.choice = &choice
	return send.Stamped(ctx, o.Dialer, choice.Server)
}

// Dispatch implements claims.Runner.
func (r *runner) Dispatch(ctx context.Context, t claims.Ticket, relay track.FrameFunc) error {
	o := r.step.options
	agent, err := o.Dialer.Dial(track.Instance{ID: t.Server.Agent, Zone: t.Server.Zone, Address: t.Server.Address})
	if err != nil {
		return track.Fail("dial agent", track.Unavailable, err)
	}
	started := o.Clock.Now()
	d := send.DispatchOf(r.call, started)
	t.Fill(&d)
	verdict := o.Crashes.Begin(r.call.Fingerprint)
	if verdict.Refused {
		return track.Fail("run suspect of a crash", track.Unavailable, nil)
	}
	d.Isolated = verdict.Standing == crash.Suspect
	end := crash.RunResult{Isolated: d.Isolated && r.choice != nil && r.choice.Isolated}
	defer func() { o.Crashes.Finish(r.call.Fingerprint, end) }()
	result := track.Result{}
	err = agent.Run(ctx, d, func(f track.Frame) error {
		if result.FirstByte == 0 {
			result.FirstByte = o.Clock.Since(started)
		}
		if f.Kind == track.FrameFinal {
			result.Outcome = f.Outcome
			end.Crashed, end.Completed = f.Crashed, f.Outcome == track.Completed
			result.Down = f.Crashed || f.Refusal == track.RefusedDown
			result.Failed = result.Down
		}
		return relay(f)
	})
	result.Duration = o.Clock.Since(started)
	result.Failed = result.Failed || err != nil && ctx.Err() == nil
	r.release(result)
	return err
}

// release tells the router how the present attempt went.
func (r *runner) release(result track.Result) {
	if r.choice == nil {
		return
	}
	r.step.options.Router.Done(*r.choice, result)
	r.choice = nil
}
