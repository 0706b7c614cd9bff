package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/batch"
	"filberttrack.example/track/vacate"
)

// agedLog is a log whose topic "op" can come back from an older copy of itself.
type agedLog struct {
	*darkLog
	era uint64
}

// restore starts the next era with the first n records of the topic "op".
func (l *agedLog) restore(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topics["op"]
	t.records = t.records[:n]
	l.era++
	close(t.appended)
	t.appended = make(chan struct{})
}

func (l *agedLog) Newest(ctx context.Context, topic, after string) (track.KeyedPage, error) {
	page, err := l.darkLog.Newest(ctx, topic, after)
	page.Era = l.eraOf(topic)
	return page, err
}

func (l *agedLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (track.KeyedPage, error) {
	page, err := l.darkLog.Read(ctx, topic, from, wait)
	page.Era = l.eraOf(topic)
	return page, err
}

func (l *agedLog) eraOf(topic string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if topic != "op" {
		return 1
	}
	return l.era
}

// zonesInUse returns the zones that get the requests of a service.
func (e *Entry) zonesInUse(t *testing.T, service string) vacate.Zones {
	zones := make(vacate.Zones)
	p, now := e.Pool(service), e.options.Clock.Now()
	request := batch.AdmissionRequest{OnTimeUntil: now.Add(time.Second), WaitUntil: now.Add(time.Second), Deadline: now.Add(time.Second)}
	for range p.Usage().Capacity {
		g, err := p.Acquire(t.Context(), request)
		assert.NilError(t, err)
		zones[g.Replica.Zone] = true
		defer g.Done(batch.Result{Verdict: batch.Canceled})
	}
	return zones
}

// replicasOfTwoZones returns a replica in each of two zones, for two services.
func replicasOfTwoZones() []track.Replica {
	return []track.Replica{
		{ID: "l-1", Service: "llm", Address: "10.0.0.1:80", Zone: "rivera", Slots: 2},
		{ID: "l-2", Service: "llm", Address: "10.0.0.2:80", Zone: "artigas", Slots: 2},
		{ID: "d-1", Service: "desk", Address: "10.0.0.3:80", Zone: "rivera", Slots: 2},
		{ID: "d-2", Service: "desk", Address: "10.0.0.4:80", Zone: "artigas", Slots: 2},
	}
}

// Guards against requests in an evacuated zone, and against a zone that stays evacuated, in an entry that starts, in one
// that runs, when the service is new, and when the log comes back from a copy that lacks the record or has it again.
func TestEvacuatedZonesFollowTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &agedLog{darkLog: newDarkLog(), era: 1}
		log.append("op", "config", "1")
		log.append("op", "evacuate/rivera", "{}")
		e := newDarkEntry("front-1", log, Member{Role: track.RoleEntry, Zone: "rivera"}, deafConn{closed: make(chan struct{})})
		e.onReplicas(replicasOfTwoZones())
		startEntry(t, e)
		check := func(when string, evacuated vacate.Zones, inUse ...track.AvailabilityZone) {
			time.Sleep(darkApplyTime)
			e.mu.Lock()
			got := e.evacuated
			e.mu.Unlock()
			assert.DeepEqual(t, got, evacuated)
			for service := range map[string]bool{"llm": true, "desk": when != "start"} {
				zones := e.zonesInUse(t, service)
				assert.Equal(t, len(zones), len(inUse), "%s: %s uses %v", when, service, zones)
				for _, zone := range inUse {
					assert.Assert(t, zones[zone], "%s: %s uses %v", when, service, zones)
				}
			}
		}
		check("start", vacate.Zones{"rivera": true}, "artigas")
		log.append("op", "evacuate/rivera", "")
		check("taken back", vacate.Zones{}, "rivera", "artigas")
		log.append("op", "evacuate/artigas", "{}")
		check("another zone", vacate.Zones{"artigas": true}, "rivera")
		log.append("op", "evacuate/rivera", "{}")
		check("last zone", vacate.Zones{"artigas": true, "rivera": true})
		log.restore(3)
		check("copy without the records", vacate.Zones{}, "rivera", "artigas")
		log.restore(2)
		check("copy with the record of a zone taken back", vacate.Zones{"rivera": true}, "artigas")
		log.setDark(true, "op")
		time.Sleep(10 * time.Second)
		check("silent log", vacate.Zones{"rivera": true}, "artigas")
	})
}

// Guards against an entry that sends requests to an evacuated zone until the log answers it, while its peers know better.
func TestEvacuatedZonesAreReadFromPeers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	peer := newEntryOn(t, "front-1", unavailableLog{}, make(chan uint64, 1))
	peer.configFollower.Mirror().Replace(track.KeyedPage{End: 2, Records: []track.KeyedRecord{
		{Key: "config", Value: []byte("3"), Offset: 0}, {Key: "evacuate/rivera", Value: []byte("{}"), Offset: 1},
	}})
	mux := http.NewServeMux()
	peer.ServePeers(mux)
	server := httptest.NewServer(mux)
	defer server.Close()

	started := newEntryOn(t, "front-2", unavailableLog{}, make(chan uint64, 10))
	startEntry(t, started)
	note := peer.composeNote(false)
	note.From, note.Started, note.Address, note.API = "front-1", 1, "127.0.0.1:1", strings.TrimPrefix(server.URL, "http://")
	for ; started.configHolder.Table() == nil; note.Seq++ {
		started.receiveNew(note)
		assert.NilError(t, ctx.Err(), "no configuration")
		started.options.Clock.(*clockwork.FakeClock).Advance(10 * time.Millisecond)
	}
	assert.Equal(t, started.evacuatedZones(), 1, "zones are evacuated before the first configuration is in force")
}

// Guards against a deletion that is lost because two tasks of the follower deliver it and the record in the wrong order.
func TestRecordsDeliveredInTheWrongOrder(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	apply := e.applyEvacuationFirst(func([]track.KeyedRecord) {})
	record := track.KeyedRecord{Key: "evacuate/rivera", Value: []byte("{}"), Offset: 1}
	mirror := e.configFollower.Mirror()
	mirror.Replace(track.KeyedPage{End: 1})
	evacuated := mirror.Add(track.KeyedPage{End: 2, Records: []track.KeyedRecord{record}})
	deleted := mirror.Add(track.KeyedPage{End: 3, Records: []track.KeyedRecord{{Key: record.Key, Offset: 2}}})
	apply(deleted)
	apply(evacuated)
	assert.Equal(t, e.evacuatedZones(), 0)
}

// Guards against a mistyped zone that nobody notices.
func TestUnknownEvacuatedZoneIsLoggedOnce(t *testing.T) {
	core, logs := observer.New(zapcore.WarnLevel)
	e := newEntry(clockwork.NewFakeClock())
	e.options.Logger, e.options.ZoneRegions = zap.New(core), map[track.AvailabilityZone]string{"rivera": "norte"}
	e.onEvacuated(vacate.Zones{"rivera": true, "riviera": true})
	e.onEvacuated(vacate.Zones{"riviera": true})
	assert.Equal(t, logs.Len(), 1)
	assert.Equal(t, logs.FilterMessage("evacuated zone is unknown").FilterField(zap.String("Zone", "riviera")).Len(), 1)
}
