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

// Entry is a running entry with its listeners.
type Entry struct {
	*EntryCore
	logger  *zap.Logger
	dialer  *wire.Dialer
	timing  drain.Timeouts
	server  *grpc.Server
	callers *httpServer
	admin   *httpServer
	duties  []*duty.Duty
	cancel  context.CancelFunc
}

// adminHeaderBytes bounds the header of an operator's request.
const adminHeaderBytes = 32 << 10

// StartEntry starts an entry. It is ready when the function returns.
func StartEntry(ctx context.Context, s conf.Settings, platform Platform, logger *zap.Logger) (*Entry, error) {
	trust, err := newTrust(s, s.Entry.Zone, logger)
	if err != nil {
		return nil, err
	}
	listener, err := listenGRPC(s.Entry.Peer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	ports, dialer := realPorts(platform, trust, listener.Addr().String(), logger)
	e := &Entry{
		EntryCore: NewEntryCore(s, ports),
		logger:    logger,
		dialer:    dialer,
		timing:    drain.Timeouts{DeregistrationDelay: s.Entry.BalancerDelay, MaxDuration: s.Entry.StopTimeout},
		server:    wire.NewServer(trust.server()...),
		cancel:    cancel,
	}
	wire.RegisterPeer(e.server, e.Members(), trust.identify)
	e.duties = append(trust.start(ctx), serveGRPC(ctx, listener, e.server))
	e.duties = append(e.duties, e.Start(ctx)...)
	err = e.listen(ctx, s.Entry)
	if err != nil {
		cancel()
		e.server.Stop()
		return nil, err
	}
	return e, nil
}

func (e *Entry) listen(ctx context.Context, s conf.Entry) error {
	var err error
	e.admin, err = serveHTTP(ctx, "operators", s.Admin, adminHeaderBytes, e.Operators(), e.logger)
	if err != nil {
		return err
	}
	e.callers, err = serveHTTP(ctx, "callers", s.Listen, s.MaxHeaderBytes, e.Callers(), e.logger)
	if err != nil {
		e.admin.server.Close()
	}
	return err
}

// Addr returns the address for callers.
func (e *Entry) Addr() string { return e.callers.Addr() }

// AdminAddr returns the address for operators.
func (e *Entry) AdminAddr() string { return e.admin.Addr() }

// Stop stops gracefully: the entry is unready at once, refuses new requests after
// the delay for the balancer, and ends when the open ones have. The end of the
// context cuts off what is still open, which the error and the log say.
func (e *Entry) Stop(ctx context.Context) error {
	cut := e.Drain(context.WithoutCancel(ctx), e.timing, stopsOf(ctx))
	e.callers.stop(ctx)
	e.admin.stop(ctx)
	e.cancel()
	e.server.Stop()
	e.dialer.Close()
	return errors.Join(cut, duty.Wait(e.logger, append(e.duties, e.callers.duty, e.admin.duty)...))
}

// stopsOf returns stop signals: one at once, and a second when the context ends.
func stopsOf(ctx context.Context) <-chan struct{} {
	stops := make(chan struct{}, 2)
	stops <- struct{}{}
	context.AfterFunc(ctx, func() { stops <- struct{}{} })
	return stops
}
