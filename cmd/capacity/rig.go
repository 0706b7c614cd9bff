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
	examples "filberttrack.example/track/examples"
	"filberttrack.example/track/stand/engine"
	"filberttrack.example/track/stand/memlog"
	"filberttrack.example/track/stand/roster"
)

const (
	testbedModel = "dispatch-llm"
	testbedToken = "rivera-drivers-token"
	testbedZone  = "rivera"
	loopback     = "127.0.0.1:0"
	// stopTimeout is how long the testbed may take to stop.
	stopTimeout = 10 * time.Second
)

// testbed is an entry and agents, each agent with its own stand-in engine. All run in this
// process and are connected over the loopback interface.
type testbed struct {
	entry   *boot.Entry
	agents  []*boot.Agent
	servers []*http.Server
	engines []*engine.Engine
	// engineURLs are the base URLs of the engines.
	engineURLs []string
	// copyProxyURLs are the base URLs of the copy proxies, one before each engine.
	copyProxyURLs []string
}

// startTestbed starts an entry and the given number of replicas, whose engines have equal
// settings.
func startTestbed(ctx context.Context, replicas int, settings engine.Settings) (*testbed, error) {
	s, err := conf.Parse("aserrin.toml", examples.Aserrin, conf.UseDev)
	if err != nil {
		return nil, err
	}
	s.Zone = nil
	s.Entry.ID = "entry-1"
	s.Entry.Zone = testbedZone
	s.Entry.Listen = loopback
	s.Entry.Admin = loopback
	s.Entry.BalancerDelay = 0
	s.Logging.Decisions = false
	clock := clockwork.NewRealClock()
	list := roster.New(clock)
	settings.Model = testbedModel
	r := &testbed{}
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

// startReplica starts an engine, its copy proxy and its agent, and lists the agent as an
// instance.
func (r *testbed) startReplica(
	ctx context.Context, s conf.Settings, index int, clock clockwork.Clock, list *roster.InstanceList,
	settings engine.Settings,
) error {
	standin := engine.New(clock, settings)
	r.engines = append(r.engines, standin)
	url, err := r.serve(ctx, standin)
	if err != nil {
		return err
	}
	r.engineURLs = append(r.engineURLs, url)
	copyProxyURL, err := r.serve(ctx, &copyProxy{client: newClient(), baseURL: url})
	if err != nil {
		return err
	}
	r.copyProxyURLs = append(r.copyProxyURLs, copyProxyURL)

	s.Agent.ID = track.InstanceID(fmt.Sprintf("agent-%d", index))
	s.Agent.Zone = testbedZone
	s.Agent.Listen = loopback
	s.Agent.BackendURL = url
	s.Agent.Serves = testbedModel
	agent, err := boot.StartAgent(ctx, s, boot.Platform{List: list}, zap.NewNop())
	if err != nil {
		return err
	}
	r.agents = append(r.agents, agent)
	list.Put(agent.Instance())
	return nil
}

// serve serves the handler on a free port until the testbed stops, and returns its base URL.
func (r *testbed) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// directURLs returns the base URLs of the engines, for requests without the hops.
func (r *testbed) directURLs() []string {
	return r.engineURLs
}

// running returns the number of requests in the batches of the engines.
func (r *testbed) running() int {
	n := 0
	for _, e := range r.engines {
		n += e.Running()
	}
	return n
}

// stop stops the entry, the agents and the HTTP servers.
func (r *testbed) stop(ctx context.Context) error {
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
