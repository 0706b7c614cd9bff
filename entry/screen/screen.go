// Package screen provides the step that refuses requests in quarantine.
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

// Step refuses a request whose content has crashed backend servers.
type Step struct {
	tracker *crash.Tracker
	logger  *zap.Logger
}

// New returns the step.
func New(tracker *crash.Tracker, logger *zap.Logger) *Step {
	return &Step{tracker: tracker, logger: logger}
}

// String returns the name of the step.
func (*Step) String() string { return "refuse quarantined requests" }

// Run implements flow.Step.
func (s *Step) Run(_ context.Context, x *flow.Exchange) error {
	v := s.tracker.Check(x.Call.Fingerprint)
	if v.Standing != crash.Quarantined {
		return nil
	}
	s.logger.Info("request refused",
		zap.String("RequestID", string(x.Call.ID)),
		zap.String("Reason", "Quarantined"),
		zap.Uint64("Fingerprint", x.Call.Fingerprint),
		zap.Duration("Left", v.RetryAfter))
	return Refusal(x.Call.Fingerprint, v.RetryAfter, track.NotRun)
}

// Refusal returns the answer to a request that must not run for a while.
func Refusal(fingerprint uint64, left time.Duration, outcome track.Outcome) *flow.RefusalError {
	return &flow.RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       "request_quarantined",
		Message:    fmt.Sprintf("requests with this content crashed backend servers; fingerprint %016x", fingerprint),
		Outcome:    outcome,
		RetryAfter: left,
	}
}
