package boot

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/admin"
	"filberttrack.example/track/admit"
	"filberttrack.example/track/beat"
	"filberttrack.example/track/claims"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/config"
	"filberttrack.example/track/crash"
	"filberttrack.example/track/drain"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/edits"
	"filberttrack.example/track/entry"
	"filberttrack.example/track/entry/parse"
	"filberttrack.example/track/entry/relay"
	"filberttrack.example/track/frames"
	"filberttrack.example/track/limit"
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
	gates    *admit.Controllers
	crashes  *crash.Tracker
	members  *beat.Exchange
	unready  atomic.Bool
	claims   *claims.Executor
}

// NewEntryCore joins the parts of an entry.
func NewEntryCore(s conf.Settings, ports Ports) *EntryCore {
	c := &EntryCore{
		ports:   ports,
		started: ports.Clock.Now(),
		instance: track.Instance{
			ID: s.Entry.ID, Role: track.RoleEntry, Region: s.Region, Zone: s.Entry.Zone, State: track.Live,
			Address: ports.Address,
		},
		metrics: ports.Metrics,
		seed:    s.Config(),
	}
	notices := beat.NewNotices(track.TopicUsage, track.TopicQuarantine)
	c.joinPolicies(notices)
	store, topic := newStore(c.instance, c.started, ports, ports.Platform.Log, s.Platform.Retention, c.metrics, func() *beat.Exchange { return c.members })
	c.config = store
	topics := append(notices.Handlers(), topic)
	c.members = newExchange(c.instance, c.started, ports, c.metrics, c.local, c.router.Update, topics...)
	notices.SendImmediately(track.TopicQuarantine, c.members)
	ports.Dialer = leaveWatcher{ports.Dialer, c.members}
	drops := frames.NewDropCounters(c.metrics)
	limits := claims.Defaults()
	limits.KeyRetention = s.Entry.Claims.KeyRetention
	limits.TimedKeysOnly = s.Entry.Claims.TimedKeysOnly
	c.claims = claims.New(claims.Options{
		Log: ports.Platform.Log, Dialer: ports.Dialer, Clock: ports.Clock, Logger: ports.Logger,
		Metrics: c.metrics, Drops: drops, Settings: limits,
	})
	c.entry = entry.New(entry.Options{
		Instance:       c.instance,
		Directory:      c.config.Directory(),
		Router:         c.router,
		Dialer:         ports.Dialer,
		Clock:          ports.Clock,
		Logger:         ports.Logger,
		Metrics:        c.metrics,
		NewID:          ports.NewID,
		RequestLimits:  parse.Limits{MaxBodyBytes: s.Entry.MaxBodyBytes, MaxTimeout: s.Entry.MaxTimeout},
		ResponseLimits: relay.Limits{MaxAnswerBytes: s.Entry.MaxAnswerBytes},
		LogDecisions:   s.Logging.Decisions,
		Claims:         c.claims,
		Limiter:        c.limiter,
		Admission:      c.gates,
		Capacity:       c.router,
		Retries:        retry.New(ports.Clock, c.random("retry")),
		Crashes:        c.crashes,
		FrameDrops:     drops,
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
	c.members.RunOnce(ctx)
	duties := append(c.config.Start(ctx), duty.Start(ctx, "exchange heartbeats", c.members.Run))
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
	config := c.config.Status()
	status := track.Status{
		Instance:      c.instance,
		Started:       c.started,
		Ready:         c.config.Ready() && !c.unready.Load() && !c.entry.Stopping(),
		Stopping:      c.entry.Stopping(),
		ConfigVersion: config.Version,
		ConfigAge:     config.Age,
		LogFault:      config.LogError,
		OpenRequests:  c.entry.OpenCount(),
		Servers:       c.members.Servers(),
	}
	addMembership(&status, c.members.View())
	return status
}

// Instance describes the entry, with the address for other instances.
func (c *EntryCore) Instance() track.Instance { return c.instance }

// Members returns the port for the heartbeats of other instances.
func (c *EntryCore) Members() track.Peer { return c.members }

// local returns what the entry tells others about itself.
func (c *EntryCore) local() beat.LocalState {
	return beat.LocalState{Leaving: c.unready.Load()}
}

// Drain stops gracefully: unready at once, no new requests after the balancer
// had time to notice, then the open ones end. A second stop ends it early.
func (c *EntryCore) Drain(ctx context.Context, timing drain.Timeouts, stops <-chan struct{}) error {
	return drain.New(timing, drain.Hooks{
		MarkUnready:   func() { c.unready.Store(true) },
		NotifyPeers:   c.members.Leave,
		StopAccepting: c.entry.StopAccepting,
		OpenRequests:  c.entry.OpenRequests,
	}, c.ports.Clock, c.ports.Logger).Run(ctx, stops)
}
