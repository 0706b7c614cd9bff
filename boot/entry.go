package boot

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track/conf"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/wire"
)

// Entry is a running entry with its listeners.
type Entry struct {
	*EntryCore
	logger  *zap.Logger
	dialer  *wire.Dialer
	callers *httpServer
	admin   *httpServer
	duties  []*duty.Duty
	cancel  context.CancelFunc
}

// adminHeaderBytes bounds the header of an operator's request.
const adminHeaderBytes = 32 << 10

// openPollInterval is the time between two looks at the open requests of a
// stopping instance.
const openPollInterval = 20 * time.Millisecond

// StartEntry starts an entry. It is ready when the function returns.
func StartEntry(ctx context.Context, s conf.Settings, platform Platform, logger *zap.Logger) (*Entry, error) {
	token, err := adminToken(s.Operators)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	ports, dialer := realPorts(platform, logger)
	ports.Guard = token.Guard
	e := &Entry{
		EntryCore: NewEntryCore(s, ports),
		logger:    logger,
		dialer:    dialer,
		cancel:    cancel,
	}
	e.duties = e.Start(ctx)
	err = e.listen(ctx, s.Entry)
	if err != nil {
		cancel()
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

// Stop finishes open requests, refuses new ones, and ends the entry. The context
// bounds the time for open requests.
func (e *Entry) Stop(ctx context.Context) error {
	e.Drain(ctx)
	e.callers.stop(ctx)
	e.admin.stop(ctx)
	e.cancel()
	e.dialer.Close()
	return duty.Wait(e.logger, append(e.duties, e.callers.duty, e.admin.duty)...)
}

// waitUntil waits until the condition holds or the context ends.
func waitUntil(ctx context.Context, clock clockwork.Clock, condition func() bool) {
	ticker := clock.NewTicker(openPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}
