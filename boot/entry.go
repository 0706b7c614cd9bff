package boot

import (
	"context"
	"errors"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"filberttrack.example/track/conf"
	"filberttrack.example/track/drain"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/wire"
)

// Entry is a running entry process: its components, its HTTP servers for clients and
// operators, and its gRPC server for other instances.
type Entry struct {
	*EntryCore
	logger        *zap.Logger
	dialer        *wire.Dialer
	drainTimeouts drain.Timeouts
	grpcServer    *grpc.Server
	clientServer  *httpServer
	adminServer   *httpServer
	tasks         []*duty.Duty
	cancel        context.CancelFunc
}

// adminMaxHeaderBytes bounds the header of a request of an operator.
const adminMaxHeaderBytes = 32 << 10

// StartEntry starts an entry, which is ready once the function returns unless it has
// no configuration yet. StartEntry fails if it can't read the certificates or the
// operators' token, or can't listen.
func StartEntry(ctx context.Context, s conf.Settings, platform Platform, logger *zap.Logger) (*Entry, error) {
	security, err := newProcessSecurity(s, s.Entry.Zone, logger)
	if err != nil {
		return nil, err
	}
	listener, err := listenGRPC(s.Entry.Peer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	deps, dialer := newDependencies(platform, security, listener.Addr().String(), logger)
	e := &Entry{
		EntryCore:     NewEntryCore(s, deps),
		logger:        logger,
		dialer:        dialer,
		drainTimeouts: drain.Timeouts{DeregistrationDelay: s.Entry.BalancerDelay, MaxDuration: s.Entry.StopTimeout},
		grpcServer:    wire.NewServer(logger, security.serverOptions()...),
		cancel:        cancel,
	}
	wire.RegisterPeer(e.grpcServer, e.Peer(), security.verifyZone)
	e.tasks = append(security.startReload(ctx), startGRPCServer(ctx, listener, e.grpcServer))
	e.tasks = append(e.tasks, e.Start(ctx)...)
	err = e.startHTTPServers(ctx, s.Entry)
	if err != nil {
		cancel()
		e.grpcServer.Stop()
		return nil, err
	}
	return e, nil
}

// startHTTPServers starts the servers for operators and clients.
func (e *Entry) startHTTPServers(ctx context.Context, s conf.Entry) error {
	var err error
	e.adminServer, err = startHTTPServer(ctx, "operators", s.Admin, adminMaxHeaderBytes, e.AdminHandler(), e.logger)
	if err != nil {
		return err
	}
	e.clientServer, err = startHTTPServer(ctx, "callers", s.Listen, s.MaxHeaderBytes, e.ClientHandler(), e.logger)
	if err != nil {
		e.adminServer.server.Close()
	}
	return err
}

// Addr returns the host and port of the HTTP server for clients.
func (e *Entry) Addr() string { return e.clientServer.Addr() }

// AdminAddr returns the host and port of the HTTP server for operators.
func (e *Entry) AdminAddr() string { return e.adminServer.Addr() }

// Stop shuts the entry down gracefully: it reports itself unready at once, refuses new
// requests after the delay in which the load balancer in front deregisters it, and
// waits for the open requests. The end of the context cuts off the requests that are
// still open; the error and the log report how many.
func (e *Entry) Stop(ctx context.Context) error {
	cutOffErr := e.Drain(context.WithoutCancel(ctx), e.drainTimeouts, stopSignals(ctx))
	e.clientServer.stop(ctx)
	e.adminServer.stop(ctx)
	e.cancel()
	e.grpcServer.Stop()
	e.dialer.Close()
	return errors.Join(cutOffErr, duty.Wait(e.logger, append(e.tasks, e.clientServer.task, e.adminServer.task)...))
}

// stopSignals returns a channel with two stop signals for a drain: one at once, and a
// second when the context ends.
func stopSignals(ctx context.Context) <-chan struct{} {
	stops := make(chan struct{}, 2)
	stops <- struct{}{}
	context.AfterFunc(ctx, func() { stops <- struct{}{} })
	return stops
}
