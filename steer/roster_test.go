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

type list struct {
	instances []track.Instance
	err       error
}

func (l *list) Instances(context.Context) ([]track.Instance, error) {
	return append([]track.Instance(nil), l.instances...), l.err
}

func TestRosterKeepsTheGroupWhileTheListIsAway(t *testing.T) {
	self := track.Instance{ID: "b", Role: track.RoleAgent, Group: "g", Serves: "m", Ranks: 2}
	l := &list{instances: []track.Instance{
		{ID: "c", Role: track.RoleAgent, Group: "g", Serves: "m", Ranks: 2, State: track.Leaving},
		{ID: "a", Role: track.RoleAgent, Group: "g", Serves: "m", Ranks: 2},
		{ID: "x", Role: track.RoleAgent, Group: "h", Serves: "m", Ranks: 2},
		{ID: "y", Role: track.RoleBackendServer, Group: "g", Serves: "m", Ranks: 2},
	}}
	r := steer.NewRoster(l, func() track.Instance { return self }, 6, clockwork.NewFakeClock(), zap.NewNop())
	assert.DeepEqual(t, names(r), []track.InstanceID{"b"})
	r.Look(context.Background())
	assert.DeepEqual(t, names(r), []track.InstanceID{"a", "c", "b"})
	l.instances, l.err = nil, errors.New("away")
	r.Look(context.Background())
	assert.DeepEqual(t, names(r), []track.InstanceID{"a", "c", "b"})
}

func names(r *steer.Roster) []track.InstanceID {
	var out []track.InstanceID
	for _, agent := range r.Agents() {
		out = append(out, agent.ID)
	}
	return out
}
