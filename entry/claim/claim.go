// Package claim provides the step that runs a non-idempotent call at most once
// under its idempotency key.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/entry/relay"
	"filberttrack.example/track/heads"
)

// Options holds the dependencies and settings of a Step.
type Options struct {
	// Claims executes calls, or replays the response to an earlier request with
	// the same key.
	Claims *claims.Executor
	// Crashes quarantines requests that crash backend servers.
	Crashes *crash.Tracker
	Router  track.Router
	Dialer  track.AgentDialer
	Clock   clockwork.Clock
	Logger  *zap.Logger
	// Limits limits the size of a response.
	Limits relay.Limits
	// LogDecisions turns on a log line for each routing decision.
	LogDecisions bool
}

// Step runs non-idempotent calls and skips all others.
type Step struct {
	options Options
}

// New returns a Step.
func New(options Options) *Step {
	return &Step{options: options}
}

// String implements flow.Step.
func (*Step) String() string { return "run at most once" }

// Run implements flow.Step.
func (s *Step) Run(ctx context.Context, x *flow.Exchange) error {
	if !x.Call.NonIdempotent {
		return track.Skip("call is idempotent")
	}
	ctx, cancel := context.WithTimeout(ctx, x.Call.Deadline.Sub(s.options.Clock.Now()))
	defer cancel()
	r := &dispatcher{step: s, call: &x.Call}
	x.OutcomeCoversKey = true
	answer, err := s.options.Claims.Execute(ctx, newRequest(x), r)
	r.reportResult(track.AttemptResult{Outcome: track.NotRun})
	if err != nil {
		return asRefusal(err, answer.Outcome)
	}
	x.ResponseSent = true
	return s.writeResponse(x, answer)
}

// newRequest returns the request that the call makes. Its hash covers the method,
// path and query too, as the same body sent to another path is a different request.
func newRequest(x *flow.Exchange) claims.Request {
	call := &x.Call
	digest := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.Query} {
		// Writing to a hash never fails.
		_, _ = digest.Write([]byte(part + "\n"))
	}
	_, _ = digest.Write(call.Body)
	return claims.Request{
		Key:        claims.Key{Account: call.Account.Name, Service: call.Target, Name: call.IdempotencyKey},
		BodySHA256: hex.EncodeToString(digest.Sum(nil)),
		ID:         call.ID,
		FirstSend:  x.FirstSend(),
	}
}

// writeResponse sends the whole answer to the caller.
func (s *Step) writeResponse(x *flow.Exchange, answer claims.Answer) error {
	response := relay.NewResponse(x, s.options.Limits)
	hasHead := false
	for _, f := range answer.Frames {
		var err error
		switch f.Kind {
		case track.FrameHeader:
			// Agents of earlier versions don't check the heads of responses.
			if err := heads.Check(f.Status, f.Header); err != nil {
				return newRefusal(http.StatusBadGateway, "backend_server_failed", err.Error(), track.Unknown)
			}
			hasHead = true
			err = response.WriteHeader(f.Status, f.Header)
		case track.FrameData:
			err = response.WriteData(f.Data)
		}
		if err != nil {
			return newRefusal(http.StatusBadGateway, "answer_not_relayed", err.Error(), track.Unknown)
		}
	}
	final := answer.Frames[len(answer.Frames)-1]
	if !hasHead || final.Crashed || final.Fault != "" {
		return newRefusal(
			http.StatusBadGateway, "backend_server_failed", "the response is incomplete: "+final.Fault, answer.Outcome)
	}
	if answer.Replayed {
		x.Writer.Header().Set(flow.HeaderReplayed, "true")
	}
	if err := response.Finish(answer.Outcome); err != nil {
		return newRefusal(http.StatusBadGateway, "answer_not_relayed", err.Error(), track.Unknown)
	}
	return nil
}

// unavailableRetryAfter is the delay after which a caller may retry a call that
// was refused with status 503.
const unavailableRetryAfter = 2 * time.Second

// refusalByKind holds the status and the error code for each kind of failure.
var refusalByKind = map[claims.Kind]struct {
	status int
	code   string
}{
	claims.BodyMismatch:     {http.StatusUnprocessableEntity, "idempotency_key_reused"},
	claims.NotUUIDv7:        {http.StatusBadRequest, "invalid_idempotency_key"},
	claims.TooNew:           {http.StatusBadRequest, "idempotency_key_from_future"},
	claims.TooOld:           {http.StatusGone, "idempotency_key_too_old"},
	claims.RecordsExpired:   {http.StatusServiceUnavailable, "idempotency_key_not_known"},
	claims.AttemptLost:      {http.StatusConflict, "outcome_lost"},
	claims.AgentUnreachable: {http.StatusServiceUnavailable, "agent_unreachable"},
	claims.LogUnavailable:   {http.StatusServiceUnavailable, "log_unavailable"},
	claims.TooManyKeys:      {http.StatusServiceUnavailable, "too_many_keys"},
	claims.NoBackendServer:  {http.StatusServiceUnavailable, "no_backend_server"},
	claims.TimedOut:         {http.StatusGatewayTimeout, "deadline_exceeded"},
}

// asRefusal returns the refusal for an error of Execute.
func asRefusal(err error, outcome track.Outcome) error {
	var failure *claims.Error
	if !errors.As(err, &failure) {
		return newRefusal(http.StatusInternalServerError, "internal", err.Error(), outcome)
	}
	response, ok := refusalByKind[failure.Kind]
	if !ok {
		return newRefusal(http.StatusInternalServerError, "internal", err.Error(), outcome)
	}
	return newRefusal(response.status, response.code, err.Error(), outcome)
}

func newRefusal(status int, code, message string, outcome track.Outcome) error {
	refusal := &flow.RefusalError{Status: status, Code: code, Message: message, Outcome: outcome}
	if status == http.StatusServiceUnavailable {
		refusal.RetryAfter = unavailableRetryAfter
	}
	return refusal
}
