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

// loopbackAny is a free port of the loopback interface.
const loopbackAny = "127.0.0.1:0"

// Dev is a whole deployment of stand-ins in one process: an entry, and an agent
// for each stand-in backend server.
type Dev struct {
	Entry  *Entry
	Agents []*Agent
	Log    *memlog.Log
	List   *roster.Roster

	servers []*httpServer
	// duties step the stand-in rank groups until the context ends.
	duties []*duty.Duty
	cancel context.CancelFunc
	// Handlers holds the stand-in backend servers, in the order of Agents.
	Handlers []http.Handler
}

// StartDev starts the deployment that the settings describe.
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
	s.Entry.Peer = loopbackAny
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

func (d *Dev) startReplica(ctx context.Context, s conf.Settings, zone track.AvailabilityZone, replicas conf.Replicas, id track.InstanceID, clock clockwork.Clock, logger *zap.Logger) error {
	handler := backendHandler(clock, s, replicas)
	s.Agent.Experts.Slots = conf.DefaultSlots(replicas.Ranks, s.Agent.Experts.PerLayer)
	front := handler
	if replicas.Ranks > 0 {
		var stepping *duty.Duty
		front, stepping = withRanks(ctx, handler, s.Agent.Experts, replicas, clock)
		d.duties = append(d.duties, stepping)
	}
	server, err := serveHTTP(ctx, "backend server", loopbackAny, adminHeaderBytes, front, logger)
	if err != nil {
		return err
	}
	d.servers = append(d.servers, server)
	s.Agent.ID = id
	s.Agent.Zone = zone
	s.Agent.Listen = loopbackAny
	s.Agent.BackendURL = "http://" + server.Addr()
	s.Agent.Serves = replicas.Target
	s.Agent.Ranks = replicas.Ranks
	s.Agent.GroupRanks = replicas.Ranks
	if replicas.Ranks > 0 {
		s.Agent.Admin = loopbackAny
		s.Agent.Group = string(id)
	}
	agent, err := StartAgent(ctx, s, Platform{Log: d.Log, List: d.List}, logger.Named(string(id)))
	if err != nil {
		return err
	}
	d.Agents = append(d.Agents, agent)
	d.Handlers = append(d.Handlers, handler)
	d.List.Put(agent.Instance())
	return nil
}

// stopTimeout bounds the stop of one stand-in.
const stopTimeout = 10 * time.Second

// Stop ends the entry gracefully, and then the rest.
func (d *Dev) Stop(ctx context.Context) error {
	err := d.Entry.Stop(ctx)
	d.stopAgents(ctx)
	return err
}

func (d *Dev) stopAgents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	for _, a := range d.Agents {
		// The process ends; failures are in the log.
		_ = a.Stop(ctx)
	}
	for _, s := range d.servers {
		s.stop(ctx)
	}
	d.cancel()
	for _, stepping := range d.duties {
		// It ends with the context; its end is no failure.
		for range stepping.Done() {
		}
	}
}
