package boot

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/admin"
	"filberttrack.example/track/admit"
	"filberttrack.example/track/claims"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/config"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/edits"
	"filberttrack.example/track/entry"
	"filberttrack.example/track/entry/parse"
	"filberttrack.example/track/entry/relay"
	"filberttrack.example/track/frames"
	"filberttrack.example/track/limit"
	"filberttrack.example/track/poll"
	"filberttrack.example/track/retry"
	"filberttrack.example/track/router"
)

// EntryCore is an entry without its listeners: all its parts, joined.
type EntryCore struct {
	ports    Ports
	instance track.Instance
	started  time.Time
	metrics  *metrics.Set
	entry    *entry.Entry
	admin    *admin.Handler
	config   *config.Store
	seed     track.Config
	router   *router.Router
	limiter  *limit.Limiter
	gates    *admit.Gates
	crashes  *crash.Tracker
	poller   *poll.Poller
	claims   *claims.Book
}

// NewEntryCore joins the parts of an entry.
func NewEntryCore(s conf.Settings, ports Ports) *EntryCore {
	c := &EntryCore{
		ports:   ports,
		started: ports.Clock.Now(),
		instance: track.Instance{
			ID: s.Entry.ID, Role: track.RoleEntry, Region: s.Region, Zone: s.Entry.Zone, State: track.Live,
		},
		metrics: metrics.NewSet(),
		seed:    s.Config(),
	}
	c.joinPolicies()
	c.config = config.New(config.Options{
		Self: c.instance, Log: ports.Platform.Log, Peers: noPeers{}, Clock: ports.Clock,
		Logger: ports.Logger, Metrics: c.metrics, Seed: randomSeed(c.instance.ID, c.started),
	})
	c.poller = poll.New(poll.Options{
		List: ports.Platform.List, Dialer: ports.Dialer, Router: c.router, Clock: ports.Clock, Logger: ports.Logger,
	})
	drops := frames.NewDrops(c.metrics)
	limits := claims.Defaults()
	limits.KeyRetention = s.Entry.Claims.KeyRetention
	limits.TimedKeysOnly = s.Entry.Claims.TimedKeysOnly
	c.claims = claims.New(claims.Options{
		Log: ports.Platform.Log, Agents: ports.Dialer, Clock: ports.Clock, Logger: ports.Logger,
		Metrics: c.metrics, Drops: drops, Settings: limits,
	})
	c.entry = entry.New(entry.Options{
		Instance:     c.instance,
		Directory:    c.config.Directory(),
		Router:       c.router,
		Dialer:       ports.Dialer,
		Clock:        ports.Clock,
		Logger:       ports.Logger,
		Metrics:      c.metrics,
		NewID:        ports.NewID,
		Parse:        parse.Limits{MaxBodyBytes: s.Entry.MaxBodyBytes, MaxTimeout: s.Entry.MaxTimeout},
		Relay:        relay.Limits{MaxAnswerBytes: s.Entry.MaxAnswerBytes},
		LogDecisions: s.Logging.Decisions,
		Claims:       c.claims,
		Limiter:      c.limiter,
		Gates:        c.gates,
		Capacity:     c.router,
		Retries:      retry.New(ports.Clock, c.random("retry")),
		Crashes:      c.crashes,
		Drops:        drops,
	})
	c.admin = admin.New(admin.Options{Status: c.Status, Metrics: c.metrics, Profiling: s.Logging.Profiling})
	c.crashes.Register(c.admin, ports.Guard)
	edits.New(edits.Options{
		Store: c.config, Guard: ports.Guard, Clock: ports.Clock, Logger: ports.Logger,
	}).Register(c.admin)
	return c
}

// configWait bounds the wait for the configuration at the start. An entry that
// has none after that is not ready, and goes on trying.
const configWait = 10 * time.Second

// Start starts the duties of the entry. The entry can route when it returns,
// unless it has no configuration yet.
func (c *EntryCore) Start(ctx context.Context) []*duty.Duty {
	c.poller.Round(ctx)
	duties := append(c.config.Start(ctx), duty.Start(ctx, "poll agents", c.poller.Run))
	duties = append(duties, c.claims.Start(ctx)...)
	duties = append(duties,
		duty.Start(ctx, "refresh admission", c.gates.Run),
		duty.Start(ctx, "share usage and quarantine", c.share))
	seeded := make(chan struct{})
	duties = append(duties, duty.Start(ctx, "seed configuration", func(ctx context.Context) error {
		defer close(seeded)
		return c.config.Seed(ctx, &c.seed)
	}))
	select {
	case <-seeded:
	case <-ctx.Done():
	case <-c.ports.Clock.After(configWait):
		c.ports.Logger.Warn("started without configuration", zap.Duration("Waited", configWait))
	}
	return duties
}

// Callers returns the handler for callers.
func (c *EntryCore) Callers() http.Handler { return c.entry }

// Operators returns the handler for operators.
func (c *EntryCore) Operators() http.Handler { return c.admin }

// Status returns the status of the entry.
func (c *EntryCore) Status() track.Status {
	status := c.config.Status()
	return track.Status{
		Instance:      c.instance,
		Started:       c.started,
		Ready:         c.config.Ready() && !c.entry.Stopping(),
		Stopping:      c.entry.Stopping(),
		ConfigVersion: status.Version,
		ConfigAge:     status.Age,
		LogFault:      status.LogFault,
		OpenRequests:  c.entry.Open(),
		Servers:       c.poller.Servers(),
	}
}

// Drain refuses new requests and waits until the open ones have ended, or the
// context has.
func (c *EntryCore) Drain(ctx context.Context) {
	c.entry.Stop()
	waitUntil(ctx, c.ports.Clock, func() bool { return c.entry.Open() == 0 })
}
