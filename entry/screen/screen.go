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
	"filberttrack.example/track/parts"
)

// Step refuses requests whose fingerprint is quarantined or that contain a barred part.
type Step struct {
	tracker *crash.Tracker
	parts   *parts.Tracker
	logger  *zap.Logger
}

// New returns a Step.
func New(tracker *crash.Tracker, partsTracker *parts.Tracker, logger *zap.Logger) *Step {
	return &Step{tracker: tracker, parts: partsTracker, logger: logger}
}

// String implements flow.Step.
func (*Step) String() string { return "refuse quarantined requests" }

// Run implements flow.Step.
func (s *Step) Run(_ context.Context, x *flow.Exchange) error {
	decision := s.tracker.Check(x.Call.Fingerprint)
	if decision.Standing != crash.Quarantined {
		return s.checkParts(x)
	}
	s.logger.Info("request refused",
		zap.String("RequestID", string(x.Call.ID)),
		zap.String("Reason", "Quarantined"),
		zap.Uint64("Fingerprint", x.Call.Fingerprint),
		zap.Duration("Left", decision.RetryAfter))
	return QuarantineRefusal(x.Call.Fingerprint, decision.RetryAfter, track.NotRun)
}

// checkParts refuses a request with a barred part, unless it is the trial of that part.
func (s *Step) checkParts(x *flow.Exchange) error {
	decision := s.parts.Check(PartsOf(&x.Call))
	x.PartTrial = decision.Trial
	if decision.RetryAfter == 0 {
		return nil
	}
	s.logger.Info("request refused",
		zap.String("RequestID", string(x.Call.ID)),
		zap.String("Reason", "PartQuarantined"),
		zap.Duration("Left", decision.RetryAfter))
	return PartRefusal(decision.RetryAfter, track.NotRun)
}

// PartsOf returns the parts of a call's prompt that other prompts may share.
func PartsOf(call *track.Call) []parts.Part {
	list := make([]parts.Part, 0, len(call.Parts))
	for _, hash := range call.Parts {
		list = append(list, parts.Part(hash))
	}
	return list
}

// PartRefusal returns the refusal of a request with a part that must not run until retryAfter
// has passed.
func PartRefusal(retryAfter time.Duration, outcome track.Outcome) *flow.RefusalError {
	return &flow.RefusalError{
		Status:     http.StatusServiceUnavailable,
		Code:       "message_quarantined",
		Message:    "requests with one of the messages of this conversation crashed backend servers",
		Outcome:    outcome,
		RetryAfter: retryAfter,
	}
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
