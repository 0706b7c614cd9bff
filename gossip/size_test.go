package gossip

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/blame"
	"filberttrack.example/track/parts"
	"filberttrack.example/track/ticket"
)

// Guards against messages that can't be sent, or are cut off by the receiver, since an overload fills them with
// tickets while replicas crash and change their limits.
func TestMessageFullOfTicketsCanBeSent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	duration := func() time.Duration { return time.Duration(random.Int64N(int64(time.Minute))) }
	replica := func() track.ReplicaID { return track.ReplicaID(fmt.Sprintf("i-%010x", random.Uint64()>>24)) }
	clock := clockwork.NewFakeClock()
	book := ticket.New(clock)
	for range 1000 {
		book.Issue(ticket.Ticket{
			ID: blame.Fingerprint(random.Uint64()), FirstSeen: clock.Now().Add(-duration()), ReturnAt: clock.Now().Add(duration()),
		})
	}
	message := Message{
		Role: track.RoleEntry, Zone: "zone-0", InFlight: map[track.ReplicaID]track.InFlight{}, Tickets: book.Share(),
	}
	for range 128 {
		message.Signs = append(message.Signs, track.SignReport{
			Replica: replica(), StartID: random.Int64(), Limit: random.Float64(), Age: duration(),
		})
	}
	for range 16 {
		charge, part := blame.Charge{Fingerprint: blame.Fingerprint(random.Uint64()), Left: duration()}, parts.Charge{Left: duration()}
		for range 8 {
			charge.Deaths = append(charge.Deaths, blame.ChargedDeath{
				Death: blame.Death{Replica: replica(), Born: random.Int64()}, SentAgo: duration(), BrokeAgo: duration(),
			})
			part.Crashes = append(part.Crashes, parts.SuspectedCrash{
				Request: random.Uint64(), SentAgo: duration(), BrokeAgo: duration(),
			})
		}
		message.Charges, message.Parts = append(message.Charges, charge), append(message.Parts, part)
	}
	for zone := range 4 {
		summary := ZoneSummary{Zone: track.AvailabilityZone(fmt.Sprint("zone-", zone)), InFlight: map[track.ReplicaID]track.InFlight{}}
		for range 38 {
			id := replica()
			summary.InFlight[id], message.InFlight[id] = track.InFlight{Running: 4, Starting: 1}, track.InFlight{Running: 2}
			summary.Ranks = append(summary.Ranks, RankSummary{Server: "10.0.0.1:80", PassDuration: duration(), Age: duration()})
		}
		message.Zones = append(message.Zones, summary)
	}
	decoded, err := json.Marshal(message)
	assert.NilError(t, err)
	assert.Assert(t, len(decoded) <= maxDecodedBytes)
	node := New(Options{
		Compose: func(bool) Message { return message }, Clock: clock, Logger: zap.NewNop(), Self: "front-1",
	})
	sent := node.encode(false, false, 1)
	assert.Assert(t, sent != nil && len(sent) <= maxMessageBytes)
	got, err := decode(sent)
	assert.NilError(t, err)
	assert.Equal(t, len(got.Tickets), 64)
	assert.Equal(t, got.Tickets[63].ID, message.Tickets[63].ID)

	// A report takes 22 bytes of the message before compression.
	message.Tickets = nil
	others, err := json.Marshal(message)
	assert.NilError(t, err)
	added := len(decoded) - len(others)
	assert.Assert(t, added <= 64*22, "%d", added)
	t.Logf("%d bytes as sent, %d without tickets", len(sent), len(node.encode(false, false, 1)))
}
