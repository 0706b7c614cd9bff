package edge

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

// putLog counts the records that are put. It implements track.KeyedLog.
type putLog struct {
	track.KeyedLog
	mu   sync.Mutex
	puts int
}

func (l *putLog) Put(context.Context, string, string, []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.puts++
	return nil
}

func (l *putLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.puts
}

// A process writes its member record again once the log has come back from an older copy, at a
// time that differs from that of other processes.
func TestMemberRecordIsWrittenAgain(t *testing.T) {
	clock, log := clockwork.NewFakeClock(), &putLog{}
	a := newAnnouncer(log, clock, "front-1", Member{}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	assert.Equal(t, log.count(), 1)
	a.Again()
	assert.NilError(t, clock.BlockUntilContext(ctx, 2))
	assert.Equal(t, log.count(), 1)
	clock.Advance(reannounceSpread)
	assert.NilError(t, clock.BlockUntilContext(ctx, 2))
	assert.Equal(t, log.count(), 2)
	cancel()
	<-done
}

// The members stay known while a log that was restored from an older copy lacks their records.
func TestMembersOutlastTheirRecords(t *testing.T) {
	m := newMembers("front-1", nil, zap.NewNop())
	m.applyRecords([]track.KeyedRecord{{Key: "front-2", Value: []byte(`{"Role":"Entry"}`)}})
	m.applyRecords([]track.KeyedRecord{{Key: "front-2"}})
	assert.Equal(t, m.entryCount(), 2)
}

// Guards against an odd record that replaces that of a member, or that counts as one.
func TestOddMemberRecordsAreIgnored(t *testing.T) {
	m := newMembers("front-1", nil, zap.NewNop())
	sound := Member{Role: track.RoleEntry, Zone: "rivera", MessageAddress: "10.0.0.2:7340", CallAddress: "10.0.0.2:7341"}
	m.applyRecords([]track.KeyedRecord{{Key: "front-2", Value: []byte(
		`{"Role":"Entry","Zone":"rivera","Notes":"10.0.0.2:7340","API":"10.0.0.2:7341"}`)}})
	for _, odd := range []string{
		`1`, `{}`, `{"Role":"Clown"}`, `{"Role":"Entry","Notes":1}`, `{"Role":"Entry","Notes":"10.0.0.2:99999"}`,
		`{"Role":"Entry","Notes":"10.0.0.2:0"}`, `{"Role":"Entry","API":"10.0.0.2:http"}`, `{"Role":"Agent","API":"yard:1"}`,
		strings.Repeat(`{"Role":`, 1<<15),
	} {
		m.applyRecords([]track.KeyedRecord{{Key: "front-2", Value: []byte(odd)}, {Key: "front-3", Value: []byte(odd)}})
		assert.DeepEqual(t, m.known, map[track.InstanceID]Member{"front-2": sound})
	}
}
