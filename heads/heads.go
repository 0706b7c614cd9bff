// Package heads refuses HTTP responses that net/http accepts although their head is not valid HTTP.
package heads

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// InvalidStatus means that the status code is not that of a final response.
	InvalidStatus Kind = iota
	// InvalidField means that the name of a header field is not a token.
	InvalidField
)

// String returns the kind in lower case.
func (k Kind) String() string {
	if k == InvalidField {
		return "invalid header field"
	}
	return "invalid status code"
}

// Error is the error of this package.
type Error = track.OpError[Kind]

const opCheck = "check response"

// The range of the status codes of final responses (RFC 9110, section 15).
const (
	minStatus = 200
	maxStatus = 599
)

// Check returns an error of this package if no final response may have the status code or the header. That includes
// status 101, since no request of this system asks for another protocol.
func Check(status int, header http.Header) error {
	if status < minStatus || status > maxStatus {
		return track.Fail(opCheck, InvalidStatus, fmt.Errorf("%03d", status))
	}
	for name := range header {
		// net/http accepts blanks in names, and so overlooks a length or chunks.
		if !httpguts.ValidHeaderFieldName(name) {
			return track.Fail(opCheck, InvalidField, fmt.Errorf("%q", name))
		}
	}
	return nil
}

// Transport is an http.RoundTripper that fails if Check refuses the response. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport that gets its responses from another one.
func New(base *http.Transport) *Transport {
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response.StatusCode, response.Header); err != nil {
		response.Body.Close()
		// The connection may be idle already, and what follows on it is in doubt.
		t.base.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
