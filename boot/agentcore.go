package boot

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track"
	"filberttrack.example/track/admin"
	"filberttrack.example/track/agent"
	"filberttrack.example/track/beat"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/config"
	"filberttrack.example/track/drain"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/ledger"
	"filberttrack.example/track/steer"
	"filberttrack.example/track/swap"
)

// AgentCore is an agent without its servers: the components that probe and call the
// backend server, exchange heartbeats and control a rank group.
type AgentCore struct {
	deps       Dependencies
	instance   track.Instance
	started    time.Time
	metrics    *metrics.Set
	agent      *agent.Agent
	membership *beat.Exchange
	config     *config.Store
	admin      *admin.Handler
	// expertController and rankGateway are nil for an agent without ranks.
	expertController *steer.Controller
	rankGateway      *swap.Gateway
	// roster follows the agents of the rank group; nil unless the group spans
	// several agents.
	roster *steer.Roster
}

// NewAgentCore builds the components of an agent and connects them. It fails if the
// backend server's URL or the dimensions of the rank group are invalid.
func NewAgentCore(s conf.Settings, deps Dependencies) (*AgentCore, error) {
	backend, err := url.Parse(s.Agent.BackendURL)
	if err != nil {
		return nil, fmt.Errorf("parse address of the backend server: %w", err)
	}
	c := &AgentCore{
		deps:    deps,
		started: deps.Clock.Now(),
		metrics: deps.Metrics,
		instance: track.Instance{
			ID: s.Agent.ID, Role: track.RoleAgent, Region: s.Region, Zone: s.Agent.Zone, State: track.InstanceLive,
			Serves: s.Agent.Serves, Group: s.Agent.Group, Ranks: s.Agent.Ranks,
			Address: deps.Address,
		},
	}
	c.agent = agent.New(agent.Options{
		Instance:    c.instance,
		Incarnation: newIncarnation(c.started),
		Backend:     backend,
		Client:      deps.BackendClient,
		Clock:       deps.Clock,
		Logger:      deps.Logger,
		Metrics:     c.metrics,
		Ledger:      ledger.Defaults(),
	})
	store, configTopic := newConfigStore(
		c.instance, c.started, deps, nil, s.Platform.Retention,
		c.metrics, func() *beat.Exchange { return c.membership },
	)
	c.config = store
	c.membership = newMembership(c.instance, c.started, deps, c.metrics, c.heartbeatState, nil, configTopic)
	c.admin = admin.New(admin.Options{Status: c.Status, Metrics: c.metrics, Profiling: s.Logging.Profiling})
	return c, c.setUpRankGroup(s, backend)
}

// Start starts the background tasks of the agent and returns them.
func (c *AgentCore) Start(ctx context.Context) []*duty.Duty {
	tasks := append(c.config.Start(ctx),
		duty.Start(ctx, "probe backend server", c.agent.Probe),
		duty.Start(ctx, "exchange heartbeats", c.membership.Run))
	if c.expertController != nil {
		tasks = append(tasks, duty.Start(ctx, "steer experts", c.expertController.Run))
	}
	if c.roster != nil {
		tasks = append(tasks, duty.Start(ctx, "follow rank group", c.roster.Run))
	}
	return tasks
}

// Agent returns the handler of the calls of entries.
func (c *AgentCore) Agent() track.Agent { return c.agent }

// AdminHandler returns the HTTP handler for operators.
func (c *AgentCore) AdminHandler() http.Handler { return c.admin }

// Instance describes the agent as the instance list does, with the address that
// other instances call.
func (c *AgentCore) Instance() track.Instance { return c.instance }

// Leave makes the agent refuse new requests from now on.
func (c *AgentCore) Leave() { c.agent.StopAccepting() }

// Status returns the status that operators see.
func (c *AgentCore) Status() track.Status {
	// The report of an agent in this process does not fail.
	report, _ := c.agent.Report(context.Background())
	config := c.config.Status()
	status := track.Status{
		ConfigVersion: config.Version,
		ConfigAge:     config.Age,
		Instance:      c.instance,
		Started:       c.started,
		Ready:         report.Up && !report.Leaving,
		Stopping:      report.Leaving,
		OpenRequests:  report.Load.Running,
	}
	addMembership(&status, c.membership.View())
	return status
}

// Peer returns the handler of the heartbeats and queries of other instances.
func (c *AgentCore) Peer() track.Peer { return c.membership }

// heartbeatState returns the state that the agent's heartbeats carry.
func (c *AgentCore) heartbeatState() beat.LocalState {
	// The report of an agent in this process does not fail.
	report, _ := c.agent.Report(context.Background())
	return beat.LocalState{Leaving: report.Leaving, Up: report.Up, Load: report.Load}
}

// Drain refuses new requests at once, announces to the entries that the agent is
// leaving, and waits until the open requests have ended. A second stop signal ends
// the wait early.
func (c *AgentCore) Drain(ctx context.Context, timeouts drain.Timeouts, stops <-chan struct{}) error {
	return drain.New(timeouts, drain.Hooks{
		MarkUnready:  c.agent.StopAccepting,
		NotifyPeers:  c.membership.Leave,
		OpenRequests: c.agent.OpenRequests,
	}, c.deps.Clock, c.deps.Logger).Run(ctx, stops)
}
