package boot

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"filberttrack.example/track"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/wire"
)

// Agent is a running agent with its listeners.
type Agent struct {
	*AgentCore
	logger *zap.Logger
	server *grpc.Server
	dialer *wire.Dialer
	admin  *httpServer
	duties []*duty.Duty
	cancel context.CancelFunc
}

// StartAgent starts an agent. It takes work when the function returns.
func StartAgent(ctx context.Context, s conf.Settings, platform Platform, logger *zap.Logger) (*Agent, error) {
	ports, dialer := realPorts(platform, logger)
	ports.DialDoor = func(to track.Instance) (track.MapDoor, error) { return dialer.DialDoor(to.Address) }
	core, err := NewAgentCore(s, ports)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &Agent{AgentCore: core, logger: logger, cancel: cancel, dialer: dialer, server: wire.NewServer()}
	wire.RegisterAgent(a.server, core.Port())
	if core.door != nil {
		wire.RegisterDoor(a.server, core.door)
	}
	err = a.listen(ctx, s.Agent)
	if err != nil {
		cancel()
		return nil, err
	}
	a.duties = append(a.duties, a.Start(ctx)...)
	logger.Info("agent ready", zap.String("Listen", a.instance.Address), zap.String("Admin", a.AdminAddr()))
	return a, nil
}

func (a *Agent) listen(ctx context.Context, s conf.Agent) error {
	listener, serving, err := serveGRPC(ctx, s.Listen, a.server)
	if err != nil {
		return err
	}
	a.duties = append(a.duties, serving)
	a.instance.Address = listener.Addr().String()
	if s.Admin == "" {
		return nil
	}
	a.admin, err = serveHTTP(ctx, "operators", s.Admin, adminHeaderBytes, a.Operators(), a.logger)
	if err != nil {
		a.server.Stop()
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

// Stop refuses new work, finishes work in progress and ends the agent. The
// context bounds the time for work in progress.
func (a *Agent) Stop(ctx context.Context) error {
	a.Drain(ctx)
	if a.admin != nil {
		a.admin.stop(ctx)
	}
	a.server.Stop()
	a.cancel()
	a.dialer.Close()
	a.ports.Client.CloseIdleConnections()
	return duty.Wait(a.logger, a.duties...)
}
