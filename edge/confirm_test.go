package edge

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/duty"
)

// meshConn carries the messages of one entry to the others in memory.
type meshConn struct {
	net.PacketConn
	address  string
	mesh     map[string]*meshConn
	received chan []byte
	closed   chan struct{}
}

// meshQueue is the number of messages that wait for an entry; more are dropped.
const meshQueue = 1024

func (c *meshConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case data := <-c.received:
		return copy(buffer, data), &net.UDPAddr{}, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *meshConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if peer := c.mesh[to.String()]; peer != nil {
		select {
		case peer.received <- slices.Clone(data):
		default:
		}
	}
	return len(data), nil
}

// mutableLog is a darkLog as one entry reaches it.
type mutableLog struct {
	*darkLog
	// away is set while the log turns this entry away.
	away atomic.Bool
}

func (l *mutableLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (track.KeyedPage, error) {
	if l.away.Load() {
		return track.KeyedPage{}, track.Fail("call log", track.Unavailable, errNoAnswer)
	}
	return l.darkLog.Read(ctx, topic, from, wait)
}

// confirmFleet is a number of entries that exchange messages and read one log.
type confirmFleet struct {
	log     *darkLog
	entries []*Entry
	logs    []*mutableLog
}

// runConfirmFleet runs the test with entries that are spread over zones.
func runConfirmFleet(entries, zones int, test func(f *confirmFleet)) {
	f := &confirmFleet{log: newDarkLog()}
	f.log.append("op", "config", "1")
	mesh := make(map[string]*meshConn)
	for i := range entries {
		address := fmt.Sprintf("10.0.%d.%d:7340", i%zones, i/zones+1)
		conn := &meshConn{address: address, mesh: mesh, received: make(chan []byte, meshQueue), closed: make(chan struct{})}
		mesh[address] = conn
		log := &mutableLog{darkLog: f.log}
		zone := track.AvailabilityZone(fmt.Sprintf("zone-%02d", i%zones))
		f.logs = append(f.logs, log)
		// Nothing listens at the address for calls, so that entries read the lists themselves.
		member := Member{Role: track.RoleEntry, Zone: zone, MessageAddress: address, CallAddress: "127.0.0.1:1"}
		self := track.InstanceID(fmt.Sprintf("front-%s-%03d", zone, i/zones))
		f.entries = append(f.entries, newDarkEntry(self, log, member, conn))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks []*duty.Duty
	for _, e := range f.entries {
		tasks = append(tasks, e.Start(ctx)...)
	}
	time.Sleep(10 * time.Second)
	test(f)
	cancel()
	for _, conn := range mesh {
		close(conn.closed)
	}
	for _, task := range tasks {
		<-task.Done()
	}
}

// assertConfirmed checks for some time that the configuration of the entries is confirmed.
func assertConfirmed(t *testing.T, entries []*Entry, d time.Duration) {
	t.Helper()
	for range int(d / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		for _, e := range entries {
			assert.Assert(t, e.configConfirmed(), "%s has known nothing for %s", e.options.Self, *e.configAge())
		}
	}
}

// One entry reads for all, so that the calls don't grow with the number of entries.
func TestOneEntryConfirmsTheConfigurationForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runConfirmFleet(6, 3, func(f *confirmFleet) {
			const d = 60 * time.Second
			before := f.log.callsOf("op")
			assertConfirmed(t, f.entries, d)
			calls := f.log.callsOf("op") - before
			// Each entry waits for news with a read in configReadWait.
			waiting := len(f.entries) * int(d/configReadWait+1)
			confirming := int(float64(d)/(firstConfirmShare*float64(darkApplyTime))) + 1
			assert.Assert(t, calls <= waiting+confirming, "%d calls, %d of which may wait and %d confirm", calls, waiting, confirming)
		})
	})
}

// Guards against entries that lose sight of the configuration since the log turns away the one that reads for all.
func TestOtherEntriesConfirmIfTheFirstCannot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runConfirmFleet(6, 3, func(f *confirmFleet) {
			for i := range f.logs {
				f.logs[i].away.Store(true)
				assertConfirmed(t, f.entries, 10*time.Second)
				if i == len(f.logs)-2 {
					return
				}
			}
		})
	})
}
