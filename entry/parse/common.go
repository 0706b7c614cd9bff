package parse

import (
	"errors"
	"io"
	"net/http"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// Limits holds the limits on a request. Larger values are refused.
type Limits struct {
	// MaxBodyBytes is the largest body, in bytes.
	MaxBodyBytes int64
	// MaxTimeout is the longest timeout that a caller may request.
	MaxTimeout time.Duration
}

// maxQuotedBytes is the length to which a caller's value is truncated in an
// error message.
const maxQuotedBytes = 64

// maxKeyBytes is the longest idempotency key, in bytes.
const maxKeyBytes = 255

func readBody(x *flow.Exchange, limits Limits) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, flow.ClientError(http.StatusRequestEntityTooLarge, "body_too_large", "",
			"the body is larger than %d bytes", limits.MaxBodyBytes)
	case err != nil:
		return nil, flow.ClientError(http.StatusBadRequest, "unreadable_body", "", "the body can't be read: %s", err)
	}
	return body, nil
}

// setProfile sets the profile and the deadline of the call. The profile is the
// one that the caller names, or else the given default.
func setProfile(x *flow.Exchange, directory track.Directory, name string, limits Limits) error {
	if requested := x.Request.Header.Get(flow.HeaderProfile); requested != "" {
		name = requested
	}
	profile, ok := directory.Profile(name)
	if !ok {
		return flow.UnknownError(directory, http.StatusBadRequest, "unknown_profile", flow.HeaderProfile,
			"the profile %q does not exist", truncate(name))
	}
	x.Call.Profile = profile
	timeout, err := requestTimeout(x, profile, limits)
	if err != nil {
		return err
	}
	x.Call.Deadline = x.Call.Arrived.Add(timeout)
	return nil
}

// requestTimeout returns the timeout that the caller asks for, or else that of
// the profile.
func requestTimeout(x *flow.Exchange, profile track.Profile, limits Limits) (time.Duration, error) {
	requested := x.Request.Header.Get(flow.HeaderTimeout)
	if requested == "" {
		return profile.Timeout, nil
	}
	timeout, err := time.ParseDuration(requested)
	if err != nil {
		return 0, flow.ClientError(http.StatusBadRequest, "invalid_timeout", flow.HeaderTimeout,
			"the timeout %q is not a duration such as 30s or 1m30s", truncate(requested))
	}
	if timeout <= 0 || timeout > limits.MaxTimeout {
		return 0, flow.ClientError(http.StatusBadRequest, "invalid_timeout", flow.HeaderTimeout,
			"the timeout %s must be greater than 0 and at most %s", timeout, limits.MaxTimeout)
	}
	return timeout, nil
}

// truncate shortens a value to maxQuotedBytes.
func truncate(value string) string {
	if len(value) > maxQuotedBytes {
		return value[:maxQuotedBytes] + "..."
	}
	return value
}
