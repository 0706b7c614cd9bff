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
	"filberttrack.example/track/conf"
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
	admin    *admin.Handler
	// steer and door are nil for an agent without ranks.
	steer *steer.Steer
	door  *swap.Door
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
		metrics: metrics.NewSet(),
		instance: track.Instance{
			ID: s.Agent.ID, Role: track.RoleAgent, Region: s.Region, Zone: s.Agent.Zone, State: track.Live,
			Serves: s.Agent.Serves, Group: s.Agent.Group, Ranks: s.Agent.Ranks,
		},
	}
	c.agent = agent.New(agent.Options{
		Instance:    c.instance,
		Incarnation: track.Incarnation(ports.Clock.Now().UnixNano()),
		Backend:     backend,
		Client:      ports.Client,
		Clock:       ports.Clock,
		Logger:      ports.Logger,
		Metrics:     c.metrics,
		Ledger:      ledger.Defaults(),
	})
	c.admin = admin.New(admin.Options{Status: c.Status, Metrics: c.metrics, Profiling: s.Logging.Profiling})
	return c, c.joinRanks(s, backend)
}

// Start starts the duties of the agent.
func (c *AgentCore) Start(ctx context.Context) []*duty.Duty {
	duties := []*duty.Duty{
		duty.Start(ctx, "probe backend server", c.agent.Probe),
	}
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
func (c *AgentCore) Leave() { c.agent.Leave() }

// Status returns the status of the agent.
func (c *AgentCore) Status() track.Status {
	// Report of a local agent does not fail.
	report, _ := c.agent.Report(context.Background())
	return track.Status{
		Instance:     c.instance,
		Incarnation:  report.Incarnation,
		Started:      c.started,
		Ready:        report.Up && !report.Leaving,
		Stopping:     report.Leaving,
		OpenRequests: report.Load.Running,
	}
}

// Drain refuses new work and waits until work in progress has ended, or the
// context has.
func (c *AgentCore) Drain(ctx context.Context) {
	c.agent.Leave()
	waitUntil(ctx, c.ports.Clock, func() bool { return c.agent.Running() == 0 })
}
