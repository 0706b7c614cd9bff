package parse

import (
	"errors"
	"io"
	"net/http"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// Limits bounds what a caller may send.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxTimeout bounds the deadline that a caller may ask for.
	MaxTimeout time.Duration
}

// maxQuotedBytes bounds a caller's value inside an error message.
const maxQuotedBytes = 64

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

func readBody(x *flow.Exchange, limits Limits) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, flow.Invalid(http.StatusRequestEntityTooLarge, "body_too_large", "",
			"the body is larger than %d bytes", limits.MaxBodyBytes)
	case err != nil:
		return nil, flow.Invalid(http.StatusBadRequest, "unreadable_body", "", "the body can't be read: %s", err)
	}
	return body, nil
}

// chooseProfile sets the profile and the deadline of the call.
func chooseProfile(x *flow.Exchange, directory track.Directory, name string, limits Limits) error {
	if asked := x.Request.Header.Get(flow.HeaderProfile); asked != "" {
		name = asked
	}
	profile, ok := directory.Profile(name)
	if !ok {
		return flow.Invalid(http.StatusBadRequest, "unknown_profile", flow.HeaderProfile,
			"the profile %q does not exist", clip(name))
	}
	x.Call.Profile = profile
	timeout, err := timeoutOf(x, profile, limits)
	if err != nil {
		return err
	}
	x.Call.Deadline = x.Call.Arrived.Add(timeout)
	return nil
}

func timeoutOf(x *flow.Exchange, profile track.Profile, limits Limits) (time.Duration, error) {
	asked := x.Request.Header.Get(flow.HeaderTimeout)
	if asked == "" {
		return profile.Timeout, nil
	}
	timeout, err := time.ParseDuration(asked)
	if err != nil {
		return 0, flow.Invalid(http.StatusBadRequest, "invalid_timeout", flow.HeaderTimeout,
			"the timeout %q is not a duration such as 30s or 1m30s", clip(asked))
	}
	if timeout <= 0 || timeout > limits.MaxTimeout {
		return 0, flow.Invalid(http.StatusBadRequest, "invalid_timeout", flow.HeaderTimeout,
			"the timeout %s must be above 0 and at most %s", timeout, limits.MaxTimeout)
	}
	return timeout, nil
}

func clip(value string) string {
	if len(value) > maxQuotedBytes {
		return value[:maxQuotedBytes] + "..."
	}
	return value
}
