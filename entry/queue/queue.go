// Package queue provides the step in which a request waits for its turn, or
// hears at once that it can't be done in time.
package queue

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/admit"
	"filberttrack.example/track/entry/flow"
)

// Step admits requests.
type Step struct {
	gates    *admit.Controllers
	capacity admit.Capacity
	logger   *zap.Logger
}

// New returns the step.
func New(gates *admit.Controllers, capacity admit.Capacity, logger *zap.Logger) *Step {
	return &Step{gates: gates, capacity: capacity, logger: logger}
}

// String returns the name of the step.
func (*Step) String() string { return "wait for a turn" }

// Run implements flow.Step.
func (s *Step) Run(ctx context.Context, x *flow.Exchange) error {
	if s.capacity.Slots(x.Call.Target) == 0 {
		// An answer that is stored may still be had without a replica.
		return track.Skip("no replica within reach")
	}
	gate := s.gates.ForTarget(x.Call.Target)
	ticket := gate.Enqueue(&x.Call)
	select {
	case d := <-ticket.Decided():
		if d.Admitted {
			x.Release(func() { gate.Release(ticket) })
			return nil
		}
		return s.refuse(&x.Call, d)
	case <-ctx.Done():
		gate.Cancel(ticket)
		return &flow.RefusalError{
			Status: flow.StatusClientClosed, Code: "caller_gone", Message: "the caller closed the request",
			Outcome: track.NotRun,
		}
	}
}

func (s *Step) refuse(call *track.Call, d admit.Decision) error {
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
		Message:    "the request can't be done by its deadline",
		Outcome:    track.NotRun,
		RetryAfter: d.RetryAfter,
	}
}
