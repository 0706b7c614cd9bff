// Package heads refuses HTTP responses that net/http accepts although their head is not valid HTTP, or although they broke
// off.
package heads

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

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
	// InvalidFraming means that the head leaves open where the body ends.
	InvalidFraming
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case InvalidField:
		return "invalid header field"
	case InvalidFraming:
		return "invalid framing"
	case InvalidStatus:
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

// Transport is an http.RoundTripper that fails with an error of this package if the head of a response is not valid: by
// Check, or by its bytes, which are not seen over TLS. Reading the body of a response without a length fails if the
// connection ended before the server had received the whole request. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport that gets its responses from another one. It wraps the connections of that one, which must not
// be used otherwise.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(dialed), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used = c
			c.addRequest(bodyLength(request))
		}
	}})
	request = request.WithContext(ctx)
	// Without Close, net/http holds the end of an early response back while the request is still written, in case the
	// connection can be kept.
	request.Close = request.Close || t.base.DisableKeepAlives
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = Check(response.StatusCode, response.Header)
	if err == nil && used != nil {
		err = used.responseErr()
	}
	if err != nil {
		response.Body.Close()
		// The connection may be idle already, and what follows on it is in doubt.
		t.base.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}

// bodyLength returns the length of the body of a request in bytes, or unknownLength.
func bodyLength(request *http.Request) int64 {
	switch {
	case request.Body == nil || request.Body == http.NoBody:
		return 0
	case request.ContentLength > 0:
		return request.ContentLength
	}
	return unknownLength
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
