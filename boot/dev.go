package boot

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/stand/memlog"
	"filberttrack.example/track/stand/roster"
)

// loopbackAnyPort makes a listener choose a free port of the loopback interface.
const loopbackAnyPort = "127.0.0.1:0"

// Dev is a running deployment for development in one process: an entry, stand-ins for
// the platform and the backend servers, and an agent for each backend server.
type Dev struct {
	Entry  *Entry
	Agents []*Agent
	Log    *memlog.Log
	List   *roster.InstanceList

	servers []*httpServer
	// stepTasks step the stand-in rank groups until the context ends.
	stepTasks []*duty.Duty
	cancel    context.CancelFunc
	// Backends are the stand-in backend servers, in the order of Agents.
	Backends []http.Handler
}

// StartDev starts the deployment that the settings describe, with free ports for all
// but the entry's HTTP servers.
func StartDev(ctx context.Context, s conf.Settings, logger *zap.Logger) (*Dev, error) {
	clock := clockwork.NewRealClock()
	ctx, cancel := context.WithCancel(ctx)
	d := &Dev{
		cancel: cancel,
		Log:    memlog.New(clock, memlog.Settings{Retention: s.Standin.Retention}),
		List:   roster.New(clock),
	}
	err := d.startAgents(ctx, s, clock, logger)
	if err != nil {
		d.stopAgents(ctx)
		return nil, err
	}
	s.Entry.ID = "entry-1"
	s.Entry.Zone = s.Zone[0].Name
	s.Entry.Peer = loopbackAnyPort
	d.Entry, err = StartEntry(ctx, s, Platform{Log: d.Log, List: d.List}, logger.Named(string(s.Entry.ID)))
	if err != nil {
		d.stopAgents(ctx)
		return nil, err
	}
	return d, nil
}

func (d *Dev) startAgents(ctx context.Context, s conf.Settings, clock clockwork.Clock, logger *zap.Logger) error {
	for _, zone := range s.Zone {
		for _, replicas := range zone.Replicas {
			for i := range replicas.Count {
				id := track.InstanceID(fmt.Sprintf("agent-%s-%s-%d", zone.Name, replicas.Target, i+1))
				err := d.startReplica(ctx, s, zone.Name, replicas, id, clock, logger)
				if err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (d *Dev) startReplica(
	ctx context.Context, s conf.Settings, zone track.AvailabilityZone, replicas conf.Replicas, id track.InstanceID,
	clock clockwork.Clock, logger *zap.Logger,
) error {
	handler := newStandinBackend(clock, s, replicas)
	s.Agent.Experts.Slots = conf.DefaultSlots(replicas.Ranks, s.Agent.Experts.PerLayer)
	backend := handler
	if replicas.Ranks > 0 {
		var stepTask *duty.Duty
		backend, stepTask = withStandinRanks(ctx, handler, s.Agent.Experts, replicas, clock)
		d.stepTasks = append(d.stepTasks, stepTask)
	}
	server, err := startHTTPServer(ctx, "backend server", loopbackAnyPort, adminMaxHeaderBytes, backend, logger)
	if err != nil {
		return err
	}
	d.servers = append(d.servers, server)
	s.Agent.ID = id
	s.Agent.Zone = zone
	s.Agent.Listen = loopbackAnyPort
	s.Agent.BackendURL = "http://" + server.Addr()
	s.Agent.Serves = replicas.Target
	s.Agent.Ranks = replicas.Ranks
	s.Agent.GroupRanks = replicas.Ranks
	if replicas.Ranks > 0 {
		s.Agent.Admin = loopbackAnyPort
		s.Agent.Group = string(id)
	}
	agent, err := StartAgent(ctx, s, Platform{Log: d.Log, List: d.List}, logger.Named(string(id)))
	if err != nil {
		return err
	}
	d.Agents = append(d.Agents, agent)
	d.Backends = append(d.Backends, handler)
	d.List.Put(agent.Instance())
	return nil
}

// agentsStopTimeout bounds the stop of all agents and stand-ins together.
const agentsStopTimeout = 10 * time.Second

// Stop stops the entry gracefully, and then the agents and the stand-ins. It returns
// only the errors of the entry.
func (d *Dev) Stop(ctx context.Context) error {
	err := d.Entry.Stop(ctx)
	d.stopAgents(ctx)
	return err
}

func (d *Dev) stopAgents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), agentsStopTimeout)
	defer cancel()
	for _, a := range d.Agents {
		// The process ends anyway, and the agent logs its failures.
		_ = a.Stop(ctx)
	}
	for _, s := range d.servers {
		s.stop(ctx)
	}
	d.cancel()
	for _, task := range d.stepTasks {
		// The task ends because its context does, so its error is no failure.
		for range task.Done() {
		}
	}
}
