package edge

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/retry"
)

// restoredLog is a log that came back from a copy with an older configuration.
type restoredLog struct {
	unavailableLog
	era     uint64
	version string
}

func (l restoredLog) Newest(_ context.Context, topic, _ string) (track.KeyedPage, error) {
	page := track.KeyedPage{Era: l.era, End: 1}
	if topic == "op" {
		page.Records = []track.KeyedRecord{{Key: "config", Value: []byte(l.version)}}
	}
	return page, nil
}

func (l restoredLog) Read(ctx context.Context, _ string, from uint64, wait time.Duration) (track.KeyedPage, error) {
	if wait > 0 {
		<-ctx.Done()
	}
	return track.KeyedPage{Era: l.era, End: from}, nil
}

// newEntryOn returns an entry that reads the given log. It sends each version of the configuration
// that it decodes to the channel.
func newEntryOn(t *testing.T, self track.InstanceID, log track.KeyedLog, decoded chan<- uint64) *Entry {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	return NewEntry(Options{
		Self: self, Zone: "rivera", Member: Member{Role: track.RoleEntry, Zone: "rivera"},
		Log: log, Topics: Topics{Config: "op", Replicas: "servers", ConfigKey: "config", EvacuatedPrefix: "evacuate/"},
		DecodeConfig: func(data []byte) (track.RouteConfig, error) {
			version, err := strconv.ParseUint(string(data), 10, 64)
			decoded <- version
			return track.RouteConfig{Version: version}, err
		},
		DecodeReplica: decodeReplica, MessageConn: conn,
		RetryLimit: retry.ServiceLimit{Share: 0.2, Slack: 60, Window: 10 * time.Second}, DrainTimeout: 2 * time.Second,
		Clock: clockwork.NewFakeClock(), Random: func() float64 { return 0 }, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
}

// startEntry runs the entry's tasks until the test ends.
func startEntry(t *testing.T, e *Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	tasks := e.Start(ctx)
	t.Cleanup(func() {
		cancel()
		e.options.MessageConn.Close()
		for _, task := range tasks {
			<-task.Done()
		}
	})
}

// Guards against an entry that handles requests as an older configuration says, because the log had
// come back from an older copy when the entry started.
func TestEntryThatStartsOnARestoredLogTakesTheConfigurationOfPeers(t *testing.T) {
	for _, zone := range []track.AvailabilityZone{"rivera", "artigas"} {
		t.Run("peer in "+string(zone), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			log := restoredLog{era: 2, version: "3"}

			peer := newEntryOn(t, "front-1", log, make(chan uint64, 1))
			applyConfig(peer.configHolder, "config")([]track.KeyedRecord{{Key: "config", Value: []byte("5")}})
			peer.configFollower.Mirror().Replace(track.KeyedPage{
				Era: 2, End: 1, Records: []track.KeyedRecord{{Key: "config", Value: []byte("3")}},
			})
			mux := http.NewServeMux()
			peer.ServePeers(mux)
			server := httptest.NewServer(mux)
			defer server.Close()

			decoded := make(chan uint64, 10)
			started := newEntryOn(t, "front-2", log, decoded)
			startEntry(t, started)
			assert.Equal(t, <-decoded, uint64(3))

			note := peer.composeNote(zone != "rivera")
			note.From, note.Zone, note.Started, note.Seq = "front-1", zone, 1, 1
			note.API = strings.TrimPrefix(server.URL, "http://")
			started.receiveNew(note)
			for {
				select {
				case version := <-decoded:
					assert.Equal(t, version, uint64(5))
					return
				case <-ctx.Done():
					t.Fatal("the entry keeps the configuration of the older copy")
				default:
					started.options.Clock.(*clockwork.FakeClock).Advance(10 * time.Millisecond)
				}
			}
		})
	}
}

// An entry whose peer has the same configuration, or that reads the newer one from the log meanwhile,
// doesn't read it from the peer.
func TestConfigurationIsReadFromPeersOnlyIfItStaysNewer(t *testing.T) {
	calls := make(chan struct{}, 10)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls <- struct{}{} }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	clock := clockwork.NewFakeClock()
	e := newEntryOn(t, "front-2", restoredLog{}, make(chan uint64, 10))
	defer e.options.MessageConn.Close()
	apply := func(version string) {
		applyConfig(e.configHolder, "config")([]track.KeyedRecord{{Key: "config", Value: []byte(version)}})
	}
	apply("3")
	p := newPeerConfigReader(e.configHolder, e.members.client, clock, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	p.Notify(address, 3)
	p.Notify("", 9)
	p.Notify(address, 4)
	assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	apply("4")
	clock.Advance(peerConfigDelay)
	p.Notify(address, 5)
	assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	assert.Equal(t, len(calls), 0)
	clock.Advance(peerConfigDelay)
	<-calls
	cancel()
	<-done
}
