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

// Agent is a running agent with its listeners.
type Agent struct {
	*AgentCore
	logger *zap.Logger
	dialer *wire.Dialer
	timing drain.Timeouts
	server *grpc.Server
	admin  *httpServer
	duties []*duty.Duty
	cancel context.CancelFunc
}

// StartAgent starts an agent. It takes work when the function returns. The
// platform's list is all that an agent needs of it.
func StartAgent(ctx context.Context, s conf.Settings, platform Platform, logger *zap.Logger) (*Agent, error) {
	trust, err := newTrust(s, s.Agent.Zone, logger)
	if err != nil {
		return nil, err
	}
	listener, err := listenGRPC(s.Agent.Listen)
	if err != nil {
		return nil, err
	}
	ports, dialer := realPorts(platform, trust, listener.Addr().String(), logger)
	ports.DialDoor = func(to track.Instance) (track.RankGateway, error) { return dialer.DialDoor(to) }
	core, err := NewAgentCore(s, ports)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &Agent{
		AgentCore: core, logger: logger, cancel: cancel, dialer: dialer,
		timing: drain.Timeouts{MaxDuration: s.Agent.StopTimeout}, server: wire.NewServer(trust.server()...),
	}
	wire.RegisterAgent(a.server, core.Port())
	wire.RegisterPeer(a.server, core.Members(), trust.identify)
	if core.door != nil {
		wire.RegisterDoor(a.server, core.door)
	}
	a.duties = append(trust.start(ctx), serveGRPC(ctx, listener, a.server))
	err = a.listen(ctx, s.Agent)
	if err != nil {
		cancel()
		a.server.Stop()
		return nil, err
	}
	a.duties = append(a.duties, a.Start(ctx)...)
	logger.Info("agent ready", zap.String("Listen", a.instance.Address), zap.String("Admin", a.AdminAddr()))
	return a, nil
}

// listen starts the listener for operators, if there is one.
func (a *Agent) listen(ctx context.Context, s conf.Agent) error {
	if s.Admin == "" {
		return nil
	}
	var err error
	a.admin, err = serveHTTP(ctx, "operators", s.Admin, adminHeaderBytes, a.Operators(), a.logger)
	if err != nil {
		return err
	}
	a.duties = append(a.duties, a.admin.duty)
	return nil
}

// AdminAddr returns the address for operators, or "" if there is none.
func (a *Agent) AdminAddr() string {
	if a.admin == nil {
		return ""
	}
	return a.admin.Addr()
}

// Stop refuses new work, tells the entries, finishes work in progress and ends
// the agent. The end of the context cuts off what is still open, which the error
// and the log say.
func (a *Agent) Stop(ctx context.Context) error {
	cut := a.Drain(context.WithoutCancel(ctx), a.timing, stopsOf(ctx))
	if a.admin != nil {
		a.admin.stop(ctx)
	}
	a.cancel()
	if cut != nil {
		a.server.Stop()
	}
	stopGRPC(ctx, a.server)
	a.dialer.Close()
	a.ports.Client.CloseIdleConnections()
	return errors.Join(cut, duty.Wait(a.logger, a.duties...))
}
