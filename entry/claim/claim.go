// Package claim provides the step that runs a call which must not be repeated
// at most once under its idempotency key.
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
)

// Options holds what the step is made of.
type Options struct {
	Book *claims.Book
	// Crashes keeps requests that crash backend servers apart.
	Crashes *crash.Tracker
	Router  track.Router
	Dialer  track.AgentDialer
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Limits  relay.Limits
	// LogDecisions turns on a log line for each routing decision.
	LogDecisions bool
}

// Step runs calls that must not be repeated.
type Step struct {
	options Options
}

// New returns the step.
func New(options Options) *Step {
	return &Step{options: options}
}

// String returns the name of the step.
func (*Step) String() string { return "run at most once" }

// Run implements flow.Step.
func (s *Step) Run(ctx context.Context, x *flow.Exchange) error {
	if !x.Call.NonIdempotent {
		return track.Skip("call may be repeated")
	}
	ctx, cancel := context.WithTimeout(ctx, x.Call.Deadline.Sub(s.options.Clock.Now()))
	defer cancel()
	r := &runner{step: s, call: &x.Call}
	x.Judged = true
	answer, err := s.options.Book.Execute(ctx, workOf(x), r)
	r.release(track.Result{Outcome: track.NotRun})
	if err != nil {
		return refusalOf(err, answer.Outcome)
	}
	x.Answered = true
	return s.write(x, answer)
}

// workOf returns the work that the call asks for. The same bytes to another
// path are other work.
func workOf(x *flow.Exchange) claims.Work {
	call := &x.Call
	digest := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.Query} {
		// A hash never fails to take bytes.
		_, _ = digest.Write([]byte(part + "\n"))
	}
	_, _ = digest.Write(call.Body)
	return claims.Work{
		Key:        claims.Key{Account: call.Account.Name, Service: call.Target, Name: call.IdempotencyKey},
		BodySHA256: hex.EncodeToString(digest.Sum(nil)),
		Request:    call.ID,
		First:      x.FirstSend(),
	}
}

// write gives the caller the whole answer.
func (s *Step) write(x *flow.Exchange, answer claims.Answer) error {
	out := relay.For(x, s.options.Limits)
	status := 0
	for _, f := range answer.Frames {
		var err error
		switch f.Kind {
		case track.FrameHeader:
			status = f.Status
			err = out.Header(f.Status, f.Header)
		case track.FrameData:
			err = out.Data(f.Data)
		}
		if err != nil {
			return refuse(http.StatusBadGateway, "answer_not_relayed", err.Error(), track.Unknown)
		}
	}
	final := answer.Frames[len(answer.Frames)-1]
	if status == 0 || final.Crashed || final.Fault != "" {
		return refuse(http.StatusBadGateway, "backend_server_failed", "the answer is not whole: "+final.Fault, answer.Outcome)
	}
	if answer.Replayed {
		x.Writer.Header().Set(flow.HeaderReplayed, "true")
	}
	if err := out.Finish(answer.Outcome); err != nil {
		return refuse(http.StatusBadGateway, "answer_not_relayed", err.Error(), track.Unknown)
	}
	return nil
}

// retryAfterRefusal tells a caller when to send a refused call again.
const retryAfterRefusal = 2 * time.Second

// refusals maps the kinds of failure to the callers' interface.
var refusals = map[claims.Kind]struct {
	status int
	code   string
}{
	claims.Mismatch:    {http.StatusUnprocessableEntity, "idempotency_key_reused"},
	claims.Untimed:     {http.StatusBadRequest, "invalid_idempotency_key"},
	claims.TooNew:      {http.StatusBadRequest, "idempotency_key_from_future"},
	claims.TooOld:      {http.StatusGone, "idempotency_key_too_old"},
	claims.Unsure:      {http.StatusServiceUnavailable, "idempotency_key_not_known"},
	claims.Lost:        {http.StatusConflict, "outcome_lost"},
	claims.Unreachable: {http.StatusServiceUnavailable, "agent_unreachable"},
	claims.Unavailable: {http.StatusServiceUnavailable, "log_unavailable"},
	claims.Full:        {http.StatusServiceUnavailable, "too_many_keys"},
	claims.NoServer:    {http.StatusServiceUnavailable, "no_backend_server"},
	claims.TimedOut:    {http.StatusGatewayTimeout, "deadline_exceeded"},
}

func refusalOf(err error, outcome track.Outcome) error {
	var failure *claims.Error
	if !errors.As(err, &failure) {
		return refuse(http.StatusInternalServerError, "internal", err.Error(), outcome)
	}
	known, ok := refusals[failure.Kind]
	if !ok {
		return refuse(http.StatusInternalServerError, "internal", err.Error(), outcome)
	}
	return refuse(known.status, known.code, err.Error(), outcome)
}

func refuse(status int, code, message string, outcome track.Outcome) error {
	refusal := &flow.RefusalError{Status: status, Code: code, Message: message, Outcome: outcome}
	if status == http.StatusServiceUnavailable {
		refusal.RetryAfter = retryAfterRefusal
	}
	return refusal
}
