package gossip

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/talk"
)

// BenchmarkDecodeSummaries measures the decoding of a message with the summaries of four large
// zones, which each entry of a zone gets from its representative.
func BenchmarkDecodeSummaries(b *testing.B) {
	message := Message{From: "front-1", Role: track.RoleEntry, Zone: "zone-0", Seq: 1}
	for zone := range 4 {
		summary := ZoneSummary{Zone: track.AvailabilityZone(fmt.Sprint("zone-", zone)), InFlight: map[track.ReplicaID]track.InFlight{}}
		for i := range 38 {
			summary.InFlight[track.ReplicaID(fmt.Sprintf("i-%010x", i*7919))] = track.InFlight{Running: 4, Starting: 1}
			summary.Ranks = append(summary.Ranks, RankSummary{
				Server: fmt.Sprintf("10.0.0.%d:80", i), Group: "g0-1", GroupReady: true, Slowdown: 1,
				PassDuration: 81234 * time.Microsecond, Age: 214 * time.Millisecond,
			})
		}
		message.Zones = append(message.Zones, summary)
	}
	data, err := json.Marshal(message)
	assert.NilError(b, err)
	compressed := talk.Compress(data)
	b.ReportMetric(float64(len(compressed)), "bytes")
	for b.Loop() {
		_, err := decode(compressed)
		assert.NilError(b, err)
	}
}
