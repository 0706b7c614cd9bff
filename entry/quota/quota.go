// Package quota provides the step that holds client accounts to their limits.
package quota

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/limit"
)

// usualTokens is the estimate for a generation that names no bound.
const usualTokens = 256

// Step refuses requests of accounts that are over a limit.
type Step struct {
	limiter *limit.Limiter
	logger  *zap.Logger
}

// New returns the step.
func New(limiter *limit.Limiter, logger *zap.Logger) *Step {
	return &Step{limiter: limiter, logger: logger}
}

// String returns the name of the step.
func (*Step) String() string { return "hold accounts to their limits" }

// Run implements flow.Step.
func (s *Step) Run(_ context.Context, x *flow.Exchange) error {
	call := &x.Call
	estimate := estimated(call)
	v := s.limiter.Admit(call.Account, estimate)
	if v.Admitted {
		x.Release(func() { s.limiter.AdjustTokens(call.Account, estimate, x.Tokens) })
		return nil
	}
	s.logger.Info("request refused",
		zap.String("RequestID", string(call.ID)),
		zap.String("Account", call.Account.Name),
		zap.String("Reason", string(v.Reason)),
		zap.Duration("RetryAfter", v.RetryAfter))
	return &flow.RefusalError{
		Status:     http.StatusTooManyRequests,
		Code:       "rate_limited",
		Message:    "the account is over its limit of " + string(v.Reason),
		Outcome:    track.NotRun,
		RetryAfter: v.RetryAfter,
	}
}

// estimated returns the tokens that a call is expected to generate.
func estimated(call *track.Call) int {
	switch {
	case call.Kind != track.Generation:
		return 0
	case call.MaxTokens > 0:
		return min(call.MaxTokens, usualTokens)
	}
	return usualTokens
}
