// Package plat adapts the platform's services to the ports of package track over
// HTTP with JSON, and serves implementations of these ports in the same format.
package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"filberttrack.example/track"
)

// Bounds of what the clients and servers accept.
const (
	// MaxRecordBytes bounds the records of one append. A snapshot of the
	// configuration is the largest record.
	MaxRecordBytes = 24 << 20
	// MaxPageBytes bounds the records of one page, unless it holds a single one.
	MaxPageBytes = 8 << 20
	// MaxRequestBytes and MaxResponseBytes bound the bodies of requests and
	// answers. JSON carries records in base64.
	MaxRequestBytes  = 2 * MaxRecordBytes
	MaxResponseBytes = 2 * MaxRecordBytes
	// MaxRecords bounds the number of records of one append and of one page.
	MaxRecords = 10_000
)

var (
	errTooLarge = errors.New("body is too large")
	errSent     = errors.New("no answer after the request was sent")
)

// Failure is the body of an answer that reports an error.
type Failure struct {
	Op      string
	Kind    string
	Message string
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Data [][]byte
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	// Offset is the offset of the first record appended.
	Offset uint64
}

// kindOf returns the kind with the given name.
func kindOf(name string) (track.Kind, bool) {
	for kind := track.Internal; kind <= track.TimedOut; kind++ {
		if kind.String() == name {
			return kind, true
		}
	}
	return track.Internal, false
}

// exchange sends a request and returns the answer decoded into T. Its error is
// of kind Unavailable if nothing was sent, of the kind that the peer reported,
// or else of kind lost.
func exchange[T any](ctx context.Context, client *http.Client, op string, lost track.Kind, req *http.Request) (T, error) {
	var (
		answer    T
		connected atomic.Bool
	)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	switch {
	case err != nil && !connected.Load():
		return answer, track.Fail(op, track.Unavailable, err)
	case err != nil:
		return answer, track.Fail(op, lost, fmt.Errorf("%w: %w", errSent, err))
	}
	defer resp.Body.Close()
	body, err := readBounded(resp.Body)
	if err != nil {
		return answer, track.Fail(op, lost, err)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, failure(op, lost, resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, track.Fail(op, lost, err)
	}
	return answer, nil
}

// failure maps an answer that reports an error. Only the peer's own word, not a
// status code alone, shows that an operation had no effect.
func failure(op string, lost track.Kind, status int, body []byte) error {
	var f Failure
	if json.Unmarshal(body, &f) == nil {
		if kind, ok := kindOf(f.Kind); ok {
			return track.Fail(op, kind, errors.New(f.Message))
		}
	}
	return track.Fail(op, lost, fmt.Errorf("status %d", status))
}

func readBounded(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxResponseBytes {
		return nil, errTooLarge
	}
	return body, nil
}

// answer writes the result of an operation, or its error.
func answer[T any](w http.ResponseWriter, op string, result T, err error) {
	if err != nil {
		answerError(w, op, err)
		return
	}
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(result); err != nil {
		answerError(w, op, track.Fail(op, track.Internal, err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body.Bytes())
}

func answerError(w http.ResponseWriter, op string, err error) {
	f := Failure{Op: op, Kind: track.Internal.String(), Message: err.Error()}
	status := http.StatusInternalServerError
	var failed *track.Error
	if errors.As(err, &failed) {
		f.Kind = failed.Kind.String()
		status = statusOf(failed.Kind)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f)
}

func statusOf(kind track.Kind) int {
	switch kind {
	case track.Invalid:
		return http.StatusBadRequest
	case track.Unavailable:
		return http.StatusServiceUnavailable
	case track.Ambiguous:
		return http.StatusBadGateway
	case track.Refused:
		return http.StatusConflict
	case track.Expired:
		return http.StatusGone
	case track.TimedOut:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}
