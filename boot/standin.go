package boot

import (
	"context"
	"net/http"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/plat"
	"filberttrack.example/track/stand/desk"
	"filberttrack.example/track/stand/engine"
	"filberttrack.example/track/stand/memlog"
	"filberttrack.example/track/stand/roster"
)

// newStandinBackend returns a stand-in for a backend server: an inference engine if the
// target is a model, else a service that takes bookings.
func newStandinBackend(clock clockwork.Clock, s conf.Settings, replicas conf.Replicas) http.Handler {
	for _, m := range s.Model {
		if m.Name == replicas.Target {
			return engine.New(clock, engine.Settings{
				Model:       replicas.Target,
				Capacity:    replicas.Capacity,
				StepTime:    replicas.StepTime,
				CacheBlocks: replicas.CacheBlocks,
			})
		}
	}
	return desk.New(clock, desk.Settings{PartsOrders: true})
}

// Standin is a running process that stands in for the platform's services and the
// backend servers, at the addresses in the settings.
type Standin struct {
	logger   *zap.Logger
	platform *httpServer
	servers  []*httpServer
}

// StartStandin starts the stand-ins of the platform's log and instance list, and of the
// backend servers that the settings name. It fails if it can't listen.
func StartStandin(ctx context.Context, s conf.Settings, logger *zap.Logger) (*Standin, error) {
	clock := clockwork.NewRealClock()
	list := roster.New(clock)
	for _, server := range s.Standin.Servers {
		if server.Agent != "" {
			list.Put(listedAgent(s.Region, server))
		}
	}
	mux := http.NewServeMux()
	mux.Handle("/streams/", plat.NewLogHandler(memlog.New(clock, memlog.Settings{Retention: s.Standin.Retention})))
	mux.Handle("/instances", plat.NewInstanceListHandler(list))
	p := &Standin{logger: logger}
	var err error
	p.platform, err = startHTTPServer(ctx, "platform", s.Standin.Listen, adminMaxHeaderBytes, mux, logger)
	if err != nil {
		return nil, err
	}
	for _, server := range s.Standin.Servers {
		err = p.startServer(ctx, s, server, clock)
		if err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

// listedAgent returns the instance list's record of the agent of a stand-in server.
func listedAgent(region track.Region, server conf.StandinServer) track.Instance {
	return track.Instance{
		ID:      server.Agent,
		Role:    track.RoleAgent,
		Region:  region,
		Zone:    server.Zone,
		Address: server.AgentAddress,
		State:   track.InstanceLive,
		Serves:  server.Target,
	}
}

func (p *Standin) startServer(
	ctx context.Context, s conf.Settings, server conf.StandinServer, clock clockwork.Clock,
) error {
	handler := newStandinBackend(clock, s, conf.Replicas{
		Target:      server.Target,
		Capacity:    server.Capacity,
		StepTime:    server.StepTime,
		CacheBlocks: server.CacheBlocks,
	})
	started, err := startHTTPServer(ctx, "backend server", server.Listen, adminMaxHeaderBytes, handler, p.logger)
	if err != nil {
		return err
	}
	p.servers = append(p.servers, started)
	return nil
}

// Addr returns the host and port of the platform's stand-ins.
func (p *Standin) Addr() string { return p.platform.Addr() }

// Stop stops the stand-ins gracefully. The end of the context cuts off requests that
// are still open.
func (p *Standin) Stop(ctx context.Context) error {
	tasks := []*duty.Duty{p.platform.task}
	for _, s := range p.servers {
		s.stop(ctx)
		tasks = append(tasks, s.task)
	}
	p.platform.stop(ctx)
	return duty.Wait(p.logger, tasks...)
}

func (p *Standin) close() {
	p.platform.server.Close()
	for _, s := range p.servers {
		s.server.Close()
	}
}
