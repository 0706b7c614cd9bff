package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
	deploy "filberttrack.example/track/examples"
	"filberttrack.example/track/stand/engine"
	"filberttrack.example/track/stand/memlog"
	"filberttrack.example/track/stand/roster"
)

const (
	rigModel = "dispatch-llm"
	rigToken = "rivera-drivers-token"
	rigZone  = "rivera"
	loopback = "127.0.0.1:0"
	// stopTimeout bounds the stop of the rig.
	stopTimeout = 10 * time.Second
)

// rig is an entry before agents, each beside a stand-in engine, in this process
// and joined over the loopback interface.
type rig struct {
	entry   *boot.Entry
	agents  []*boot.Agent
	servers []*http.Server
	engines []*engine.Engine
	// bases are the base URLs of the engines.
	bases []string
	// copies are the base URLs of servers that only copy what an engine says.
	copies []string
}

// startRig starts the given number of replicas with equal engines.
func startRig(ctx context.Context, replicas int, settings engine.Settings) (*rig, error) {
	s, err := conf.Parse("aserrin.toml", deploy.Aserrin, conf.UseDev)
	if err != nil {
		return nil, err
	}
	s.Zone = nil
	s.Entry.ID = "entry-1"
	s.Entry.Zone = rigZone
	s.Entry.Listen = loopback
	s.Entry.Admin = loopback
	s.Entry.BalancerDelay = 0
	s.Logging.Decisions = false
	clock := clockwork.NewRealClock()
	list := roster.New(clock)
	settings.Model = rigModel
	r := &rig{}
	for i := range replicas {
		if err := r.startReplica(ctx, s, i, clock, list, settings); err != nil {
			return nil, errors.Join(err, r.stop(ctx))
		}
	}
	platform := boot.Platform{Log: memlog.New(clock, memlog.Settings{}), List: list}
	r.entry, err = boot.StartEntry(ctx, s, platform, zap.NewNop())
	if err != nil {
		return nil, errors.Join(err, r.stop(ctx))
	}
	return r, nil
}

func (r *rig) startReplica(ctx context.Context, s conf.Settings, number int, clock clockwork.Clock, list *roster.Roster, settings engine.Settings) error {
	standin := engine.New(clock, settings)
	r.engines = append(r.engines, standin)
	url, err := r.serve(ctx, standin)
	if err != nil {
		return err
	}
	r.bases = append(r.bases, url)
	copied, err := r.serve(ctx, &copier{client: newClient(), base: url})
	if err != nil {
		return err
	}
	r.copies = append(r.copies, copied)

	s.Agent.ID = track.InstanceID(fmt.Sprintf("agent-%d", number))
	s.Agent.Zone = rigZone
	s.Agent.Listen = loopback
	s.Agent.BackendURL = url
	s.Agent.Serves = rigModel
	agent, err := boot.StartAgent(ctx, s, boot.Platform{List: list}, zap.NewNop())
	if err != nil {
		return err
	}
	r.agents = append(r.agents, agent)
	list.Put(agent.Instance())
	return nil
}

// serve serves the handler on a free port until the rig stops, and returns the
// base URL.
func (r *rig) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// urls returns the base URLs of the engines.
func (r *rig) urls() []string {
	return r.bases
}

// running returns the number of requests in the batches of the engines.
func (r *rig) running() int {
	n := 0
	for _, e := range r.engines {
		n += e.Running()
	}
	return n
}

// stop ends all parts of the rig.
func (r *rig) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	var failures []error
	if r.entry != nil {
		failures = append(failures, r.entry.Stop(ctx))
	}
	for _, a := range r.agents {
		failures = append(failures, a.Stop(ctx))
	}
	for _, s := range r.servers {
		failures = append(failures, s.Close())
	}
	return errors.Join(failures...)
}
