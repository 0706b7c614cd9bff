package signs_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/signs"
)

var server = track.Replica{ID: "i-1", StartID: 5}

func TestNewerWordOfAReplicaCounts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	book := signs.New(clock, zap.NewNop())
	book.Observe(server, track.Signs{Limit: 2})
	clock.Advance(2 * time.Second)
	book.Merge("front-2", []track.SignReport{{Replica: server.ID, StartID: 5, Limit: 9, Age: 3 * time.Second}})
	assert.Equal(t, book.Of(server).Limit, 2.0, "the peer's report is older")
	book.Merge("front-2", []track.SignReport{{Replica: server.ID, StartID: 5, Limit: 3, Age: time.Second}})
	assert.Equal(t, book.Of(server).Limit, 3.0)
	book.Observe(server, track.Signs{})
	assert.Equal(t, book.Of(server).Limit, 0.0, "the replica no longer names a limit")
	book.Merge("front-2", []track.SignReport{{Replica: server.ID, StartID: 5, Limit: 3, Age: time.Second}})
	assert.Equal(t, book.Of(server).Limit, 0.0)
}

func TestSignsEndWithRestart(t *testing.T) {
	book := signs.New(clockwork.NewFakeClock(), zap.NewNop())
	book.Observe(server, track.Signs{Limit: 2, Leaving: true, RestFor: time.Second})
	restarted := track.Replica{ID: server.ID, StartID: 6}
	assert.Equal(t, book.Of(restarted), signs.Signs{StartID: 6})
	book.Observe(restarted, track.Signs{Limit: 4})
	book.Merge("front-2", []track.SignReport{{Replica: server.ID, StartID: 5, Limit: 1, Leaving: true}})
	assert.Equal(t, book.Of(restarted).Limit, 4.0)
	assert.Assert(t, !book.Of(restarted).Leaving)
}

// A departure is told for a short time, a limit as long as it holds; an end of a limit, too.
func TestShare(t *testing.T) {
	clock := clockwork.NewFakeClock()
	book := signs.New(clock, zap.NewNop())
	book.Observe(server, track.Signs{Leaving: true})
	book.Observe(track.Replica{ID: "i-2"}, track.Signs{Limit: 2})
	book.Observe(track.Replica{ID: "i-3"}, track.Signs{})
	assert.DeepEqual(t, book.Share(), []track.SignReport{
		{Replica: "i-1", StartID: 5, Leaving: true}, {Replica: "i-2", Limit: 2},
	})
	clock.Advance(4 * time.Second)
	assert.DeepEqual(t, book.Share(), []track.SignReport{{Replica: "i-2", Limit: 2, Age: 4 * time.Second}})
	book.Observe(track.Replica{ID: "i-2"}, track.Signs{})
	assert.DeepEqual(t, book.Share(), []track.SignReport{{Replica: "i-2"}})
	clock.Advance(4 * time.Second)
	assert.Equal(t, len(book.Share()), 0)
}

// Of many limits a message holds some, and messages in a row all of them.
func TestShareOfManyLimits(t *testing.T) {
	clock := clockwork.NewFakeClock()
	book := signs.New(clock, zap.NewNop())
	for i := range 100 {
		book.Observe(track.Replica{ID: track.ReplicaID(fmt.Sprint(i))}, track.Signs{Limit: 2})
	}
	clock.Advance(4 * time.Second)
	// Three new signs are in each message.
	for i := range 3 {
		book.Observe(track.Replica{ID: track.ReplicaID(fmt.Sprint("new-", i))}, track.Signs{Leaving: true})
	}
	heard := map[track.ReplicaID]bool{}
	for range 7 {
		reports := book.Share()
		assert.Equal(t, len(reports), 16+3)
		inMessage := map[track.ReplicaID]bool{}
		for _, r := range reports {
			heard[r.Replica], inMessage[r.Replica] = true, true
		}
		assert.Equal(t, len(inMessage), 16+3, "a replica is reported twice")
		assert.Assert(t, inMessage["new-0"] && inMessage["new-1"] && inMessage["new-2"])
	}
	assert.Equal(t, len(heard), 100+3)
}

// All replicas of a large fleet name limits at once: a message still fits into a datagram, and messages in a row hold
// all of them.
func TestShareOfManyNewLimits(t *testing.T) {
	book := signs.New(clockwork.NewFakeClock(), zap.NewNop())
	for i := range 1500 {
		book.Observe(track.Replica{ID: track.ReplicaID(fmt.Sprintf("i-%010x", i))}, track.Signs{Limit: 2.75})
	}
	heard := map[track.ReplicaID]bool{}
	for range 12 {
		reports := book.Share()
		data, err := json.Marshal(reports)
		assert.NilError(t, err)
		assert.Assert(t, len(data) < 16<<10, "%d bytes", len(data))
		for _, r := range reports {
			heard[r.Replica] = true
		}
	}
	assert.Equal(t, len(heard), 1500)
}

// No header makes the signs of a replica leave their bounds.
func FuzzDecode(f *testing.F) {
	f.Add(503, "1", "2.7", "1.5")
	f.Add(200, " 0 ", "-Inf", "NaN")
	f.Add(503, "", "1e400", "0x1p9")
	names := signs.Headers{Leaving: "Leaving", Limit: "Limit"}
	f.Fuzz(func(t *testing.T, status int, leaving, limit, retryAfter string) {
		said := names.Decode(status, http.Header{"Leaving": {leaving}, "Limit": {limit}, "Retry-After": {retryAfter}})
		assert.Assert(t, said.Limit == 0 || said.Limit >= 0.2 && said.Limit < 10000, "%v", said)
		assert.Assert(t, said.RestFor >= 0 && said.RestFor <= 5*time.Minute, "%v", said)
		assert.Assert(t, status == http.StatusServiceUnavailable || said.RestFor == 0, "%v", said)
	})
}
