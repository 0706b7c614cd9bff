package send

import (
	"context"
	"errors"

	"filberttrack.example/track"
)

var errRestarted = errors.New("agent restarted since it was chosen")

// Stamped returns the server with a stamp. Digests of other zones carry none;
// the agent is asked then.
func Stamped(ctx context.Context, dialer track.AgentDialer, server track.BackendServer) (track.BackendServer, error) {
	const op = "ask for stamp"
	if server.Load.Stamp > 0 {
		return server, nil
	}
	agent, err := dialer.Dial(track.Instance{ID: server.Agent, Zone: server.Zone, Address: server.Address})
	if err != nil {
		return server, track.Fail(op, track.Unavailable, err)
	}
	report, err := agent.Report(ctx)
	if err != nil {
		return server, track.Fail(op, track.Unavailable, err)
	}
	if report.Incarnation != server.Incarnation {
		return server, track.Fail(op, track.Unavailable, errRestarted)
	}
	server.Load.Stamp = report.Load.Stamp
	return server, nil
}
