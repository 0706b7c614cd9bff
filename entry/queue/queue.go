// Package queue provides the step in which a request waits for admission, or is
// refused at once because it can't be completed before its deadline.
package queue

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/admit"
	"filberttrack.example/track/drain"
	"filberttrack.example/track/entry/flow"
)

// Step queues requests until the admission controller of their target decides.
type Step struct {
	controllers *admit.Controllers
	capacity    admit.Capacity
	logger      *zap.Logger
}

// New returns a Step.
func New(controllers *admit.Controllers, capacity admit.Capacity, logger *zap.Logger) *Step {
	return &Step{controllers: controllers, capacity: capacity, logger: logger}
}

// String implements flow.Step.
func (*Step) String() string { return "wait for admission" }

// Run implements flow.Step. The slot of an admitted request is released when
// the exchange ends. A refusal has the outcome NotRun.
func (s *Step) Run(ctx context.Context, x *flow.Exchange) error {
	if s.capacity.Slots(x.Call.Target) == 0 {
		// A later step may replay a stored response, which needs no replica.
		return track.Skip("no replica is reachable")
	}
	controller := s.controllers.ForTarget(x.Call.Target)
	ticket := controller.Enqueue(&x.Call)
	select {
	case d := <-ticket.Decided():
		if d.Admitted {
			x.OnEnd(func() { controller.Release(ticket) })
			return nil
		}
		return s.newRefusal(&x.Call, d)
	case <-ctx.Done():
		controller.Cancel(ticket)
		if errors.Is(context.Cause(ctx), drain.ErrStopped) {
			return &flow.RefusalError{
				Status: http.StatusServiceUnavailable, Code: "stopping", Message: "this instance is stopping; send the request again",
				Outcome: track.NotRun, RetryAfter: time.Second,
			}
		}
		return &flow.RefusalError{
			Status: flow.StatusClientClosed, Code: "caller_gone", Message: "the caller closed the request",
			Outcome: track.NotRun,
		}
	}
}

// newRefusal logs the refusal and returns it.
func (s *Step) newRefusal(call *track.Call, d admit.Decision) error {
	s.logger.Info("request refused",
		zap.String("RequestID", string(call.ID)),
		zap.String("Target", call.Target),
		zap.String("Account", call.Account.Name),
		zap.String("Reason", "NoTimeLeft"),
		zap.Duration("Waited", d.Waited),
		zap.Duration("RetryAfter", d.RetryAfter))
	return &flow.RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       "overloaded",
		Message:    "the request can't be completed before its deadline",
		Outcome:    track.NotRun,
		RetryAfter: d.RetryAfter,
	}
}
