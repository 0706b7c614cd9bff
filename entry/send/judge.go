package send

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"filberttrack.example/track"
	"filberttrack.example/track/drain"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/entry/relay"
)

// The lowest HTTP status of each class of error.
const (
	errorStatus       = http.StatusBadRequest
	serverErrorStatus = http.StatusInternalServerError
)

// relaysErrors reports whether error responses of a backend server are sent to
// the caller unchanged. Those to a chat completion are converted to the API's
// error body.
func (a *attempt) relaysErrors() bool {
	return a.response.RelaysErrors()
}

// evaluate decides the result of the call after an attempt has ended. It
// returns nil if the response is complete, or else the refusal and whether
// another replica may succeed.
func (e *execution) evaluate(ctx context.Context, choice track.RoutingDecision, a *attempt) (*flow.RefusalError, bool) {
	switch {
	case a.callerErr != nil:
		return e.newRefusal(http.StatusBadGateway, "answer_not_relayed", a.callerErr.Error()), false
	case ctx.Err() != nil || e.deadlinePassed():
		return e.contextRefusal(ctx), false
	case a.provenNotRun():
		e.excluded = append(e.excluded, choice.Server.Agent)
		return e.newRefusal(http.StatusServiceUnavailable, codeNoBackendServer, e.failureMessage(a)), true
	case !a.complete() || a.cutOff():
		e.excluded = append(e.excluded, choice.Server.Agent)
		if e.response.Committed() {
			return e.prepareResume(e.failureMessage(a))
		}
		e.reset()
		return e.newRefusal(http.StatusBadGateway, "backend_server_failed", e.failureMessage(a)), true
	case a.status >= errorStatus && e.response.Committed():
		// The error of a replica that was to continue the response is no part of it.
		e.excluded = append(e.excluded, choice.Server.Agent)
		message := fmt.Sprintf("the backend server can't continue the response: status %d", a.status)
		return e.newRefusal(http.StatusBadGateway, "backend_server_failed", message), true
	case a.status >= errorStatus && !a.relaysErrors():
		return e.engineRefusal(a), a.status >= serverErrorStatus
	case isRetryable(a.status) && e.mayRetry(ctx):
		e.excluded = append(e.excluded, choice.Server.Agent)
		e.reset()
		return e.newRefusal(a.status, "backend_server_failed", "the backend server is overloaded"), true
	}
	return e.finishResponse(a), false
}

// isRetryable reports whether another replica may succeed after a response with
// the status.
func isRetryable(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// finishResponse completes the response with the outcome of the attempt.
func (e *execution) finishResponse(a *attempt) *flow.RefusalError {
	err := e.response.Finish(a.finalFrame.Outcome)
	if err != nil {
		return e.newRefusal(http.StatusBadGateway, "answer_not_relayed", err.Error())
	}
	return nil
}

// newRefusal returns a refusal. Its outcome is Unknown if an attempt may have
// run.
func (e *execution) newRefusal(status int, code, message string) *flow.RefusalError {
	refusal := &flow.RefusalError{Status: status, Code: code, Message: message, Outcome: track.NotRun}
	if e.mayHaveRun {
		refusal.Outcome = track.Unknown
	}
	if status == http.StatusServiceUnavailable {
		refusal.RetryAfter = unavailableRetryAfter
	}
	return refusal
}

// contextRefusal returns the refusal for a call whose deadline has passed, that
// the caller has canceled, or that the end of this instance has cut off.
func (e *execution) contextRefusal(ctx context.Context) *flow.RefusalError {
	if e.deadlinePassed() || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return e.newRefusal(http.StatusGatewayTimeout, "deadline_exceeded", "the deadline of the request has passed")
	}
	if errors.Is(context.Cause(ctx), drain.ErrStopped) {
		status := http.StatusServiceUnavailable
		if e.mayHaveRun {
			status = http.StatusGatewayTimeout
		}
		return e.newRefusal(status, "stopping", "this instance stopped before the answer was complete")
	}
	return e.newRefusal(flow.StatusClientClosed, "caller_gone", "the caller closed the request")
}

// deadlinePassed reports whether the caller's deadline has passed. The agent
// may end the attempt at the deadline before the entry's context expires.
func (e *execution) deadlinePassed() bool {
	return !e.step.options.Clock.Now().Before(e.exchange.Call.Deadline)
}

// failureMessage returns the error message for a failed attempt.
func (e *execution) failureMessage(a *attempt) string {
	switch {
	case a.finalFrame != nil && a.finalFrame.Refusal != "":
		return "the agent refused the attempt: " + string(a.finalFrame.Refusal)
	case a.finalFrame != nil && a.finalFrame.Fault != "":
		return "the backend server failed: " + a.finalFrame.Fault
	case a.err != nil:
		return "the agent failed: " + a.err.Error()
	}
	return "the response ended early"
}

// engineRefusal converts an engine's error response to a refusal.
func (e *execution) engineRefusal(a *attempt) *flow.RefusalError {
	refusal := e.newRefusal(a.status, "engine_error", relay.EngineErrorMessage(a.errorBody))
	if a.status < serverErrorStatus {
		refusal.Outcome = track.Completed
	}
	return refusal
}
