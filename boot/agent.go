package boot

import (
	"context"
	"errors"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"filberttrack.example/track"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/drain"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/wire"
)

// Agent is a running agent process: its components, its gRPC server for other
// instances and, if configured, its HTTP server for operators.
type Agent struct {
	*AgentCore
	logger        *zap.Logger
	dialer        *wire.Dialer
	drainTimeouts drain.Timeouts
	grpcServer    *grpc.Server
	adminServer   *httpServer
	tasks         []*duty.Duty
	cancel        context.CancelFunc
}

// StartAgent starts an agent, which accepts requests once the function returns.
// An agent uses only the instance list of the platform. StartAgent fails if it
// can't read the certificates or the operators' token, can't listen, or finds the
// settings invalid.
func StartAgent(ctx context.Context, s conf.Settings, platform Platform, logger *zap.Logger) (*Agent, error) {
	security, err := newProcessSecurity(s, s.Agent.Zone, logger)
	if err != nil {
		return nil, err
	}
	listener, err := listenGRPC(s.Agent.Listen)
	if err != nil {
		return nil, err
	}
	deps, dialer := newDependencies(platform, security, listener.Addr().String(), logger)
	deps.DialRankGateway = func(agent track.Instance) (track.RankGateway, error) { return dialer.DialRankGateway(agent) }
	core, err := NewAgentCore(s, deps)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &Agent{
		AgentCore: core, logger: logger, cancel: cancel, dialer: dialer,
		drainTimeouts: drain.Timeouts{MaxDuration: s.Agent.StopTimeout},
		grpcServer:    wire.NewServer(logger, security.serverOptions()...),
	}
	wire.RegisterAgent(a.grpcServer, core.Agent())
	wire.RegisterPeer(a.grpcServer, core.Peer(), security.verifyZone)
	if core.rankGateway != nil {
		wire.RegisterRankGateway(a.grpcServer, core.rankGateway)
	}
	a.tasks = append(security.startReload(ctx), startGRPCServer(ctx, listener, a.grpcServer))
	err = a.startAdminServer(ctx, s.Agent)
	if err != nil {
		cancel()
		a.grpcServer.Stop()
		return nil, err
	}
	a.tasks = append(a.tasks, a.Start(ctx)...)
	logger.Info("agent ready", zap.String("Listen", a.instance.Address), zap.String("Admin", a.AdminAddr()))
	return a, nil
}

// startAdminServer starts the HTTP server for operators if the settings name an
// address for it.
func (a *Agent) startAdminServer(ctx context.Context, s conf.Agent) error {
	if s.Admin == "" {
		return nil
	}
	var err error
	a.adminServer, err = startHTTPServer(ctx, "operators", s.Admin, adminMaxHeaderBytes, a.AdminHandler(), a.logger)
	if err != nil {
		return err
	}
	a.tasks = append(a.tasks, a.adminServer.task)
	return nil
}

// AdminAddr returns the host and port of the HTTP server for operators, or "" if
// there is none.
func (a *Agent) AdminAddr() string {
	if a.adminServer == nil {
		return ""
	}
	return a.adminServer.Addr()
}

// Stop shuts the agent down gracefully: it refuses new requests, announces to the
// entries that it is leaving, and waits for the open requests. The end of the
// context cuts off the requests that are still open; the error and the log report
// how many.
func (a *Agent) Stop(ctx context.Context) error {
	cutOffErr := a.Drain(context.WithoutCancel(ctx), a.drainTimeouts, stopSignals(ctx))
	if a.adminServer != nil {
		a.adminServer.stop(ctx)
	}
	a.cancel()
	if cutOffErr != nil {
		a.grpcServer.Stop()
	}
	stopGRPCServer(ctx, a.grpcServer)
	a.dialer.Close()
	a.deps.BackendClient.CloseIdleConnections()
	return errors.Join(cutOffErr, duty.Wait(a.logger, a.tasks...))
}
