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
	"filberttrack.example/track/barred"
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
	"filberttrack.example/track/parts"
	"filberttrack.example/track/retry"
	"filberttrack.example/track/router"
)

// EntryCore is an entry without its servers: the components that route, limit and
// admit requests, store the configuration and exchange heartbeats.
type EntryCore struct {
	deps          Dependencies
	instance      track.Instance
	started       time.Time
	metrics       *metrics.Set
	entry         *entry.Entry
	admin         *admin.Handler
	config        *config.Store
	initialConfig track.Config
	router        *router.Router
	limiter       *limit.Limiter
	admission     *admit.Controllers
	crashTracker  *crash.Tracker
	partsTracker  *parts.Tracker
	partsSharer   *parts.Sharer
	barredKeeper  *barred.Keeper
	membership    *beat.Exchange
	unready       atomic.Bool
	claims        *claims.Executor
}

// NewEntryCore builds the components of an entry and connects them.
func NewEntryCore(s conf.Settings, deps Dependencies) *EntryCore {
	c := &EntryCore{
		deps:    deps,
		started: deps.Clock.Now(),
		instance: track.Instance{
			ID: s.Entry.ID, Role: track.RoleEntry, Region: s.Region, Zone: s.Entry.Zone, State: track.InstanceLive,
			Address: deps.Address,
		},
		metrics:       deps.Metrics,
		initialConfig: s.Config(),
	}
	notices := beat.NewNotices(track.TopicUsage, track.TopicQuarantine, track.TopicParts)
	c.setUpPolicies(notices)
	store, configTopic := newConfigStore(
		c.instance, c.started, deps, deps.Platform.Log, s.Platform.Retention,
		c.metrics, func() *beat.Exchange { return c.membership },
	)
	c.config = store
	topics := append(notices.Handlers(), configTopic)
	c.membership = newMembership(c.instance, c.started, deps, c.metrics, c.heartbeatState, c.router.Update, topics...)
	notices.SendImmediately(track.TopicQuarantine, c.membership)
	notices.SendImmediately(track.TopicParts, c.membership)
	deps.AgentDialer = leaveDetectingDialer{deps.AgentDialer, c.membership}
	frameDrops := frames.NewDropCounters(c.metrics)
	claimSettings := claims.Defaults()
	claimSettings.KeyRetention = s.Entry.Claims.KeyRetention
	claimSettings.TimedKeysOnly = s.Entry.Claims.TimedKeysOnly
	c.claims = claims.New(claims.Options{
		Log: deps.Platform.Log, Dialer: deps.AgentDialer, Clock: deps.Clock, Logger: deps.Logger,
		Metrics: c.metrics, Drops: frameDrops, Settings: claimSettings,
	})
	c.entry = entry.New(entry.Options{
		Instance:       c.instance,
		Directory:      c.config.Directory(),
		Router:         c.router,
		Dialer:         deps.AgentDialer,
		Clock:          deps.Clock,
		Logger:         deps.Logger,
		Metrics:        c.metrics,
		NewID:          deps.NewID,
		RequestLimits:  parse.Limits{MaxBodyBytes: s.Entry.MaxBodyBytes, MaxTimeout: s.Entry.MaxTimeout},
		ResponseLimits: relay.Limits{MaxAnswerBytes: s.Entry.MaxAnswerBytes},
		LogDecisions:   s.Logging.Decisions,
		Claims:         c.claims,
		Limiter:        c.limiter,
		Admission:      c.admission,
		Capacity:       c.router,
		Retries:        retry.New(deps.Clock, c.newRand("retry")),
		Crashes:        c.crashTracker,
		Parts:          c.partsTracker,
		FrameDrops:     frameDrops,
	})
	c.admin = admin.New(admin.Options{Status: c.Status, Metrics: c.metrics, Profiling: s.Logging.Profiling})
	crash.Register(c.admin, c.crashTracker, c.partsTracker, deps.OperatorAuth)
	edits.New(edits.Options{
		Store: c.config, Guard: deps.OperatorAuth, Clock: deps.Clock, Logger: deps.Logger,
	}).Register(c.admin)
	return c
}

// configTimeout bounds the wait for the configuration at the start. An entry that has
// none by then starts all the same, reports itself unready and keeps trying.
const configTimeout = 10 * time.Second

// Start starts the background tasks of the entry and returns them. The entry can
// route requests once Start returns, unless it has no configuration yet.
func (c *EntryCore) Start(ctx context.Context) []*duty.Duty {
	c.membership.RunOnce(ctx)
	tasks := append(c.config.Start(ctx), duty.Start(ctx, "exchange heartbeats", c.membership.Run))
	tasks = append(tasks, c.claims.Start(ctx)...)
	tasks = append(tasks,
		duty.Start(ctx, "refresh admission", c.admission.Run),
		duty.Start(ctx, "share usage and quarantine", c.publishUsageAndQuarantine),
		duty.Start(ctx, "keep quarantine", c.barredKeeper.Run))
	seeded := make(chan struct{})
	tasks = append(tasks, duty.Start(ctx, "seed configuration", func(ctx context.Context) error {
		defer close(seeded)
		return c.config.Seed(ctx, &c.initialConfig)
	}))
	select {
	case <-seeded:
	case <-ctx.Done():
	case <-c.deps.Clock.After(configTimeout):
		c.deps.Logger.Warn("started without configuration", zap.Duration("Waited", configTimeout))
	}
	return tasks
}

// ClientHandler returns the HTTP handler for the requests of clients.
func (c *EntryCore) ClientHandler() http.Handler { return c.entry }

// AdminHandler returns the HTTP handler for operators.
func (c *EntryCore) AdminHandler() http.Handler { return c.admin }

// Status returns the status that operators see.
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
		Servers:       c.membership.Servers(),
	}
	addMembership(&status, c.membership.View())
	return status
}

// Instance describes the entry as the instance list does, with the address that
// other instances call.
func (c *EntryCore) Instance() track.Instance { return c.instance }

// Peer returns the handler of the heartbeats and queries of other instances.
func (c *EntryCore) Peer() track.Peer { return c.membership }

// heartbeatState returns the state that the entry's heartbeats carry.
func (c *EntryCore) heartbeatState() beat.LocalState {
	return beat.LocalState{Leaving: c.unready.Load()}
}

// Drain makes the entry report itself unready at once, refuses new requests after the
// deregistration delay, in which the load balancer in front notices, and waits until
// the open requests have ended. A second stop signal ends the wait early.
func (c *EntryCore) Drain(ctx context.Context, timeouts drain.Timeouts, stops <-chan struct{}) error {
	return drain.New(timeouts, drain.Hooks{
		MarkUnready:   func() { c.unready.Store(true) },
		NotifyPeers:   c.membership.Leave,
		StopAccepting: c.entry.StopAccepting,
		OpenRequests:  c.entry.OpenRequests,
	}, c.deps.Clock, c.deps.Logger).Run(ctx, stops)
}
