package keyed

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
)

// The times of a zone whose entries read the list of replicas, as with a drain time of two seconds.
const (
	zoneDrainTime   = 2 * time.Second
	zonePoll        = 600 * time.Millisecond
	zoneMaxAge      = 800 * time.Millisecond
	zoneReadTimeout = 250 * time.Millisecond
	zoneAnswerTime  = 4 * time.Millisecond
)

// cuttableLog is a log with one record from appendedAt on, which answers unless it is cut off.
type cuttableLog struct {
	track.KeyedLog
	appendedAt time.Time
	cut        atomic.Bool
}

func (l *cuttableLog) Newest(ctx context.Context, _, _ string) (track.KeyedPage, error) {
	return l.Read(ctx, "", 0, 0)
}

func (l *cuttableLog) Read(ctx context.Context, _ string, from uint64, _ time.Duration) (track.KeyedPage, error) {
	if l.cut.Load() {
		return track.KeyedPage{}, track.Fail("call", track.Unavailable, errors.New("cut off"))
	}
	appended := !time.Now().Before(l.appendedAt)
	time.Sleep(zoneAnswerTime)
	page := track.KeyedPage{}
	if appended {
		page.End = 1
		if from == 0 {
			page.Records = []track.KeyedRecord{{Key: "i-1", Value: []byte("draining")}}
		}
	}
	return page, ctx.Err()
}

// leaderState is what has happened to the leader of the zone.
type leaderState int32

const (
	leaderAnswers leaderState = iota
	leaderFrozen
	leaderGone
)

// leaderMirror is the mirror of the zone's leader as another entry reads it.
type leaderMirror struct {
	track.KeyedLog
	leader *Follower
	state  *atomic.Int32
}

func (m leaderMirror) call(ctx context.Context, req mirrorRequest) (track.KeyedPage, error) {
	switch leaderState(m.state.Load()) {
	case leaderFrozen:
		<-ctx.Done()
		return track.KeyedPage{}, ctx.Err()
	case leaderGone:
		return track.KeyedPage{}, errors.New("connection refused")
	}
	return m.leader.servePeer(req)
}

func (m leaderMirror) Newest(ctx context.Context, _, _ string) (track.KeyedPage, error) {
	return m.call(ctx, mirrorRequest{Newest: true})
}

func (m leaderMirror) Read(ctx context.Context, _ string, from uint64, _ time.Duration) (track.KeyedPage, error) {
	return m.call(ctx, mirrorRequest{From: from})
}

// failure is what happens to the leader, and when. The times are those since its start.
type failure struct {
	state leaderState
	// followed is when the other entry starts, changed when the list changes and at when the leader fails.
	followed, changed, at time.Duration
}

// changeDelay returns the time from a change of the list until an entry that follows the leader knows it; negative if
// it doesn't learn of it.
func changeDelay(t *testing.T, limits RelayLimits, f failure) time.Duration {
	delay := time.Duration(-1)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		clock, start := clockwork.NewRealClock(), time.Now()
		own := &cuttableLog{appendedAt: start.Add(f.changed)}
		leaders := &cuttableLog{appendedAt: own.appendedAt}
		follow := func(log track.KeyedLog, apply func([]track.KeyedRecord)) *Follower {
			return NewFollower(Options{Topic: "servers", Log: log, PollInterval: zonePoll, Apply: apply, Clock: clock, Logger: zap.NewNop()})
		}
		leader := follow(leaders, func([]track.KeyedRecord) {})
		var current atomic.Int32
		mirror := leaderMirror{leader: leader, state: &current}
		relay := NewRelay(own, func() (track.KeyedLog, bool) { return mirror, leader.Mirror().Loaded() }, limits, clock)
		known := make(chan struct{})
		follower := follow(relay, func([]track.KeyedRecord) {
			delay = time.Since(own.appendedAt)
			close(known)
		})
		ended := make(chan error, 2)
		go func() { ended <- leader.Run(ctx) }()
		time.AfterFunc(f.followed, func() { go func() { ended <- follower.Run(ctx) }() })
		time.AfterFunc(f.at, func() {
			leaders.cut.Store(true)
			current.Store(int32(f.state))
		})
		select {
		case <-known:
		case <-time.After(time.Minute):
		}
		cancel()
		<-ended
		<-ended
	})
	return delay
}

// failures returns failures at all times within a poll interval before and after a change.
func failures(state leaderState, interval time.Duration) iter.Seq[failure] {
	return func(yield func(failure) bool) {
		for followed := interval; followed <= zonePoll; followed += interval {
			for changed := 3 * time.Second; changed < 3*time.Second+zonePoll; changed += interval {
				for at := changed - zonePoll; at <= changed+zonePoll; at += interval {
					if !yield(failure{state: state, followed: followed, changed: changed, at: at}) {
						return
					}
				}
			}
		}
	}
}

// A list that entries of a zone pass on to each other must not be older than the drain time: they would send
// requests to replicas that are about to leave. This holds whenever the leader is cut off from the log, freezes or is
// gone, and for each age of its list at that moment.
func TestRelayedListIsNeverOlderThanTheDrainTime(t *testing.T) {
	limits := RelayLimits{MaxAge: zoneMaxAge, Timeout: zoneReadTimeout}
	var longest, longestWithout time.Duration
	for state := leaderAnswers; state <= leaderGone; state++ {
		t.Run(fmt.Sprint("leader ", state), func(t *testing.T) {
			const interval = 60 * time.Millisecond
			for f := range failures(state, interval) {
				delay := changeDelay(t, limits, f)
				assert.Assert(t, delay >= 0 && delay < zoneDrainTime, "%+v: %s", f, delay)
				longest = max(longest, delay)
			}
			// A leader that is cut off was used until its list was 1.5 s old, as a message said that was up to 0.1 s old.
			for f := range failures(leaderAnswers, 2*interval) {
				longestWithout = max(longestWithout, changeDelay(t, RelayLimits{MaxAge: 1600 * time.Millisecond}, f))
			}
		})
	}
	t.Logf("at most %s, and %s if lists of 1.6 s are used", longest, longestWithout)
	assert.Assert(t, longestWithout > zoneDrainTime, "the test doesn't reach the drain time without the limit")
}

// A list without an age, from an entry of an older version, isn't used if the age matters.
func TestRelayReadsTheLogIfTheAgeIsUnknown(t *testing.T) {
	own := &cuttableLog{}
	leader := NewFollower(Options{Clock: clockwork.NewRealClock()})
	leader.Mirror().Replace(track.KeyedPage{End: 7})
	var state atomic.Int32
	relay := NewRelay(own, func() (track.KeyedLog, bool) { return leaderMirror{leader: leader, state: &state}, true },
		RelayLimits{MaxAge: time.Hour}, clockwork.NewRealClock())
	page, err := relay.Read(t.Context(), "", 7, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.End, uint64(1))
	own.cut.Store(true)
	_, err = relay.Read(t.Context(), "", 7, 0)
	assert.Assert(t, track.IsKind(err, track.Unavailable), "the list can't be confirmed: %v", err)
}
