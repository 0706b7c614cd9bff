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

// AgentCore is an agent without its listeners: all its parts, joined.
type AgentCore struct {
	ports    Ports
	instance track.Instance
	started  time.Time
	metrics  *metrics.Set
	agent    *agent.Agent
	members  *beat.Exchange
	config   *config.Store
	admin    *admin.Handler
	// steer and door are nil for an agent without ranks.
	steer *steer.Controller
	door  *swap.Gateway
	// roster is nil unless the group spans several agents.
	roster *steer.Roster
}

// NewAgentCore joins the parts of an agent.
func NewAgentCore(s conf.Settings, ports Ports) (*AgentCore, error) {
	backend, err := url.Parse(s.Agent.BackendURL)
	if err != nil {
		return nil, fmt.Errorf("parse address of the backend server: %w", err)
	}
	c := &AgentCore{
		ports:   ports,
		started: ports.Clock.Now(),
		metrics: ports.Metrics,
		instance: track.Instance{
			ID: s.Agent.ID, Role: track.RoleAgent, Region: s.Region, Zone: s.Agent.Zone, State: track.Live,
			Serves: s.Agent.Serves, Group: s.Agent.Group, Ranks: s.Agent.Ranks,
			Address: ports.Address,
		},
	}
	c.agent = agent.New(agent.Options{
		Instance:    c.instance,
		Incarnation: incarnationOf(c.started),
		Backend:     backend,
		Client:      ports.Client,
		Clock:       ports.Clock,
		Logger:      ports.Logger,
		Metrics:     c.metrics,
		Ledger:      ledger.Defaults(),
	})
	store, topic := newStore(c.instance, c.started, ports, nil, s.Platform.Retention, c.metrics, func() *beat.Exchange { return c.members })
	c.config = store
	c.members = newExchange(c.instance, c.started, ports, c.metrics, c.local, nil, topic)
	c.admin = admin.New(admin.Options{Status: c.Status, Metrics: c.metrics, Profiling: s.Logging.Profiling})
	return c, c.joinRanks(s, backend)
}

// Start starts the duties of the agent.
func (c *AgentCore) Start(ctx context.Context) []*duty.Duty {
	duties := append(c.config.Start(ctx),
		duty.Start(ctx, "probe backend server", c.agent.Probe),
		duty.Start(ctx, "exchange heartbeats", c.members.Run))
	if c.steer != nil {
		duties = append(duties, duty.Start(ctx, "steer experts", c.steer.Run))
	}
	if c.roster != nil {
		duties = append(duties, duty.Start(ctx, "follow rank group", c.roster.Run))
	}
	return duties
}

// Port returns the port through which entries reach the agent.
func (c *AgentCore) Port() track.Agent { return c.agent }

// Operators returns the handler for operators.
func (c *AgentCore) Operators() http.Handler { return c.admin }

// Instance describes the agent, with the address it listens on.
func (c *AgentCore) Instance() track.Instance { return c.instance }

// Leave makes the agent refuse new work.
func (c *AgentCore) Leave() { c.agent.StopAccepting() }

// Status returns the status of the agent.
func (c *AgentCore) Status() track.Status {
	// Report of a local agent does not fail.
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
	addMembership(&status, c.members.View())
	return status
}

// Members returns the port for the heartbeats of other instances.
func (c *AgentCore) Members() track.Peer { return c.members }

// local returns what the agent tells entries about itself.
func (c *AgentCore) local() beat.LocalState {
	// Report of a local agent does not fail.
	report, _ := c.agent.Report(context.Background())
	return beat.LocalState{Leaving: report.Leaving, Up: report.Up, Load: report.Load}
}

// Drain refuses new work at once, tells the entries, and waits until work in
// progress has ended. A second stop ends it early.
func (c *AgentCore) Drain(ctx context.Context, timing drain.Timeouts, stops <-chan struct{}) error {
	return drain.New(timing, drain.Hooks{
		MarkUnready:  c.agent.StopAccepting,
		NotifyPeers:  c.members.Leave,
		OpenRequests: c.agent.OpenRequests,
	}, c.ports.Clock, c.ports.Logger).Run(ctx, stops)
}
