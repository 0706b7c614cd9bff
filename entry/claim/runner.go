package claim

import (
	"context"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/entry/send"
)

// dispatcher implements claims.Dispatcher for one call: it chooses replicas for the
// attempts and dispatches them.
type dispatcher struct {
	step *Step
	call *track.Call
	// choice is the replica of the current attempt, until its result is reported
	// to the router; nil otherwise.
	choice *track.RoutingDecision
	// excluded lists the agents chosen so far.
	excluded []track.InstanceID
}

// ChooseServer implements claims.Dispatcher.
func (r *dispatcher) ChooseServer(ctx context.Context) (track.BackendServer, error) {
	o := r.step.options
	r.reportResult(track.AttemptResult{Outcome: track.NotRun})
	// A call that crashed a backend server is not repeated under its own key, but
	// a call with the same content under another key is a suspect.
	isolated := o.Crashes.Check(r.call.Fingerprint).Standing == crash.Suspect
	choice, err := o.Router.Pick(track.RoutingQuery{
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
	return send.EnsureStamp(ctx, o.Dialer, choice.Server)
}

// Dispatch implements claims.Dispatcher.
func (r *dispatcher) Dispatch(ctx context.Context, attempt claims.ClaimedAttempt, sendFrame track.FrameFunc) error {
	o := r.step.options
	agent, err := o.Dialer.Dial(track.Instance{
		ID: attempt.Server.Agent, Zone: attempt.Server.Zone, Address: attempt.Server.Address,
	})
	if err != nil {
		return track.Fail("dial agent", track.Unavailable, err)
	}
	started := o.Clock.Now()
	dispatch := send.NewDispatch(r.call, started)
	attempt.SetDispatchFields(&dispatch)
	decision := o.Crashes.Begin(r.call.Fingerprint)
	if decision.Refused {
		return track.Fail("run crash suspect", track.Unavailable, nil)
	}
	dispatch.Isolated = decision.Standing == crash.Suspect
	runResult := crash.RunResult{Isolated: dispatch.Isolated && r.choice != nil && r.choice.Isolated}
	defer func() { o.Crashes.Finish(r.call.Fingerprint, runResult) }()
	result := track.AttemptResult{}
	err = agent.Run(ctx, dispatch, func(f track.Frame) error {
		if result.FirstByte == 0 {
			result.FirstByte = o.Clock.Since(started)
		}
		if f.Kind == track.FrameFinal {
			result.Outcome = f.Outcome
			runResult.Crashed, runResult.Completed = f.Crashed, f.Outcome == track.Completed
			result.BackendServerDown = f.Crashed || f.Refusal == track.RefusedBackendServerDown
			result.ReplicaAtFault = result.BackendServerDown
		}
		return sendFrame(f)
	})
	result.Duration = o.Clock.Since(started)
	result.ReplicaAtFault = result.ReplicaAtFault || err != nil && ctx.Err() == nil
	r.reportResult(result)
	return err
}

// reportResult reports the result of the current attempt to the router, unless
// that was done already.
func (r *dispatcher) reportResult(result track.AttemptResult) {
	if r.choice == nil {
		return
	}
	r.step.options.Router.Done(*r.choice, result)
	r.choice = nil
}
