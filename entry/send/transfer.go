package send

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/relay"
	"filberttrack.example/track/frames"
)

// maxErrorBytes bounds what is kept of an error answer of an engine.
const maxErrorBytes = 16 << 10

// transfer is the state of one attempt as seen from the entry.
type transfer struct {
	answer    relay.Answer
	clock     clockwork.Clock
	started   time.Time
	firstByte time.Duration

	checker *frames.Checker
	// transcript follows a streamed generation; nil for other calls.
	transcript *frames.Transcript
	status     int
	errorBody  []byte
	final      *track.Frame
	err        error
	// callerErr is set if the caller's connection failed.
	callerErr error
	neverSent bool

	choice track.Choice
	// number is the number of the attempt, from 1.
	number uint32
	// isolated is set for a suspect of a crash.
	isolated bool
	// contest is set if the attempt may get a rival; lost once the rival answers.
	contest *contest
	lost    bool
	// tokens counts the chunks received.
	tokens int
}

// run dispatches the attempt and relays its frames.
func (t *transfer) run(ctx context.Context, r *run) {
	choice := t.choice
	server, err := Stamped(ctx, r.step.options.Dialer, choice.Server)
	if err != nil {
		t.err = err
		t.neverSent = true
		return
	}
	agent, err := r.step.options.Dialer.Dial(track.Instance{
		ID:      choice.Server.Agent,
		Zone:    choice.Server.Zone,
		Address: choice.Server.Address,
	})
	if err != nil {
		t.err = err
		t.neverSent = true
		return
	}
	t.err = agent.Run(ctx, dispatchOf(r, t, server), t.frame)
	t.neverSent = t.err != nil && track.IsKind(t.err, track.Unavailable)
}

// dispatchOf returns the dispatch of an attempt at the call.
func dispatchOf(r *run, t *transfer, server track.BackendServer) track.Dispatch {
	d := DispatchOf(&r.exchange.Call, t.clock.Now())
	d.Isolated = t.isolated
	d.ID = track.AttemptID{Request: r.exchange.Call.ID, Number: t.number}
	d.Agent = server.Agent
	d.Incarnation = server.Incarnation
	d.Stamp = server.Load.Stamp
	if r.body != nil {
		d.Body = r.body
	}
	return d
}

// DispatchOf returns a dispatch of the call that names no attempt and no agent.
func DispatchOf(call *track.Call, now time.Time) track.Dispatch {
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

// frame takes one frame of the attempt. Frames out of sequence are dropped.
func (t *transfer) frame(f track.Frame) error {
	if !t.checker.Accept(f) {
		return nil
	}
	if t.contest != nil && f.Kind != track.FrameFinal {
		if f.Kind == track.FrameHeader && f.Status >= serverErrorStatus {
			t.status = f.Status
			return errUnfit
		}
		if err := t.contest.claim(t); err != nil {
			return err
		}
	}
	switch f.Kind {
	case track.FrameHeader:
		t.status = f.Status
		// An error status is judged after the attempt, with its body.
		_ = t.answer.Header(f.Status, f.Header)
		return nil
	case track.FrameData:
		return t.data(f.Data)
	case track.FrameFinal:
		t.final = &f
	}
	return nil
}

func (t *transfer) data(data []byte) error {
	if t.firstByte == 0 {
		t.firstByte = t.clock.Since(t.started)
	}
	if t.status >= errorStatus {
		room := max(0, maxErrorBytes-len(t.errorBody))
		t.errorBody = append(t.errorBody, data[:min(room, len(data))]...)
	}
	if t.status >= errorStatus && !t.relaysErrors() {
		return nil
	}
	if t.transcript != nil && t.status < errorStatus {
		var err error
		if data, err = t.transcript.Relay(data); err != nil || len(data) == 0 {
			return err
		}
	}
	t.countTokens(data)
	err := t.answer.Data(data)
	if err != nil {
		t.callerErr = err
	}
	return err
}

// whole reports whether the final frame arrived.
func (t *transfer) whole() bool {
	return t.final != nil && t.err == nil
}

// cutOff reports whether the final frame ends an answer that is not whole. Only
// an error status leaves the outcome of a whole answer open.
func (t *transfer) cutOff() bool {
	return t.final.Crashed || (t.final.Outcome != track.Completed && t.status < serverErrorStatus)
}

// provenNotRun reports whether the attempt certainly never ran and never will.
func (t *transfer) provenNotRun() bool {
	return t.neverSent || (t.final != nil && t.final.Outcome == track.NotRun)
}

func (t *transfer) outcome() track.Outcome {
	switch {
	case t.provenNotRun():
		return track.NotRun
	case t.whole():
		return t.final.Outcome
	}
	return track.Unknown
}

// replicaFailed reports whether the replica, not the request, was at fault.
func (t *transfer) replicaFailed() bool {
	if t.callerErr != nil {
		return false
	}
	return t.neverSent || t.status >= serverErrorStatus || (t.final != nil && t.final.Crashed) ||
		(t.final != nil && t.final.Refusal == track.RefusedDown)
}
