package send

import (
	"context"
	"errors"

	"filberttrack.example/track"
)

// errRestarted means that the agent has a new incarnation, whose stamps don't
// apply to the chosen one.
var errRestarted = errors.New("agent has restarted since it was chosen")

// EnsureStamp returns the backend server with the stamp of its agent, which a
// dispatch needs. The load digests of other availability zones contain no
// stamps; for these it requests a report from the agent. An error has the kind
// track.Unavailable.
func EnsureStamp(
	ctx context.Context, dialer track.AgentDialer, server track.BackendServer,
) (track.BackendServer, error) {
	const op = "get stamp of agent"
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
