// Package local joins the parts of a deployment inside one process, without a
// network: it calls HTTP handlers and agents directly, on any clock, and fails
// as a network would when a test says so.
package local

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// errRefused is the cause of a failed connection.
var errRefused = errors.New("connection refused")

// Transport is an http.RoundTripper that calls handlers by host name.
type Transport struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
}

// NewTransport returns a transport without handlers.
func NewTransport() *Transport {
	return &Transport{handlers: make(map[string]http.Handler)}
}

// Serve makes the handler answer for the host; nil takes the host away.
func (t *Transport) Serve(host string, handler http.Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[host] = handler
}

// Client returns a client that uses the transport.
func (t *Transport) Client() *http.Client {
	return &http.Client{Transport: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.mu.Lock()
	handler := t.handlers[request.URL.Host]
	t.mu.Unlock()
	if handler == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	ctx, cancel := context.WithCancel(request.Context())
	reader, writer := io.Pipe()
	w := &responseWriter{
		header: make(http.Header),
		body:   writer,
		began:  make(chan struct{}),
		ended:  make(chan error, 1),
	}
	incoming := request.Clone(ctx)
	incoming.RequestURI = request.URL.RequestURI()
	go w.serve(handler, incoming)
	select {
	case <-w.began:
	case <-request.Context().Done():
		cancel()
		// The handler must not wait for a reader that is gone.
		reader.CloseWithError(request.Context().Err())
		return nil, request.Context().Err()
	}
	if w.failed != nil {
		cancel()
		return nil, w.failed
	}
	return &http.Response{
		Status:        http.StatusText(w.status),
		StatusCode:    w.status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        w.sent,
		Body:          &responseBody{PipeReader: reader, cancel: cancel},
		ContentLength: -1,
		Request:       request,
	}, nil
}

// responseBody ends the handler when the client closes it.
type responseBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// responseWriter is the handler's side of a round trip. The goroutine of the
// handler writes its fields before began is closed.
type responseWriter struct {
	header http.Header
	sent   http.Header
	status int
	failed error
	body   *io.PipeWriter
	began  chan struct{}
	once   sync.Once
	ended  chan error
}

// serve runs the handler. A panic cuts the connection.
func (w *responseWriter) serve(handler http.Handler, request *http.Request) {
	defer func() {
		var err error
		if recover() != nil {
			err = io.ErrUnexpectedEOF
		}
		w.end(err)
		w.ended <- err
	}()
	handler.ServeHTTP(w, request)
}

func (w *responseWriter) end(err error) {
	w.once.Do(func() {
		w.failed = err
		w.status = http.StatusOK
		w.sent = w.header.Clone()
		close(w.began)
	})
	if err == nil {
		err = io.EOF
	}
	// Closing a pipe does not fail.
	_ = w.body.CloseWithError(err)
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		w.sent = w.header.Clone()
		close(w.began)
	})
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(data)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.WriteHeader(http.StatusOK)
}
