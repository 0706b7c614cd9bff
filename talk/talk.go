// Package talk carries calls between own processes as JSON over HTTP.
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
)

const (
	// maxBodyBytes bounds a question and an answer.
	maxBodyBytes = 16 << 20
	// dialTimeout bounds the time until a peer accepts a connection.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 5 * time.Second
)

// Client calls peers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that keeps connections between calls.
func NewClient() *Client {
	dialer := conns.NewDialer()
	dialer.Timeout = dialTimeout
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
	}}}
}

// statuses pairs the kinds of failure that cross the wire with statuses.
var statuses = map[track.Kind]int{
	track.Invalid:     http.StatusBadRequest,
	track.Refused:     http.StatusConflict,
	track.Expired:     http.StatusGone,
	track.Unavailable: http.StatusServiceUnavailable,
	track.Ambiguous:   http.StatusBadGateway,
}

// Call asks the peer at an address. An error of kind Unavailable means that the
// question never arrived, one of kind Ambiguous that it may have been acted on.
func Call[Q, A any](ctx context.Context, c *Client, address, path string, question Q) (A, error) {
	var answer A
	data, err := json.Marshal(question)
	if err != nil {
		return answer, track.Fail("encode question", track.Invalid, err)
	}
	packed := Pack(data)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(packed))
	if err != nil {
		return answer, track.Fail("build question", track.Invalid, err)
	}
	setPacked(request.Header, len(packed) != len(data))
	response, err := c.http.Do(request)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return answer, track.Fail("call "+path, track.Unavailable, err)
		}
		return answer, track.Fail("call "+path, track.Ambiguous, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(bodyOf(response.Header, response.Body), maxBodyBytes))
	if err != nil {
		return answer, track.Fail("call "+path, track.Ambiguous, err)
	}
	if response.StatusCode != http.StatusOK {
		return answer, track.Fail("call "+path, kindOf(response.StatusCode), fmt.Errorf("status %d: %.200s", response.StatusCode, bytes.TrimSpace(body)))
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, track.Fail("decode answer", track.Invalid, err)
	}
	return answer, nil
}

func kindOf(status int) track.Kind {
	for kind, s := range statuses {
		if s == status {
			return kind
		}
	}
	return track.Ambiguous
}

// Handle serves the questions on a path.
func Handle[Q, A any](mux *http.ServeMux, path string, handle func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var question Q
		if err := json.NewDecoder(io.LimitReader(bodyOf(r.Header, r.Body), maxBodyBytes)).Decode(&question); err != nil {
			http.Error(w, fmt.Sprintf("decode question: %s", err), http.StatusBadRequest)
			return
		}
		answer, err := handle(r.Context(), question)
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		data, err := json.Marshal(answer)
		if err != nil {
			http.Error(w, fmt.Sprintf("encode answer: %s", err), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		packed := Pack(data)
		setPacked(w.Header(), len(packed) != len(data))
		// A peer that left asks again.
		_, _ = w.Write(packed)
	})
}

func statusOf(err error) int {
	for kind, status := range statuses {
		if track.IsKind(err, kind) {
			return status
		}
	}
	return http.StatusInternalServerError
}
