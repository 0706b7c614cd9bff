package send

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/relay"
	"filberttrack.example/track/frames"
	"filberttrack.example/track/heads"
)

// maxErrorBodyBytes is the most bytes that are kept of the body of an error
// response.
const maxErrorBodyBytes = 16 << 10

// attempt is the state of one attempt in the entry.
type attempt struct {
	response  relay.Response
	clock     clockwork.Clock
	startedAt time.Time
	// firstByte is the time from the start to the first byte of the body; 0
	// before.
	firstByte time.Duration

	// checker detects frames that are out of sequence.
	checker *frames.Checker
	// transcript records a streamed chat completion; nil for other calls.
	transcript *frames.Transcript
	// status is the HTTP status of the backend server; 0 before its header
	// arrives.
	status int
	// errorBody is the start of the body if the status is an error.
	errorBody []byte
	// finalFrame is nil until the final frame arrives.
	finalFrame *track.Frame
	// err is the error with which the dispatch ended, if any.
	err error
	// callerErr is set if data couldn't be passed on to the caller.
	callerErr error
	// neverSent is set if the dispatch wasn't sent to the agent.
	neverSent bool

	// choice is the replica that runs the attempt.
	choice track.RoutingDecision
	// number is the number of the attempt, from 1.
	number uint32
	// isolated is set for a crash suspect that must not share its replica with
	// another suspect.
	isolated bool
	// race is set if the attempt may be hedged or is a hedge.
	race *hedgeRace
	// lostRace is set once the other attempt has responded first.
	lostRace bool
	// tokens is the number of chunks relayed, each of which contains one token.
	tokens int
}

// run dispatches the attempt and relays its frames.
func (a *attempt) run(ctx context.Context, e *execution) {
	choice := a.choice
	server, err := EnsureStamp(ctx, e.step.options.Dialer, choice.Server)
	if err != nil {
		a.err = err
		a.neverSent = true
		return
	}
	agent, err := e.step.options.Dialer.Dial(track.Instance{
		ID:      choice.Server.Agent,
		Zone:    choice.Server.Zone,
		Address: choice.Server.Address,
	})
	if err != nil {
		a.err = err
		a.neverSent = true
		return
	}
	a.err = agent.Run(ctx, attemptDispatch(e, a, server), a.handleFrame)
	a.neverSent = a.err != nil && track.IsKind(a.err, track.Unavailable)
}

// attemptDispatch returns the dispatch of an attempt to the chosen backend
// server.
func attemptDispatch(e *execution, a *attempt, server track.BackendServer) track.Dispatch {
	d := NewDispatch(&e.exchange.Call, a.clock.Now())
	d.Isolated = a.isolated
	d.ID = track.AttemptID{Request: e.exchange.Call.ID, Number: a.number}
	d.Agent = server.Agent
	d.Incarnation = server.Incarnation
	d.Stamp = server.Load.Stamp
	if e.resumeBody != nil {
		d.Body = e.resumeBody
	}
	return d
}

// NewDispatch returns a dispatch of the call without the fields that identify
// the attempt and the agent.
func NewDispatch(call *track.Call, now time.Time) track.Dispatch {
	return track.Dispatch{
		Kind:        call.Kind,
		Target:      call.Target,
		Method:      call.Method,
		Path:        call.Path,
		Query:       call.Query,
		Header:      call.Header,
		Body:        call.Body,
		Timeout:     call.Deadline.Sub(now),
		Priority:    call.Profile.Priority,
		Fingerprint: call.Fingerprint,
	}
}

// handleFrame processes one frame of the attempt. Frames out of sequence are
// dropped.
func (a *attempt) handleFrame(f track.Frame) error {
	if !a.checker.Accept(f) {
		return nil
	}
	if f.Kind == track.FrameHeader {
		// Agents of earlier versions don't check the heads of responses.
		if err := heads.Check(f.Status, f.Header); err != nil {
			return err
		}
	}
	if a.race != nil && f.Kind != track.FrameFinal {
		if f.Kind == track.FrameHeader && f.Status >= serverErrorStatus {
			a.status = f.Status
			return errServerError
		}
		if err := a.race.claimWin(a); err != nil {
			return err
		}
	}
	switch f.Kind {
	case track.FrameHeader:
		a.status = f.Status
		// An error status is evaluated together with its body after the attempt.
		_ = a.response.WriteHeader(f.Status, f.Header)
		return nil
	case track.FrameData:
		return a.handleData(f.Data)
	case track.FrameFinal:
		a.finalFrame = &f
	}
	return nil
}

// handleData passes data on to the caller, or keeps the start of an error body.
func (a *attempt) handleData(data []byte) error {
	if a.firstByte == 0 {
		a.firstByte = a.clock.Since(a.startedAt)
	}
	if a.status >= errorStatus {
		remaining := max(0, maxErrorBodyBytes-len(a.errorBody))
		a.errorBody = append(a.errorBody, data[:min(remaining, len(data))]...)
	}
	if a.status >= errorStatus && !a.relaysErrors() {
		return nil
	}
	if a.transcript != nil && a.status < errorStatus {
		var err error
		if data, err = a.transcript.Relay(data); err != nil || len(data) == 0 {
			return err
		}
	}
	a.countTokens(data)
	err := a.response.WriteData(data)
	if err != nil {
		a.callerErr = err
	}
	return err
}

// complete reports whether the final frame arrived and the dispatch didn't
// fail.
func (a *attempt) complete() bool {
	return a.finalFrame != nil && a.err == nil
}

// cutOff reports whether the final frame ends an incomplete response. A
// complete response has the outcome Completed unless its status is a server
// error.
func (a *attempt) cutOff() bool {
	return a.finalFrame.Crashed || (a.finalFrame.Outcome != track.Completed && a.status < serverErrorStatus)
}

// provenNotRun reports whether it is certain that the attempt didn't run and
// never will.
func (a *attempt) provenNotRun() bool {
	return a.neverSent || (a.finalFrame != nil && a.finalFrame.Outcome == track.NotRun)
}

// outcome returns what is known about whether the attempt ran.
func (a *attempt) outcome() track.Outcome {
	switch {
	case a.provenNotRun():
		return track.NotRun
	case a.complete():
		return a.finalFrame.Outcome
	}
	return track.Unknown
}

// replicaFailed reports whether the replica, not the request, was at fault.
func (a *attempt) replicaFailed() bool {
	if a.callerErr != nil {
		return false
	}
	return a.neverSent || a.status >= serverErrorStatus || (a.finalFrame != nil && a.finalFrame.Crashed) ||
		(a.finalFrame != nil && a.finalFrame.Refusal == track.RefusedBackendServerDown)
}
