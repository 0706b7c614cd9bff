package send

import (
	"context"
	"errors"
	"net/http"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/entry/relay"
)

// The lowest status of each class of error.
const (
	errorStatus       = http.StatusBadRequest
	serverErrorStatus = http.StatusInternalServerError
)

// relaysErrors reports whether the caller gets a backend server's error answers
// as they are. For a generation they are put into the API's error body.
func (t *transfer) relaysErrors() bool {
	return t.answer.RelaysErrors()
}

// judge decides what an ended attempt means for the call.
func (r *run) judge(ctx context.Context, choice track.Choice, t *transfer) (*flow.RefusalError, bool) {
	switch {
	case t.callerErr != nil:
		return r.refuse(http.StatusBadGateway, "answer_not_relayed", t.callerErr.Error()), false
	case ctx.Err() != nil || r.expired():
		return r.ended(ctx), false
	case t.provenNotRun():
		r.excluded = append(r.excluded, choice.Server.Agent)
		return r.refuse(http.StatusServiceUnavailable, codeNoServer, r.fault(t)), true
	case !t.whole() || t.cutOff():
		r.excluded = append(r.excluded, choice.Server.Agent)
		if r.answer.Committed() {
			return r.resume(r.fault(t))
		}
		r.reset()
		return r.refuse(http.StatusBadGateway, "backend_server_failed", r.fault(t)), true
	case t.status >= errorStatus && !t.relaysErrors():
		return r.engineError(t), t.status >= serverErrorStatus
	case retriable(t.status) && r.mayRetry(ctx):
		r.excluded = append(r.excluded, choice.Server.Agent)
		r.reset()
		return r.refuse(t.status, "backend_server_failed", "the backend server is overloaded"), true
	}
	return r.finish(t), false
}

// retriable reports whether another replica may do better than an answer with
// the status.
func retriable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (r *run) finish(t *transfer) *flow.RefusalError {
	err := r.answer.Finish(t.final.Outcome)
	if err != nil {
		return r.refuse(http.StatusBadGateway, "answer_not_relayed", err.Error())
	}
	return nil
}

// refuse returns a refusal with the outcome that the attempts so far allow.
func (r *run) refuse(status int, code, message string) *flow.RefusalError {
	refusal := &flow.RefusalError{Status: status, Code: code, Message: message, Outcome: track.NotRun}
	if r.tainted {
		refusal.Outcome = track.Unknown
	}
	if status == http.StatusServiceUnavailable {
		refusal.RetryAfter = retryAfterNoServer
	}
	return refusal
}

// ended returns the refusal for a call whose context has ended.
func (r *run) ended(ctx context.Context) *flow.RefusalError {
	if r.expired() || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return r.refuse(http.StatusGatewayTimeout, "deadline_exceeded", "the deadline of the request has passed")
	}
	return r.refuse(flow.StatusClientClosed, "caller_gone", "the caller closed the request")
}

// expired reports whether the caller's deadline has passed. The agent may notice
// it before the entry's context does.
func (r *run) expired() bool {
	return !r.step.options.Clock.Now().Before(r.exchange.Call.Deadline)
}

func (r *run) fault(t *transfer) string {
	switch {
	case t.final != nil && t.final.Refusal != "":
		return "the agent refused the attempt: " + string(t.final.Refusal)
	case t.final != nil && t.final.Fault != "":
		return "the backend server failed: " + t.final.Fault
	case t.err != nil:
		return "the agent failed: " + t.err.Error()
	}
	return "the answer ended early"
}

// engineError returns an engine's error answer as a refusal.
func (r *run) engineError(t *transfer) *flow.RefusalError {
	refusal := r.refuse(t.status, "engine_error", relay.ErrorMessage(t.errorBody))
	if t.status < serverErrorStatus {
		refusal.Outcome = track.Completed
	}
	return refusal
}
