// Package plat provides HTTP clients for the platform's log service and instance list,
// which implement interfaces of package track, and HTTP handlers that serve any
// implementation of these interfaces in the same JSON format.
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
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/heads"
)

// Size limits of the clients and handlers.
const (
	// MaxRecordBytes limits the total size of the records of one append. The largest
	// record is a snapshot of the configuration.
	MaxRecordBytes = 24 << 20
	// MaxPageBytes limits the total size of the records of one page. A page with a
	// single record may be larger.
	MaxPageBytes = 8 << 20
	// MaxRequestBytes and MaxResponseBytes limit the bodies of requests and responses.
	// They exceed MaxRecordBytes because JSON encodes records in base64.
	MaxRequestBytes  = 2 * MaxRecordBytes
	MaxResponseBytes = 2 * MaxRecordBytes
	// MaxRecords limits the number of records of one append and of one page.
	MaxRecords = 10_000
)

var (
	errTooLarge   = errors.New("body is too large")
	errNoResponse = errors.New("no response after the request was sent")
)

// NewHTTPClient returns an HTTP client for NewLog and NewInstanceList. The timeout is that of one call.
func NewHTTPClient(timeout time.Duration) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	return &http.Client{Transport: heads.New(transport), Timeout: timeout}
}

// ErrorResponse is the body of a response that reports an error.
type ErrorResponse struct {
	// Op is the operation that failed.
	Op string
	// Kind is the name of a track.Kind.
	Kind string
	// Message is the text of the error.
	Message string
}

// AppendRequest is the body of a request to append records.
type AppendRequest struct {
	// Data holds the data of each record.
	Data [][]byte
}

// AppendResponse is the body of the response to an AppendRequest.
type AppendResponse struct {
	// Offset is the offset of the first appended record.
	Offset uint64
}

// kindByName returns the kind with the given name, and false if there is none.
func kindByName(name string) (track.Kind, bool) {
	for kind := track.Internal; kind <= track.TimedOut; kind++ {
		if kind.String() == name {
			return kind, true
		}
	}
	return track.Internal, false
}

// call sends a request and returns the response decoded into T. Its errors are those of
// fetch, and unconfirmedKind if the response can't be decoded.
func call[T any](
	ctx context.Context, client *http.Client, op string, unconfirmedKind track.Kind, req *http.Request,
) (T, error) {
	var result T
	body, err := fetch(ctx, client, op, unconfirmedKind, req)
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(body, &result); err != nil {
		return result, track.Fail(op, unconfirmedKind, err)
	}
	return result, nil
}

// fetch sends a request and returns the body of the response. Its error has kind
// Unavailable if nothing was sent, or else the kind that the server reported, or
// unconfirmedKind if the server reported none.
func fetch(
	ctx context.Context, client *http.Client, op string, unconfirmedKind track.Kind, req *http.Request,
) ([]byte, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	switch {
	case err != nil && !connected.Load():
		return nil, track.Fail(op, track.Unavailable, err)
	case err != nil:
		return nil, track.Fail(op, unconfirmedKind, fmt.Errorf("%w: %w", errNoResponse, err))
	}
	defer resp.Body.Close()
	body, err := readLimited(resp.Body)
	if err != nil {
		return nil, track.Fail(op, unconfirmedKind, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(op, unconfirmedKind, resp.StatusCode, body)
	}
	return body, nil
}

// responseError returns the error of a response whose status is not 200. A status code
// alone does not show that the operation had no effect. Only an ErrorResponse does, so
// without one the error has kind unconfirmedKind.
func responseError(op string, unconfirmedKind track.Kind, status int, body []byte) error {
	var reported ErrorResponse
	if json.Unmarshal(body, &reported) == nil {
		if kind, ok := kindByName(reported.Kind); ok {
			return track.Fail(op, kind, errors.New(reported.Message))
		}
	}
	return track.Fail(op, unconfirmedKind, fmt.Errorf("unexpected status %d", status))
}

func readLimited(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxResponseBytes {
		return nil, errTooLarge
	}
	return body, nil
}

// writeResult writes the result of an operation, or err if it is not nil.
func writeResult[T any](w http.ResponseWriter, op string, result T, err error) {
	if err != nil {
		writeError(w, op, err)
		return
	}
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(result); err != nil {
		writeError(w, op, track.Fail(op, track.Internal, err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body.Bytes())
}

func writeError(w http.ResponseWriter, op string, err error) {
	response := ErrorResponse{Op: op, Kind: track.Internal.String(), Message: err.Error()}
	status := http.StatusInternalServerError
	var trackErr *track.Error
	if errors.As(err, &trackErr) {
		response.Kind = trackErr.Kind.String()
		status = httpStatus(trackErr.Kind)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}

func httpStatus(kind track.Kind) int {
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
