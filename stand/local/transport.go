// Package local simulates the network of a deployment within one process. It calls
// HTTP handlers and agents directly, works with any clock, and simulates network
// failures when a test asks for them.
package local

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// errRefused is the cause of a failed connection to an address that nothing serves.
var errRefused = errors.New("connection refused")

// Transport is an http.RoundTripper that passes each request to the handler of its
// host. It is safe for concurrent use.
type Transport struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
}

// NewTransport returns a transport without handlers.
func NewTransport() *Transport {
	return &Transport{handlers: make(map[string]http.Handler)}
}

// Serve sets the handler of a host. With a nil handler, the host refuses
// connections.
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
		header:     make(http.Header),
		body:       writer,
		headerSent: make(chan struct{}),
		done:       make(chan error, 1),
	}
	incoming := request.Clone(ctx)
	incoming.RequestURI = request.URL.RequestURI()
	go w.serve(handler, incoming)
	select {
	case <-w.headerSent:
	case <-request.Context().Done():
		cancel()
		// Without this, the handler would block on writes that nobody reads.
		reader.CloseWithError(request.Context().Err())
		return nil, request.Context().Err()
	}
	if w.err != nil {
		cancel()
		return nil, w.err
	}
	return &http.Response{
		Status:        http.StatusText(w.status),
		StatusCode:    w.status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        w.sentHeader,
		Body:          &responseBody{PipeReader: reader, cancel: cancel},
		ContentLength: -1,
		Request:       request,
	}, nil
}

// responseBody is the body of a response. Close cancels the handler's context.
type responseBody struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.cancel()
	return b.PipeReader.Close()
}

// responseWriter is the http.ResponseWriter of one round trip. The goroutine of the
// handler sets the fields sentHeader, status and err before it closes headerSent.
type responseWriter struct {
	header http.Header
	// sentHeader is the header as it was when it was sent.
	sentHeader http.Header
	status     int
	// err is the error of a handler that failed before it sent the header.
	err        error
	body       *io.PipeWriter
	headerSent chan struct{}
	// once guards the sending of the header.
	once sync.Once
	// done receives the handler's error, or nil, when the handler has returned.
	done chan error
}

// serve calls the handler. If the handler panics, the connection breaks.
func (w *responseWriter) serve(handler http.Handler, request *http.Request) {
	defer func() {
		var err error
		if recover() != nil {
			err = io.ErrUnexpectedEOF
		}
		w.finish(err)
		w.done <- err
	}()
	handler.ServeHTTP(w, request)
}

// finish ends the response with the handler's error, or nil. It sends the header if
// the handler hasn't.
func (w *responseWriter) finish(err error) {
	w.once.Do(func() {
		w.err = err
		w.status = http.StatusOK
		w.sentHeader = w.header.Clone()
		close(w.headerSent)
	})
	if err == nil {
		err = io.EOF
	}
	// CloseWithError always returns nil.
	_ = w.body.CloseWithError(err)
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		w.sentHeader = w.header.Clone()
		close(w.headerSent)
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
