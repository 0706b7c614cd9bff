package edge

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/retry"
)

const (
	// darkApplyTime is the time after which a change that the log has acknowledged is in force, and
	// darkStableTime the time after a disturbance from which on that holds again. Both are the users'.
	darkApplyTime  = 2 * time.Second
	darkStableTime = 3 * time.Second
	// darkCallTimeout is the timeout of a call in addition to the time for which it waits, as in the
	// client of the platform's log.
	darkCallTimeout = 2500 * time.Millisecond
)

// darkLog is a log whose topics can be dark: calls that are pending when a topic goes dark, and those that
// come while it is, get no answer, on connections that are otherwise sound.
type darkLog struct {
	mu     sync.Mutex
	topics map[string]*darkTopic
	// answerTime is the time that an answer takes.
	answerTime time.Duration
}

type darkTopic struct {
	records []track.KeyedRecord
	dark    bool
	// losses counts the times that the topic went dark.
	losses int
	// calls counts the reads.
	calls int
	// appended is closed and replaced when a record is appended.
	appended chan struct{}
}

func newDarkLog() *darkLog {
	l := &darkLog{topics: make(map[string]*darkTopic), answerTime: 4 * time.Millisecond}
	for _, name := range []string{"op", "servers", topicMembers, topicBarred} {
		l.topics[name] = &darkTopic{appended: make(chan struct{})}
	}
	return l
}

// setDark makes topics go dark or answer again.
func (l *darkLog) setDark(dark bool, topics ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range topics {
		l.topics[name].dark = dark
		if dark {
			l.topics[name].losses++
		}
	}
}

// callsOf returns the number of reads of a topic so far.
func (l *darkLog) callsOf(topic string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.topics[topic].calls
}

func (l *darkLog) append(topic, key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topics[topic]
	t.records = append(t.records, track.KeyedRecord{Key: key, Value: []byte(value), Offset: uint64(len(t.records))})
	close(t.appended)
	t.appended = make(chan struct{})
}

var errNoAnswer = errors.New("no answer")

// answer waits for the answer to a call that waits for a record. It fails when the context ends if the topic was
// dark meanwhile.
func (l *darkLog) answer(ctx context.Context, topic string, from int, wait time.Duration) ([]track.KeyedRecord, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+darkCallTimeout)
	defer cancel()
	l.mu.Lock()
	t := l.topics[topic]
	t.calls++
	losses, appended, news := t.losses, t.appended, len(t.records) > from
	l.mu.Unlock()
	if !news && wait > 0 {
		select {
		case <-appended:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	time.Sleep(l.answerTime)
	l.mu.Lock()
	lost := t.dark || t.losses != losses
	records, end := t.records[min(from, len(t.records)):], uint64(len(t.records))
	l.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, 0, track.Fail("call log", track.Ambiguous, errNoAnswer)
	}
	return records, end, ctx.Err()
}

// Newest implements track.KeyedLog. It returns old records of a key as well, before newer ones.
func (l *darkLog) Newest(ctx context.Context, topic, _ string) (track.KeyedPage, error) {
	records, end, err := l.answer(ctx, topic, 0, 0)
	return track.KeyedPage{Records: records, End: end}, err
}

// Read implements track.KeyedLog.
func (l *darkLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (track.KeyedPage, error) {
	records, end, err := l.answer(ctx, topic, int(from), wait)
	return track.KeyedPage{Records: records, End: end}, err
}

// Put implements track.KeyedLog.
func (l *darkLog) Put(_ context.Context, topic, key string, value []byte) error {
	l.append(topic, key, string(value))
	return nil
}

// deafConn is a connection on which no message arrives and none is sent.
type deafConn struct {
	net.PacketConn
	closed chan struct{}
}

func (c deafConn) ReadFrom([]byte) (int, net.Addr, error) {
	<-c.closed
	return 0, nil, net.ErrClosed
}

func (deafConn) WriteTo(data []byte, _ net.Addr) (int, error) { return len(data), nil }

func (c deafConn) Close() error {
	close(c.closed)
	return nil
}

// startDarkEntry runs an entry that reads the log and hears no other, until the test ends.
func startDarkEntry(t *testing.T, self track.InstanceID, log track.KeyedLog) *Entry {
	e := newDarkEntry(self, log, Member{Role: track.RoleEntry, Zone: "rivera"}, deafConn{closed: make(chan struct{})})
	startEntry(t, e)
	return e
}

// newDarkEntry returns an entry that reads the log in real time, which a synctest bubble makes its own.
func newDarkEntry(self track.InstanceID, log track.KeyedLog, member Member, conn net.PacketConn) *Entry {
	return NewEntry(Options{
		Self: self, Zone: member.Zone, Member: member, Log: log, Topics: Topics{Config: "op", Replicas: "servers", ConfigKey: "config", EvacuatedPrefix: "evacuate/"},
		DecodeConfig: func(data []byte) (track.RouteConfig, error) {
			version, err := strconv.ParseUint(string(data), 10, 64)
			return track.RouteConfig{Version: version}, err
		},
		DecodeReplica: decodeReplica, MessageConn: conn,
		RetryLimit: retry.ServiceLimit{Share: 0.2, Slack: 60, Window: 10 * time.Second}, DrainTimeout: 2 * time.Second,
		Clock: clockwork.NewRealClock(), Random: func() float64 { return 0 }, Logger: zap.NewNop(), Metrics: metrics.NewSet(),
	})
}

// Guards against an entry that keeps an old configuration until a pending read reaches its deadline, because the log has
// lost the answer to it while the connection stayed sound.
func TestChangeIsInForceThoughTheAnswerToAPendingReadIsLost(t *testing.T) {
	for _, darkFor := range []time.Duration{10 * time.Millisecond, 2 * time.Second, 5500 * time.Millisecond, 12 * time.Second} {
		t.Run(darkFor.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newDarkLog()
				log.append("op", "config", "1")
				e := startDarkEntry(t, "front-1", log)
				time.Sleep(5 * time.Second)
				log.setDark(true, "op")
				time.Sleep(darkFor)
				log.setDark(false, "op")
				log.append("op", "config", "2")
				time.Sleep(darkStableTime)
				version, _ := e.configHolder.Current()
				assert.Equal(t, version, uint64(2), "%s after the log answers again", darkStableTime)
				log.append("op", "config", "3")
				time.Sleep(darkApplyTime)
				version, _ = e.configHolder.Current()
				assert.Equal(t, version, uint64(3), "%s after the change", darkApplyTime)
			})
		})
	}
}

// addressOf returns the address of a replica in the entry's list.
func (e *Entry) addressOf(id track.ReplicaID) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.replicas {
		if r.ID == id {
			return r.Address
		}
	}
	return ""
}

// Guards against an entry that keeps an old list of replicas, because reads were lost at the end of a time in which the
// log didn't answer and the next ones came late.
func TestListOfReplicasIsReadSoonAfterTheLogWasDark(t *testing.T) {
	for darkFor := 500 * time.Millisecond; darkFor <= 16*time.Second; darkFor += 500 * time.Millisecond {
		t.Run(darkFor.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newDarkLog()
				log.append("op", "config", "1")
				log.append("servers", "r1", "10.0.0.1:1")
				e := startDarkEntry(t, "front-1", log)
				time.Sleep(5 * time.Second)
				log.setDark(true, "servers")
				time.Sleep(darkFor)
				log.setDark(false, "servers")
				log.append("servers", "r1", "10.0.0.1:2")
				time.Sleep(darkStableTime)
				assert.Equal(t, e.addressOf("r1"), "10.0.0.1:2", "%s after the log answers again", darkStableTime)
			})
		})
	}
}

// An entry that can't read the log keeps the keys and routes that it knows, and doesn't call others unknown.
func TestConfigurationIsNotConfirmedWhileTheLogIsDark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newDarkLog()
		log.append("op", "config", "1")
		e := startDarkEntry(t, "front-1", log)
		for range 20 {
			time.Sleep(time.Second)
			assert.Assert(t, e.configConfirmed())
		}
		log.setDark(true, "op")
		time.Sleep(darkApplyTime + 100*time.Millisecond)
		assert.Assert(t, !e.configConfirmed())
		time.Sleep(10 * time.Second)
		assert.Assert(t, !e.configConfirmed())
		assert.Assert(t, e.Ready())
		log.setDark(false, "op")
		time.Sleep(darkApplyTime)
		assert.Assert(t, e.configConfirmed())
	})
}
