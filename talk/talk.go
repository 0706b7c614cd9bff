// Package talk implements calls between the processes of this system as JSON over HTTP.
package talk

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/conns"
	"filberttrack.example/track/heads"
)

const (
	// maxBodyBytes is the largest request or response body that is read, after
	// decompression.
	maxBodyBytes = 16 << 20
	// dialTimeout is the longest time to wait for a peer to accept a connection.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 5 * time.Second
)

// Client calls peers with Call. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that keeps connections open between calls.
func NewClient() *Client {
	dialer := conns.NewDialer()
	dialer.Timeout = dialTimeout
	return &Client{http: &http.Client{Transport: heads.New(&http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
	})}}
}

// statusByKind maps the kinds of error that are passed on to the caller to HTTP statuses.
var statusByKind = map[track.Kind]int{
	track.Invalid:     http.StatusBadRequest,
	track.Refused:     http.StatusConflict,
	track.Expired:     http.StatusGone,
	track.Unavailable: http.StatusServiceUnavailable,
	track.Ambiguous:   http.StatusBadGateway,
}

// Call sends a request to the peer at an address and returns its response. If the error
// is of kind track.Unavailable, the request never arrived; if it is of kind
// track.Ambiguous, the peer may have carried it out. Errors of the kinds Refused and
// Expired come from the peer's handler; Invalid also means that a body could not be
// encoded or decoded.
func Call[Req, Resp any](ctx context.Context, c *Client, address, path string, req Req) (Resp, error) {
	var resp Resp
	data, err := json.Marshal(req)
	if err != nil {
		return resp, track.Fail("encode request", track.Invalid, err)
	}
	body := Compress(data)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return resp, track.Fail("build HTTP request", track.Invalid, err)
	}
	setContentEncoding(httpReq.Header, len(body) != len(data))
	httpResp, err := c.http.Do(httpReq)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return resp, track.Fail("call "+path, track.Unavailable, err)
		}
		return resp, track.Fail("call "+path, track.Ambiguous, err)
	}
	defer httpResp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(decompressBody(httpResp.Header, httpResp.Body), maxBodyBytes))
	if err != nil {
		return resp, track.Fail("call "+path, track.Ambiguous, err)
	}
	if httpResp.StatusCode != http.StatusOK {
		return resp, track.Fail("call "+path, kindForStatus(httpResp.StatusCode),
			fmt.Errorf("status %d: %.200s", httpResp.StatusCode, bytes.TrimSpace(respBody)))
	}
	if err := json.Unmarshal(respBody, &resp); err != nil {
		return resp, track.Fail("decode response", track.Invalid, err)
	}
	return resp, nil
}

// kindForStatus returns the kind of error that a response status stands for.
func kindForStatus(status int) track.Kind {
	for kind, s := range statusByKind {
		if s == status {
			return kind
		}
	}
	return track.Ambiguous
}

// Handle registers the handler of the calls on a path. An error of the handler is sent
// with the HTTP status of its kind, or with status 500 if the kind has none.
func Handle[Req, Resp any](mux *http.ServeMux, path string, handle func(context.Context, Req) (Resp, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := json.NewDecoder(io.LimitReader(decompressBody(r.Header, r.Body), maxBodyBytes)).Decode(&req); err != nil {
			http.Error(w, fmt.Sprintf("decode request: %s", err), http.StatusBadRequest)
			return
		}
		resp, err := handle(r.Context(), req)
		if err != nil {
			http.Error(w, err.Error(), statusForError(err))
			return
		}
		data, err := json.Marshal(resp)
		if err != nil {
			http.Error(w, fmt.Sprintf("encode response: %s", err), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		body := Compress(data)
		setContentEncoding(w.Header(), len(body) != len(data))
		// A write fails only if the peer has disconnected; it then repeats the call.
		_, _ = w.Write(body)
	})
}

// statusForError returns the HTTP status by which an error is sent to the caller.
func statusForError(err error) int {
	for kind, status := range statusByKind {
		if track.IsKind(err, kind) {
			return status
		}
	}
	return http.StatusInternalServerError
}
