package steer_test

import (
	"context"
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/steer"
)

type instanceList struct {
	instances []track.Instance
	err       error
}

func (list *instanceList) Instances(context.Context) ([]track.Instance, error) {
	return append([]track.Instance(nil), list.instances...), list.err
}

func TestRosterKeepsAgentsWhileListIsUnavailable(t *testing.T) {
	self := track.Instance{ID: "b", Role: track.RoleAgent, Group: "g", Serves: "m", Ranks: 2}
	list := &instanceList{instances: []track.Instance{
		{ID: "c", Role: track.RoleAgent, Group: "g", Serves: "m", Ranks: 2, State: track.InstanceLeaving},
		{ID: "a", Role: track.RoleAgent, Group: "g", Serves: "m", Ranks: 2},
		{ID: "x", Role: track.RoleAgent, Group: "h", Serves: "m", Ranks: 2},
		{ID: "y", Role: track.RoleBackendServer, Group: "g", Serves: "m", Ranks: 2},
	}}
	roster := steer.NewRoster(list, func() track.Instance { return self }, 6, clockwork.NewFakeClock(), zap.NewNop())
	assert.DeepEqual(t, agentIDs(roster), []track.InstanceID{"b"})
	roster.Refresh(context.Background())
	assert.DeepEqual(t, agentIDs(roster), []track.InstanceID{"a", "c", "b"})
	list.instances, list.err = nil, errors.New("list unavailable")
	roster.Refresh(context.Background())
	assert.DeepEqual(t, agentIDs(roster), []track.InstanceID{"a", "c", "b"})
}

func agentIDs(roster *steer.Roster) []track.InstanceID {
	var ids []track.InstanceID
	for _, agent := range roster.Agents() {
		ids = append(ids, agent.ID)
	}
	return ids
}
