package roster_test

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/stand/roster"
)

func instance(id track.InstanceID) track.Instance {
	return track.Instance{ID: id, Role: track.RoleAgent, State: track.InstanceLive}
}

// listIDs returns the IDs in the list, separated by spaces. The ID of a leaving
// instance has a minus sign in front.
func listIDs(t *testing.T, r *roster.InstanceList) string {
	t.Helper()
	list, err := r.Instances(t.Context())
	assert.NilError(t, err)
	var ids []string
	for _, i := range list {
		id := string(i.ID)
		if i.State == track.InstanceLeaving {
			id = "-" + id
		}
		ids = append(ids, id)
	}
	return strings.Join(ids, " ")
}

func TestChangesAreVisibleAfterTheLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := roster.New(clock, instance("b"), instance("a"))
	r.SetLag(10 * time.Second)
	assert.Equal(t, listIDs(t, r), "a b")
	r.MarkLeaving("b")
	clock.Advance(5 * time.Second)
	r.Put(instance("c"))
	r.Remove("a")
	assert.Equal(t, listIDs(t, r), "a b")
	clock.Advance(5 * time.Second)
	assert.Equal(t, listIDs(t, r), "a -b")
	clock.Advance(5 * time.Second)
	assert.Equal(t, listIDs(t, r), "-b c")
}

func TestChangesAreVisibleImmediatelyWithoutLag(t *testing.T) {
	r := roster.New(clockwork.NewFakeClock(), instance("a"))
	r.Put(track.Instance{ID: "a", State: track.InstanceLeaving})
	assert.Equal(t, listIDs(t, r), "-a")
	r.Remove("a")
	assert.Equal(t, listIDs(t, r), "")
}

func TestUnavailableAndEmptyList(t *testing.T) {
	r := roster.New(clockwork.NewFakeClock(), instance("a"))
	r.SetUnavailable(true)
	_, err := r.Instances(t.Context())
	assert.Assert(t, track.IsKind(err, track.Unavailable))
	r.SetUnavailable(false)
	r.SetEmpty(true)
	assert.Equal(t, listIDs(t, r), "")
	r.SetEmpty(false)
	assert.Equal(t, listIDs(t, r), "a")
}
