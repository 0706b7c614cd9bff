package boot

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track"
	"filberttrack.example/track/beat"
	"filberttrack.example/track/member"
)

// newExchange returns the membership of an instance.
func newExchange(
	self track.Instance, started time.Time, ports Ports, set *metrics.Set,
	local func() beat.LocalState, update func([]track.BackendServer), topics ...track.TopicHandler,
) *beat.Exchange {
	return beat.New(beat.Options{
		Self: self, Incarnation: incarnationOf(started), Timing: member.DefaultTiming(),
		Dialer: ports.Peers, List: ports.Platform.List, Clock: ports.Clock, Logger: ports.Logger,
		Metrics: set, TopicHandlers: topics, Local: local, OnServersChanged: update,
	})
}

// incarnationOf returns the incarnation of a process that started at a time.
func incarnationOf(started time.Time) track.Incarnation {
	return track.Incarnation(started.UnixNano())
}

// addMembership adds to a status what the membership knows.
func addMembership(status *track.Status, v member.View) {
	status.Incarnation = v.Incarnation
	status.Isolated = v.Isolated
	status.ListAge = v.ListAge
	for _, z := range v.Zones {
		status.Zones = append(status.Zones, track.ZoneStatus{Zone: z.Zone, State: string(z.State), Silence: z.Silence})
	}
	for _, p := range v.Peers {
		status.Peers = append(status.Peers, track.PeerStatus{ID: p.ID, Role: p.Role, State: string(p.State), Silence: p.Silence})
	}
}

// leaveWatcher dials agents and tells the membership when one of them refuses a
// dispatch because it is leaving.
type leaveWatcher struct {
	track.AgentDialer
	members *beat.Exchange
}

// Dial implements track.AgentDialer.
func (w leaveWatcher) Dial(instance track.Instance) (track.Agent, error) {
	agent, err := w.AgentDialer.Dial(instance)
	if err != nil {
		return nil, err
	}
	return watchedAgent{agent, w.members}, nil
}

type watchedAgent struct {
	track.Agent
	members *beat.Exchange
}

// Run implements track.Agent.
func (a watchedAgent) Run(ctx context.Context, d track.Dispatch, send track.FrameFunc) error {
	return a.Agent.Run(ctx, d, func(f track.Frame) error {
		if f.Refusal == track.RefusedLeaving {
			a.members.HandleLeavingRefusal(d.Agent, d.Incarnation)
		}
		return send(f)
	})
}
