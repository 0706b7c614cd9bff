// Package canned simulates an HTTP server that responds with given bytes, valid or not.
package canned

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"filberttrack.example/track/duty"
)

// Response is the bytes of a response.
type Response struct {
	// Head and Body are sent one after the other.
	Head, Body string
	// StaysOpen keeps the connection open after the response.
	StaysOpen bool
	// Early sends the response before the body of the request is read. Taken is the number of bytes of that body that
	// are read after the response; the others are left unread.
	Early bool
	Taken int64
	// Reset resets the connection after the response instead of closing it.
	Reset bool
	// Before is called before the response is sent; nil if nothing is to be done then.
	Before func()
}

// ResetEarly returns the response as one that comes before its request is read, and ends with a reset after some bytes of
// the request's body.
func (r Response) ResetEarly(taken int64) Response {
	r.Early, r.Taken, r.Reset = true, taken, true
	return r
}

// Server responds to the n-th request with its n-th response, and to all further ones with the last. Requests for a
// path with a fixed response get that and don't count. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	accept   *duty.Duty

	mu        sync.Mutex
	responses []Response
	fixed     map[string]Response
	requests  []*http.Request
	conns     []net.Conn
	serving   []*duty.Duty
}

// Start starts a server on a free loopback port. It needs at least one response. Close ends it.
func Start(ctx context.Context, responses ...Response) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for canned responses: %w", err)
	}
	s := &Server{listener: listener, responses: responses, fixed: make(map[string]Response)}
	s.accept = duty.Start(ctx, "accept connections", s.acceptAll)
	return s, nil
}

// Address returns the host and port of the server.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Fix sets the response to all requests for a path.
func (s *Server) Fix(path string, response Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fixed[path] = response
}

// Requests returns the requests received so far, without their bodies.
func (s *Server) Requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[:len(s.requests):len(s.requests)]
}

// Connections returns the number of connections accepted so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	for range s.accept.Done() {
	}
	for i, conn := range s.conns {
		_ = conn.Close()
		// The task fails because its connection is closed.
		for range s.serving[i].Done() {
		}
	}
}

// acceptAll serves connections until the listener is closed. Each connection has a task that ends with it.
func (s *Server) acceptAll(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.mu.Lock()
		// A response waits for the lock, so that its connection is counted by then.
		serving := duty.Start(ctx, "serve connection", func(context.Context) error { return s.serve(conn) })
		s.conns, s.serving = append(s.conns, conn), append(s.serving, serving)
		s.mu.Unlock()
	}
}

// serve responds to the requests on a connection.
func (s *Server) serve(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return err
		}
		response := s.next(request)
		if !response.Early {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return err
			}
		}
		if response.Before != nil {
			response.Before()
		}
		_, err = io.WriteString(conn, response.Head+response.Body)
		if err == nil && response.Early {
			_, err = io.CopyN(io.Discard, request.Body, response.Taken)
		}
		if err != nil || !response.StaysOpen {
			if response.Reset {
				SetReset(conn)
			}
			return err
		}
	}
}

// SetReset makes the close of a connection reset it. If this fails, the connection is closed gracefully.
func SetReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Serve handles each connection with the given function and then closes it, until the listener is closed.
func Serve(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			handle(conn)
		}()
	}
}

// next records a request and returns its response.
func (s *Server) next(request *http.Request) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if response, ok := s.fixed[request.URL.Path]; ok {
		return response
	}
	s.requests = append(s.requests, request)
	return s.responses[min(len(s.requests), len(s.responses))-1]
}
