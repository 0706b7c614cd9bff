// Package poll keeps a router's set of replicas up to date by asking the agents
// on the platform's list for reports.
package poll

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"filberttrack.example/track"
)

// Options holds what a poller is made of.
type Options struct {
	List   track.InstanceList
	Dialer track.AgentDialer
	Router track.Router
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Poller asks agents for reports.
type Poller struct {
	options Options

	mu      sync.Mutex
	agents  []track.Instance
	servers []track.BackendServer
	joined  map[track.InstanceID]time.Time
}

// Interval is the time between two rounds of reports.
const Interval = 250 * time.Millisecond

// reportTimeout bounds the wait for one report.
const reportTimeout = time.Second

// maxParallel bounds the reports asked for at once.
const maxParallel = 64

// New returns a poller.
func New(options Options) *Poller {
	return &Poller{options: options, joined: make(map[track.InstanceID]time.Time)}
}

// Run polls until the context ends. It is a duty of an entry.
func (p *Poller) Run(ctx context.Context) error {
	ticker := p.options.Clock.NewTicker(Interval)
	defer ticker.Stop()
	for {
		p.Round(ctx)
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.Chan():
		}
	}
}

// Servers returns the replicas found in the latest round.
func (p *Poller) Servers() []track.BackendServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers
}

// Round asks each agent on the list once. If the list is away, the agents of
// the last list are asked.
func (p *Poller) Round(ctx context.Context) {
	agents := p.listed(ctx)
	reports := make([]track.Report, len(agents))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, instance := range agents {
		group.Go(func() error {
			reports[i] = p.report(ctx, instance)
			return nil
		})
	}
	// The functions report failure by an empty report.
	_ = group.Wait()
	servers := p.usable(agents, reports)
	p.options.Router.Update(servers)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = servers
}

func (p *Poller) listed(ctx context.Context) []track.Instance {
	instances, err := p.options.List.Instances(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.options.Logger.Warn("instance list away", zap.Error(err))
		return p.agents
	}
	p.agents = nil
	for _, instance := range instances {
		if instance.Role == track.RoleAgent {
			p.agents = append(p.agents, instance)
		}
	}
	return p.agents
}

func (p *Poller) report(ctx context.Context, instance track.Instance) track.Report {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	agent, err := p.options.Dialer.Dial(instance)
	if err != nil {
		return track.Report{}
	}
	report, err := agent.Report(ctx)
	if err != nil {
		return track.Report{}
	}
	return report
}

func (p *Poller) usable(agents []track.Instance, reports []track.Report) []track.BackendServer {
	now := p.options.Clock.Now()
	var servers []track.BackendServer
	for i, r := range reports {
		if r.Incarnation == 0 || r.Leaving || !r.Up || agents[i].State == track.Leaving {
			// On its return it is fresh again.
			delete(p.joined, agents[i].ID)
			continue
		}
		if _, ok := p.joined[agents[i].ID]; !ok {
			p.joined[agents[i].ID] = now
		}
		servers = append(servers, track.BackendServer{
			Agent:       agents[i].ID,
			Incarnation: r.Incarnation,
			Zone:        agents[i].Zone,
			Target:      r.Instance.Serves,
			Address:     agents[i].Address,
			Joined:      p.joined[agents[i].ID],
			Load:        r.Load,
			Group:       r.Instance.Group,
			Reported:    now,
		})
	}
	return servers
}
