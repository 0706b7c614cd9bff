package boot

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"filberttrack.example/track"
	"filberttrack.example/track/admin"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/entry"
	"filberttrack.example/track/entry/parse"
	"filberttrack.example/track/entry/relay"
	"filberttrack.example/track/lookup"
	"filberttrack.example/track/pick"
	"filberttrack.example/track/poll"
	"filberttrack.example/track/wire"
)

// Platform holds the ports to the platform's services.
type Platform struct {
	Log  track.Log
	List track.InstanceList
}

// Entry is a running entry.
type Entry struct {
	settings conf.Settings
	logger   *zap.Logger
	clock    clockwork.Clock
	instance track.Instance
	started  time.Time

	entry   *entry.Entry
	index   *lookup.Index
	poller  *poll.Poller
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
	ctx, cancel := context.WithCancel(ctx)
	clock := clockwork.NewRealClock()
	e := &Entry{
		settings: s,
		logger:   logger,
		clock:    clock,
		started:  clock.Now(),
		cancel:   cancel,
		instance: track.Instance{
			ID: s.Entry.ID, Role: track.RoleEntry, Region: s.Region, Zone: s.Entry.Zone, State: track.Live,
		},
		index:  lookup.New(s.Config()),
		dialer: wire.NewDialer(grpc.WithTransportCredentials(insecure.NewCredentials())),
	}
	router := pick.New()
	set := metrics.NewSet()
	e.poller = poll.New(poll.Options{List: platform.List, Dialer: e.dialer, Router: router, Clock: clock, Logger: logger})
	e.poller.Round(ctx)
	e.duties = append(e.duties, duty.Start(ctx, "poll agents", e.poller.Run))
	e.entry = entry.New(entry.Options{
		Instance:     e.instance,
		Directory:    e.index,
		Router:       router,
		Dialer:       e.dialer,
		Clock:        clock,
		Logger:       logger,
		Metrics:      set,
		NewID:        newRequestID,
		Parse:        parse.Limits{MaxBodyBytes: s.Entry.MaxBodyBytes, MaxTimeout: s.Entry.MaxTimeout},
		Relay:        relay.Limits{MaxAnswerBytes: s.Entry.MaxAnswerBytes},
		LogDecisions: s.Logging.Decisions,
	})
	handler := admin.New(admin.Options{Status: e.Status, Metrics: set, Profiling: s.Logging.Profiling})
	err := e.listen(ctx, handler)
	if err != nil {
		cancel()
		return nil, err
	}
	return e, nil
}

func (e *Entry) listen(ctx context.Context, handler *admin.Handler) error {
	var err error
	e.admin, err = serveHTTP(ctx, "operators", e.settings.Entry.Admin, adminHeaderBytes, handler, e.logger)
	if err != nil {
		return err
	}
	e.callers, err = serveHTTP(ctx, "callers", e.settings.Entry.Listen, e.settings.Entry.MaxHeaderBytes, e.entry, e.logger)
	if err != nil {
		e.admin.server.Close()
	}
	return err
}

// Addr returns the address for callers.
func (e *Entry) Addr() string { return e.callers.Addr() }

// AdminAddr returns the address for operators.
func (e *Entry) AdminAddr() string { return e.admin.Addr() }

// Status returns the status of the entry.
func (e *Entry) Status() track.Status {
	return track.Status{
		Instance:      e.instance,
		Started:       e.started,
		Ready:         !e.entry.Stopping(),
		Stopping:      e.entry.Stopping(),
		ConfigVersion: e.index.Version(),
		OpenRequests:  e.entry.Open(),
		Servers:       e.poller.Servers(),
	}
}

// Stop finishes open requests, refuses new ones, and ends the entry. The context
// bounds the time for open requests.
func (e *Entry) Stop(ctx context.Context) error {
	e.entry.Stop()
	waitUntil(ctx, e.clock, func() bool { return e.entry.Open() == 0 })
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

// requestIDBytes is the length of a request ID before encoding.
const requestIDBytes = 16

func newRequestID() track.RequestID {
	id := make([]byte, requestIDBytes)
	// Read never fails; the runtime ends the process instead.
	_, _ = rand.Read(id)
	return track.RequestID(hex.EncodeToString(id))
}
