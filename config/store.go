// Package config keeps the configuration of one instance up to date. The store
// reads changes from the log or fetches them from peers, and never goes back to
// an older version.
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
	// DefaultRetention is the time for which the log is assumed to keep records.
	DefaultRetention = 24 * time.Hour
	// DefaultPeerInterval is the longest wait between polls of peers.
	DefaultPeerInterval = 2 * time.Second
	// DefaultPeerTimeout is the timeout of one request to a peer.
	DefaultPeerTimeout = time.Second
)

// Options holds the settings and dependencies of a Store.
type Options struct {
	Self track.Instance
	// Log is nil on instances that get the configuration from peers only.
	Log     track.Log
	Peers   track.ConfigPeers
	Clock   clockwork.Clock
	Logger  *zap.Logger
	Metrics *metrics.Set
	// RandomSeed seeds the random numbers that spread reads, peer polls and snapshots
	// over time and instances.
	RandomSeed uint64
	// Retention is the time for which the log keeps records; 0 selects
	// DefaultRetention.
	Retention time.Duration
	// PollInterval is the longest wait between reads of the log; 0 selects
	// tail.DefaultPollInterval.
	PollInterval time.Duration
	// PeerInterval is the longest wait between polls of peers; 0 selects
	// DefaultPeerInterval.
	PeerInterval time.Duration
	// PeerTimeout is the timeout of one request to a peer; 0 selects
	// DefaultPeerTimeout.
	PeerTimeout time.Duration
	// AppendsPerSecond is the maximum rate of appends to the log by the whole deployment,
	// in appends per second; 0 selects tail.DefaultBudget.
	AppendsPerSecond float64
}

// Store holds the configuration of one instance and keeps it up to date.
type Store struct {
	options  Options
	current  atomic.Pointer[Index]
	reader   *tail.Reader[change.Record]
	appender *tail.Appender
	counters counters

	mu sync.Mutex
	// state is nil while the instance knows no configuration.
	state *change.State
	// nextOffset is the offset of the first record of the log that is not yet
	// part of the state.
	nextOffset uint64
	// searchOffset is the offset of the next record to search for a snapshot
	// while searching is set.
	searchOffset uint64
	searching    bool
	// searchStarted is the time at which the search began.
	searchStarted time.Time
	// answered holds the peers that have answered since the search began.
	answered map[track.InstanceID]bool
	// checksum caches the checksum of the state with the Seq checksumSeq.
	checksum    string
	checksumSeq uint64
	// confirmedAt is the last time at which the state is known to have been the
	// newest; zero if there is none.
	confirmedAt time.Time
	// logError is the error of the last read of the log; empty if it succeeded.
	logError string
	// snapshotTime is the time of the newest snapshot that was read, by the
	// log's clock.
	snapshotTime time.Time
	// caughtUp is set if the last read reached the end of the log.
	caughtUp bool
	// changed is closed and replaced at each signal of Changed.
	changed chan struct{}
}

type counters struct {
	acceptedChanges, refusedChanges, diverged, snapshots, peerRequests, peerFailures, peerBytes *metrics.Counter
}

// New returns a store without a configuration. Start begins to read the log and
// to poll peers.
func New(o Options) *Store {
	o.Retention = orDefault(o.Retention, DefaultRetention)
	o.PeerInterval = orDefault(o.PeerInterval, DefaultPeerInterval)
	o.PeerTimeout = orDefault(o.PeerTimeout, DefaultPeerTimeout)
	s := &Store{options: o, changed: make(chan struct{})}
	s.registerMetrics()
	if o.Log != nil {
		s.reader = s.newReader()
		s.appender = tail.NewAppender(tail.AppenderOptions{
			Log: o.Log, Stream: track.StreamConfig, Clock: o.Clock, Metrics: o.Metrics,
			AppendsPerSecond: o.AppendsPerSecond, InstanceCount: s.entryCount,
		})
	}
	return s
}

func orDefault(value, defaultValue time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return defaultValue
}

func (s *Store) newReader() *tail.Reader[change.Record] {
	return tail.NewReader(tail.ReaderOptions[change.Record]{
		Log: s.options.Log, Stream: track.StreamConfig, Decode: change.Decode, Handler: (*follower)(s),
		Clock: s.options.Clock, Rand: s.newRand(1), Logger: s.options.Logger, Metrics: s.options.Metrics,
		PollInterval: s.options.PollInterval,
	})
}

// newRand returns the random number generator of one background task.
func (s *Store) newRand(task uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.options.RandomSeed, task))
}

func (s *Store) registerMetrics() {
	counter := func(name string) *metrics.Counter {
		return s.options.Metrics.GetOrCreateCounter("filberttrack_config_" + name + "_total")
	}
	s.counters = counters{
		acceptedChanges: counter("changes"), refusedChanges: counter("refused_changes"), diverged: counter("diverged"),
		snapshots: counter("snapshots"), peerRequests: counter("peer_questions"),
		peerFailures: counter("peer_failures"), peerBytes: counter("peer_bytes"),
	}
	s.options.Metrics.GetOrCreateGauge("filberttrack_config_version", func() float64 {
		return float64(s.Position().Version)
	})
	s.options.Metrics.GetOrCreateGauge("filberttrack_config_age_seconds", func() float64 {
		return s.Status().Age.Seconds()
	})
}

// Start starts the background tasks of the store. They end with the context.
func (s *Store) Start(ctx context.Context) []*duty.Duty {
	duties := []*duty.Duty{duty.Start(ctx, "config peers", s.pollPeers)}
	if s.options.Log != nil {
		duties = append(duties,
			duty.Start(ctx, "config tail", s.reader.Run),
			duty.Start(ctx, "config appends", s.appender.Run),
			duty.Start(ctx, "config snapshots", s.writeSnapshots))
	}
	return duties
}

// Current returns the configuration in force, or nil while none is known. It does
// not block.
func (s *Store) Current() *Index {
	return s.current.Load()
}

// Ready reports whether a configuration is known and has been confirmed to be the
// newest at some time since the start.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != nil && !s.confirmedAt.IsZero()
}

// AwaitReady waits until the store is ready. It returns an error of kind NotReady
// if the context ends first.
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

// Changed returns a channel that is closed at the next decided change or when the
// store becomes ready.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Status describes the state of the store to operators.
type Status struct {
	Known   bool
	Version uint64
	Seq     uint64
	// Age is the time since the configuration was last confirmed to be the
	// newest; -1 if it never was.
	Age time.Duration
	// LogError is the error of the last read of the log; empty if it succeeded.
	LogError string `json:"LogFault"`
	// Offset is the offset of the first record of the log that is not yet part
	// of the configuration.
	Offset uint64
	// Searching is set while records have expired before the instance read them
	// and it searches the log for a snapshot.
	Searching bool
	// SnapshotAge is the age of the newest snapshot read from the log; -1 if
	// there is none.
	SnapshotAge time.Duration
}

// Status returns the present status of the store.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{
		Known: s.state != nil, Age: s.age(s.confirmedAt), LogError: s.logError, Offset: s.nextOffset,
		Searching: s.searching, SnapshotAge: s.age(s.snapshotTime),
	}
	if s.state != nil {
		st.Version, st.Seq = s.state.Version(), s.state.Seq()
	}
	return st
}

func (s *Store) age(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return s.options.Clock.Since(t)
}

// Position returns the version and sequence number that the store has reached.
// The checksum is not set.
func (s *Store) Position() track.ConfigPosition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position()
}

func (s *Store) position() track.ConfigPosition {
	p := track.ConfigPosition{Instance: s.options.Self.ID, Known: s.state != nil, Age: s.age(s.confirmedAt)}
	if s.state != nil {
		p.Version, p.Seq = s.state.Version(), s.state.Seq()
	}
	return p
}

// View calls read with the state, which read must not keep or modify. It returns
// an error of kind NotReady if no configuration is known.
func (s *Store) View(read func(*change.State)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return track.Fail("read configuration", NotReady, errNoConfiguration)
	}
	read(s.state)
	return nil
}

// replaceState replaces the state if the new one is newer, and reports whether it
// was. The caller holds the lock.
func (s *Store) replaceState(state *change.State, next uint64, source string) bool {
	if s.state != nil && state.Seq() <= s.state.Seq() {
		return false
	}
	s.options.Logger.Info("configuration taken over", zap.String("Source", source),
		zap.Uint64("Version", state.Version()), zap.Uint64("Seq", state.Seq()))
	s.state = state
	s.nextOffset = next
	s.searching = false
	s.activate()
	return true
}

// activate puts the configuration of the state in force. The caller holds the
// lock.
func (s *Store) activate() {
	cfg := s.state.Config()
	if previous := s.current.Load(); previous == nil || cfg.Version > previous.Version() {
		s.current.Store(NewIndex(cfg, previous))
	}
	s.notifyChanged()
}

// notifyChanged wakes all goroutines that wait on Changed. The caller holds the
// lock.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// confirmCurrent records that the state was the newest at the given time. The
// caller holds the lock.
func (s *Store) confirmCurrent(at time.Time) {
	first := s.confirmedAt.IsZero()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	if first {
		s.notifyChanged()
	}
}

// stateChecksum returns the checksum of the state. The caller holds the lock.
func (s *Store) stateChecksum() string {
	if s.checksum != "" && s.checksumSeq == s.state.Seq() {
		return s.checksum
	}
	s.checksum, s.checksumSeq = s.state.Checksum(), s.state.Seq()
	return s.checksum
}
