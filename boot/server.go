// Package boot assembles the processes of filberttrack from their parts, starts
// them and stops them gracefully.
package boot

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"filberttrack.example/track/duty"
)

// readHeaderTimeout bounds the time that a client takes to send a header.
const readHeaderTimeout = 10 * time.Second

// idleTimeout ends connections that carry no request.
const idleTimeout = 2 * time.Minute

// httpServer is an HTTP server with its listener and its duty.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	duty     *duty.Duty
}

// serveHTTP starts an HTTP server on the address.
func serveHTTP(ctx context.Context, name, address string, maxHeaderBytes int, handler http.Handler, logger *zap.Logger) (*httpServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(logger.Named(name)),
		// Requests outlive the context that started the server, so that a
		// planned stop cuts none off.
		BaseContext: func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	s := &httpServer{server: server, listener: listener}
	s.duty = duty.Start(ctx, name, func(context.Context) error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *httpServer) Addr() string {
	return s.listener.Addr().String()
}

// stop finishes open requests until the context ends, and then cuts them off.
func (s *httpServer) stop(ctx context.Context) {
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.server.Close()
	}
}

// listenGRPC returns a listener for own processes.
func listenGRPC(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for own processes: %w", err)
	}
	return listener, nil
}

// serveGRPC starts a gRPC server on the listener.
func serveGRPC(ctx context.Context, listener net.Listener, server *grpc.Server) *duty.Duty {
	return duty.Start(ctx, "grpc", func(context.Context) error {
		return server.Serve(listener)
	})
}

// stopGRPC ends a gRPC server once its calls have ended, or the context has.
func stopGRPC(ctx context.Context, server *grpc.Server) {
	cutOff := context.AfterFunc(ctx, server.Stop)
	defer cutOff()
	server.GracefulStop()
}
