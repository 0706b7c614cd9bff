// Package quota provides the step that enforces the rate limits of client
// accounts.
package quota

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/limit"
)

// defaultTokenEstimate is the number of tokens that a chat completion is
// expected to generate, unless its maximum is lower.
const defaultTokenEstimate = 256

// Step refuses requests of client accounts that have exceeded a limit.
type Step struct {
	limiter *limit.Limiter
	logger  *zap.Logger
}

// New returns a Step.
func New(limiter *limit.Limiter, logger *zap.Logger) *Step {
	return &Step{limiter: limiter, logger: logger}
}

// String implements flow.Step.
func (*Step) String() string { return "enforce account limits" }

// Run implements flow.Step. It charges the account with an estimate, which is
// replaced by the tokens actually generated when the exchange ends.
func (s *Step) Run(_ context.Context, x *flow.Exchange) error {
	call := &x.Call
	estimate := estimateTokens(call)
	decision := s.limiter.Admit(call.Account, estimate)
	if decision.Admitted {
		x.OnEnd(func() { s.limiter.AdjustTokens(call.Account, estimate, x.GeneratedTokens) })
		return nil
	}
	s.logger.Info("request refused",
		zap.String("RequestID", string(call.ID)),
		zap.String("Account", call.Account.Name),
		zap.String("Reason", string(decision.Reason)),
		zap.Duration("RetryAfter", decision.RetryAfter))
	return &flow.RefusalError{
		Status:     http.StatusTooManyRequests,
		Code:       "rate_limited",
		Message:    "the account has exceeded its limit of " + string(decision.Reason),
		Outcome:    track.NotRun,
		RetryAfter: decision.RetryAfter,
	}
}

// estimateTokens returns the number of tokens that a call is expected to
// generate.
func estimateTokens(call *track.Call) int {
	switch {
	case call.Kind != track.GenerationCall:
		return 0
	case call.MaxTokens > 0:
		return min(call.MaxTokens, defaultTokenEstimate)
	}
	return defaultTokenEstimate
}
