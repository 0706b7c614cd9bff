package boot

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"filberttrack.example/track"
	"filberttrack.example/track/admin"
	"filberttrack.example/track/agent"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/wire"
)

// Agent is a running agent.
type Agent struct {
	logger   *zap.Logger
	clock    clockwork.Clock
	started  time.Time
	instance track.Instance
	agent    *agent.Agent
	server   *grpc.Server
	admin    *httpServer
	duties   []*duty.Duty
	cancel   context.CancelFunc
}

// maxBackendConns bounds the idle connections kept to the backend server.
const maxBackendConns = 256

// StartAgent starts an agent. It takes work when the function returns.
func StartAgent(ctx context.Context, s conf.Settings, logger *zap.Logger) (*Agent, error) {
	backend, err := url.Parse(s.Agent.BackendURL)
	if err != nil {
		return nil, fmt.Errorf("parse address of the backend server: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	clock := clockwork.NewRealClock()
	set := metrics.NewSet()
	a := &Agent{
		logger:  logger,
		clock:   clock,
		started: clock.Now(),
		cancel:  cancel,
		server:  wire.NewServer(),
		instance: track.Instance{
			ID: s.Agent.ID, Role: track.RoleAgent, Region: s.Region, Zone: s.Agent.Zone, State: track.Live,
			Serves: s.Agent.Serves, Group: s.Agent.Group, Ranks: s.Agent.Ranks,
		},
	}
	a.agent = agent.New(agent.Options{
		Instance:    a.instance,
		Incarnation: track.Incarnation(clock.Now().UnixNano()),
		Backend:     backend,
		Client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConns:        maxBackendConns,
				MaxIdleConnsPerHost: maxBackendConns,
				DisableCompression:  true,
			},
			// A redirect would run a request a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		Clock:   clock,
		Logger:  logger,
		Metrics: set,
	})
	wire.RegisterAgent(a.server, a.agent)
	err = a.listen(ctx, s, set)
	if err != nil {
		cancel()
		return nil, err
	}
	a.duties = append(a.duties, duty.Start(ctx, "probe backend server", a.agent.Probe))
	return a, nil
}

func (a *Agent) listen(ctx context.Context, s conf.Settings, set *metrics.Set) error {
	listener, serving, err := serveGRPC(ctx, s.Agent.Listen, a.server)
	if err != nil {
		return err
	}
	a.duties = append(a.duties, serving)
	a.instance.Address = listener.Addr().String()
	if s.Agent.Admin == "" {
		return nil
	}
	handler := admin.New(admin.Options{Status: a.Status, Metrics: set, Profiling: s.Logging.Profiling})
	a.admin, err = serveHTTP(ctx, "operators", s.Agent.Admin, adminHeaderBytes, handler, a.logger)
	if err != nil {
		a.server.Stop()
		return err
	}
	a.duties = append(a.duties, a.admin.duty)
	return nil
}

// Instance describes the agent, with the address it listens on.
func (a *Agent) Instance() track.Instance { return a.instance }

// AdminAddr returns the address for operators, or "" if there is none.
func (a *Agent) AdminAddr() string {
	if a.admin == nil {
		return ""
	}
	return a.admin.Addr()
}

// Leave makes the agent refuse new work.
func (a *Agent) Leave() { a.agent.Leave() }

// Status returns the status of the agent.
func (a *Agent) Status() track.Status {
	// Report of a local agent does not fail.
	report, _ := a.agent.Report(context.Background())
	return track.Status{
		Instance:     a.instance,
		Incarnation:  report.Incarnation,
		Started:      a.started,
		Ready:        report.Up && !report.Leaving,
		Stopping:     report.Leaving,
		OpenRequests: report.Load.Running,
	}
}

// Stop refuses new work, finishes work in progress and ends the agent. The
// context bounds the time for work in progress.
func (a *Agent) Stop(ctx context.Context) error {
	a.agent.Leave()
	waitUntil(ctx, a.clock, func() bool { return a.agent.Running() == 0 })
	if a.admin != nil {
		a.admin.stop(ctx)
	}
	a.server.Stop()
	a.cancel()
	return duty.Wait(a.logger, a.duties...)
}
