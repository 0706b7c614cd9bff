// Package boot assembles the processes of filberttrack from their components, starts
// them and shuts them down gracefully.
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

	"filberttrack.example/track/drain"
	"filberttrack.example/track/duty"
)

// readHeaderTimeout bounds the time in which a client must send the request header.
const readHeaderTimeout = 10 * time.Second

// idleTimeout closes connections that have carried no request for that long.
const idleTimeout = 2 * time.Minute

// httpServer is a running HTTP server with its listener and the task that serves it.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	task     *duty.Duty
	// endRequests ends the contexts of the open requests.
	endRequests context.CancelCauseFunc
}

// lastAnswerTime is the time in which open requests that the end of a stop cuts off are answered.
const lastAnswerTime = 250 * time.Millisecond

// startHTTPServer starts an HTTP server on the address. The name appears in errors and
// in the log. It fails if it can't listen.
func startHTTPServer(
	ctx context.Context, name, address string, maxHeaderBytes int, handler http.Handler, logger *zap.Logger,
) (*httpServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	// Requests don't end with the context that started the server, so that a graceful stop cuts none
	// of them off.
	requestCtx, endRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(logger.Named(name)),
		BaseContext:       func(net.Listener) context.Context { return requestCtx },
	}
	s := &httpServer{server: server, listener: listener, endRequests: endRequests}
	s.task = duty.Start(ctx, name, func(context.Context) error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return s, nil
}

// Addr returns the host and port on which the server listens.
func (s *httpServer) Addr() string {
	return s.listener.Addr().String()
}

// stop waits for the open requests. When the context ends, it ends them, and closes the connections
// of those that are not answered within lastAnswerTime.
func (s *httpServer) stop(ctx context.Context) {
	defer s.endRequests(drain.ErrStopped)
	if s.server.Shutdown(ctx) == nil {
		return
	}
	s.endRequests(drain.ErrStopped)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswerTime)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		s.server.Close()
	}
}

// listenGRPC returns a listener for the gRPC calls of other instances.
func listenGRPC(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for other instances: %w", err)
	}
	return listener, nil
}

// startGRPCServer serves gRPC on the listener in a background task.
func startGRPCServer(ctx context.Context, listener net.Listener, server *grpc.Server) *duty.Duty {
	return duty.Start(ctx, "grpc", func(context.Context) error {
		return server.Serve(listener)
	})
}

// stopGRPCServer waits for the open calls of a gRPC server and cuts them off when the
// context ends.
func stopGRPCServer(ctx context.Context, server *grpc.Server) {
	disarm := context.AfterFunc(ctx, server.Stop)
	defer disarm()
	server.GracefulStop()
}
