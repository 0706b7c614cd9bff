// Package config holds the configuration in force on one instance. The store
// learns it from the log or from peers, and only ever moves to a newer one.
package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
	"filberttrack.example/track/duty"
	"filberttrack.example/track/tail"
)

// The defaults of a Store.
const (
	// DefaultRetention is the time for which the log is taken to keep records.
	DefaultRetention = 24 * time.Hour
	// DefaultPeerInterval is the longest wait between questions to peers.
	DefaultPeerInterval = 2 * time.Second
	// DefaultPeerTimeout bounds one question to a peer.
	DefaultPeerTimeout = time.Second
)

// Options holds the settings and dependencies of a Store.
type Options struct {
	Self track.Instance
	// Log is nil on instances that learn from their peers only.
	Log     track.Log
	Peers   track.ConfigPeers
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
	// Seed sets the random numbers that spread reads, questions and snapshots.
	Seed uint64
	// Retention is the time for which the log keeps records.
	Retention    time.Duration
	PollInterval time.Duration
	PeerInterval time.Duration
	PeerTimeout  time.Duration
	// Budget is the rate of appends a second for the whole deployment.
	Budget float64
}

// Store is the configuration of one instance.
type Store struct {
	o        Options
	live     atomic.Pointer[Live]
	reader   *tail.Reader[change.Record]
	appender *tail.Appender
	counters counters

	mu sync.Mutex
	// state is nil while the instance knows no configuration.
	state *change.State
	// next is the offset up to which the state has read the log.
	next uint64
	// scan is the offset of the search for a snapshot, while searching is set.
	scan      uint64
	searching bool
	// searchingSince is the time at which the search began.
	searchingSince time.Time
	// answered holds the peers that have answered since then.
	answered map[track.InstanceID]bool
	// checksum is that of the state at checksumSeq, kept until the state moves.
	checksum    string
	checksumSeq uint64
	// confirmed is the time at which nothing newer existed.
	confirmed time.Time
	// logFault is the failure of the last read; empty after a success.
	logFault string
	// snapshotTime is the log's time of the newest snapshot that it still keeps.
	snapshotTime time.Time
	caughtUp     bool
	changed      chan struct{}
}

type counters struct {
	changes, refused, diverged, snapshots, peerQuestions, peerFailures, peerBytes *metrics.Counter
}

// New returns a store that knows nothing yet; Start makes it learn.
func New(o Options) *Store {
	o.Retention = orDefault(o.Retention, DefaultRetention)
	o.PeerInterval = orDefault(o.PeerInterval, DefaultPeerInterval)
	o.PeerTimeout = orDefault(o.PeerTimeout, DefaultPeerTimeout)
	s := &Store{o: o, changed: make(chan struct{})}
	s.register()
	if o.Log != nil {
		s.reader = s.newReader()
		s.appender = tail.NewAppender(tail.AppenderOptions{
			Log: o.Log, Stream: track.StreamConfig, Clock: o.Clock, Metrics: o.Metrics,
			Budget: o.Budget, Appenders: s.entries,
		})
	}
	return s
}

func orDefault(value, standard time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return standard
}

func (s *Store) newReader() *tail.Reader[change.Record] {
	return tail.NewReader(tail.ReaderOptions[change.Record]{
		Log: s.o.Log, Stream: track.StreamConfig, Decode: change.Decode, Follower: (*follower)(s),
		Clock: s.o.Clock, Rand: s.rand(1), Logger: s.o.Logger, Metrics: s.o.Metrics,
		PollInterval: s.o.PollInterval,
	})
}

// rand returns the random numbers of one duty.
func (s *Store) rand(duty uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.o.Seed, duty))
}

func (s *Store) register() {
	counter := func(name string) *metrics.Counter {
		return s.o.Metrics.GetOrCreateCounter("filberttrack_config_" + name + "_total")
	}
	s.counters = counters{
		changes: counter("changes"), refused: counter("refused_changes"), diverged: counter("diverged"),
		snapshots: counter("snapshots"), peerQuestions: counter("peer_questions"),
		peerFailures: counter("peer_failures"), peerBytes: counter("peer_bytes"),
	}
	s.o.Metrics.GetOrCreateGauge("filberttrack_config_version", func() float64 { return float64(s.Position().Version) })
	s.o.Metrics.GetOrCreateGauge("filberttrack_config_age_seconds", func() float64 { return s.Status().Age.Seconds() })
}

// Start starts the duties of the store. They end with the context.
func (s *Store) Start(ctx context.Context) []*duty.Duty {
	duties := []*duty.Duty{duty.Start(ctx, "config peers", s.askPeers)}
	if s.o.Log != nil {
		duties = append(duties,
			duty.Start(ctx, "config tail", s.reader.Run),
			duty.Start(ctx, "config appends", s.appender.Run),
			duty.Start(ctx, "config snapshots", s.keepSnapshots))
	}
	return duties
}

// Live returns the configuration in force, or nil while none is known. It never
// waits.
func (s *Store) Live() *Live {
	return s.live.Load()
}

// Ready reports whether a configuration is known that was the newest at some
// time since the start.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != nil && !s.confirmed.IsZero()
}

// AwaitReady waits until the store is ready or the context ends.
func (s *Store) AwaitReady(ctx context.Context) error {
	for {
		changed := s.Changed()
		if s.Ready() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return track.Fail("wait for configuration", NotReady, context.Cause(ctx))
		}
	}
}

// Changed returns a channel that is closed at the next decided change, and once
// the store gets ready.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Status describes the store to operators.
type Status struct {
	Known   bool
	Version uint64
	Seq     uint64
	// Age is the time since the instance knew that nothing newer existed; -1 if
	// it never knew.
	Age time.Duration
	// LogFault is the failure of the last read of the log; empty if it worked.
	LogFault string
	// Offset is the place in the log up to which the state has read.
	Offset uint64
	// Searching is set while the instance lacks expired records and looks for a
	// snapshot.
	Searching bool
	// SnapshotAge is the age of the newest snapshot in the log; -1 if none is
	// known.
	SnapshotAge time.Duration
}

// Status returns what operators see of the store.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{
		Known: s.state != nil, Age: s.since(s.confirmed), LogFault: s.logFault, Offset: s.next,
		Searching: s.searching, SnapshotAge: s.since(s.snapshotTime),
	}
	if s.state != nil {
		st.Version, st.Seq = s.state.Version(), s.state.Seq()
	}
	return st
}

func (s *Store) since(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return s.o.Clock.Since(t)
}

// Position returns how far the store has followed the configuration, without
// the checksum.
func (s *Store) Position() track.ConfigPosition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position()
}

func (s *Store) position() track.ConfigPosition {
	p := track.ConfigPosition{Instance: s.o.Self.ID, Known: s.state != nil, Age: s.since(s.confirmed)}
	if s.state != nil {
		p.Version, p.Seq = s.state.Version(), s.state.Seq()
	}
	return p
}

// View calls read with the state; it must not keep or modify it.
func (s *Store) View(read func(*change.State)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return track.Fail("read configuration", NotReady, errUnknownState)
	}
	read(s.state)
	return nil
}

// adopt takes a state if it is newer than the store's own, and reports whether
// it was. The caller holds the lock.
func (s *Store) adopt(state *change.State, next uint64, source string) bool {
	if s.state != nil && state.Seq() <= s.state.Seq() {
		return false
	}
	s.o.Logger.Info("configuration taken over", zap.String("Source", source),
		zap.Uint64("Version", state.Version()), zap.Uint64("Seq", state.Seq()))
	s.state = state
	s.next = next
	s.searching = false
	s.publish()
	return true
}

// publish makes the state's configuration the one in force.
func (s *Store) publish() {
	cfg := s.state.Config()
	if previous := s.live.Load(); previous == nil || cfg.Version > previous.Version() {
		s.live.Store(NewLive(cfg, previous))
	}
	s.signal()
}

// signal wakes those that wait for a change.
func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// confirm records that nothing newer than the state existed at the given time.
func (s *Store) confirm(at time.Time) {
	first := s.confirmed.IsZero()
	if at.After(s.confirmed) {
		s.confirmed = at
	}
	if first {
		s.signal()
	}
}

// sum returns the checksum of the state. The caller holds the lock.
func (s *Store) sum() string {
	if s.checksum != "" && s.checksumSeq == s.state.Seq() {
		return s.checksum
	}
	s.checksum, s.checksumSeq = s.state.Checksum(), s.state.Seq()
	return s.checksum
}
