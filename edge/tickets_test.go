package edge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track/gossip"
	"filberttrack.example/track/ticket"
)

// Guards against a client that counts as new since the platform sends it to another entry of the zone, and against
// tickets that cross zones, where traffic is expensive.
func TestTicketsAreSharedWithinTheZone(t *testing.T) {
	clock := clockwork.NewFakeClock()
	refusing, next, far := newEntry(clock), newEntry(clock), newEntry(clock)
	far.options.Self, far.options.Zone = "front-9", "artigas"
	refusing.tickets.Issue(ticket.Ticket{ID: 5, FirstSeen: clock.Now(), ReturnAt: clock.Now().Add(time.Second)})

	assert.Equal(t, len(refusing.composeNote(true).Tickets), 0)
	data, err := json.Marshal(refusing.composeNote(false))
	assert.NilError(t, err)
	var note gossip.Message
	assert.NilError(t, json.Unmarshal(data, &note))
	note.From, note.Seq = "front-1", 1
	for _, e := range []*Entry{next, far} {
		e.receiveNew(note)
	}
	got, ok := next.tickets.Redeem(5)
	assert.Assert(t, ok)
	assert.Equal(t, clock.Until(got.ReturnAt), time.Second)
	_, ok = far.tickets.Redeem(5)
	assert.Assert(t, !ok, "another zone doesn't take the tickets")
}
