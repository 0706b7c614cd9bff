// Package screen provides the step that refuses quarantined requests, which are
// those whose content has crashed backend servers.
package screen

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/entry/flow"
)

// Step refuses requests whose fingerprint is quarantined.
type Step struct {
	tracker *crash.Tracker
	logger  *zap.Logger
}

// New returns a Step.
func New(tracker *crash.Tracker, logger *zap.Logger) *Step {
	return &Step{tracker: tracker, logger: logger}
}

// String implements flow.Step.
func (*Step) String() string { return "refuse quarantined requests" }

// Run implements flow.Step.
func (s *Step) Run(_ context.Context, x *flow.Exchange) error {
	decision := s.tracker.Check(x.Call.Fingerprint)
	if decision.Standing != crash.Quarantined {
		return nil
	}
	s.logger.Info("request refused",
		zap.String("RequestID", string(x.Call.ID)),
		zap.String("Reason", "Quarantined"),
		zap.Uint64("Fingerprint", x.Call.Fingerprint),
		zap.Duration("Left", decision.RetryAfter))
	return QuarantineRefusal(x.Call.Fingerprint, decision.RetryAfter, track.NotRun)
}

// QuarantineRefusal returns the refusal of a request whose fingerprint must not
// run until retryAfter has passed.
func QuarantineRefusal(fingerprint uint64, retryAfter time.Duration, outcome track.Outcome) *flow.RefusalError {
	return &flow.RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       "request_quarantined",
		Message:    fmt.Sprintf("requests with this content crashed backend servers; fingerprint %016x", fingerprint),
		Outcome:    outcome,
		RetryAfter: retryAfter,
	}
}
