// Package engine provides a stand-in for a model engine: an HTTP handler that
// answers chat completions with continuous batching, priorities, a prefix cache
// of limited size, cancellation and resumption.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// Defaults of the settings.
const (
	DefaultCapacity      = 64
	DefaultQueueLimit    = 1024
	DefaultPrefillTokens = 2048
	DefaultCacheBlocks   = 4096
	DefaultMaxBodyBytes  = 4 << 20
)

// reportedPrefixes bounds the prefixes that a load report samples.
const reportedPrefixes = 64

// Settings describe an engine. Zero values of sizes mean the defaults.
type Settings struct {
	// Model is the only model that the engine serves.
	Model string
	// Capacity is the number of requests that one batch holds.
	Capacity int
	// QueueLimit is the number of requests that may wait for the batch.
	QueueLimit int
	// StepTime is the duration of one step, in which each request of the batch
	// gets one token; 0 runs as fast as possible.
	StepTime time.Duration
	// PrefillTokens is the number of prompt tokens that one step computes for
	// a request, apart from those found in the prefix cache.
	PrefillTokens int
	// CacheBlocks is the number of blocks that the prefix cache holds.
	CacheBlocks int
	// AnswerTokens is the least length of an answer; shorter ones are padded.
	AnswerTokens int
	// LoadLag is the age of the load that is reported.
	LoadLag time.Duration
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// PoisonMarker makes the engine crash when it starts a prompt that contains
	// it; empty turns that off.
	PoisonMarker string
	// RestartAfter is the time for which a crashed engine stays down; 0 keeps
	// it down until Restart.
	RestartAfter time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.Capacity <= 0 {
		s.Capacity = DefaultCapacity
	}
	if s.QueueLimit <= 0 {
		s.QueueLimit = DefaultQueueLimit
	}
	if s.PrefillTokens <= 0 {
		s.PrefillTokens = DefaultPrefillTokens
	}
	if s.CacheBlocks <= 0 {
		s.CacheBlocks = DefaultCacheBlocks
	}
	if s.MaxBodyBytes <= 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return s
}

// Counts are totals since the engine was made.
type Counts struct {
	// Started is the number of requests that entered the batch.
	Started int64
	// Completed is the number of requests whose answer was written whole.
	Completed int64
	// Cancelled is the number of requests whose caller went away.
	Cancelled int64
	// Crashes is the number of crashes.
	Crashes int64
	// Tokens is the number of tokens generated.
	Tokens int64
}

// Engine is a stand-in model engine. It is safe for concurrent use.
type Engine struct {
	clock    clockwork.Clock
	settings Settings
	mux      *http.ServeMux
	epoch    time.Time
	batch    *batch
	cache    *cache
	load     loadHistory

	stepTime  atomic.Int64
	tokens    atomic.Int64
	started   atomic.Int64
	completed atomic.Int64
	cancelled atomic.Int64
	generated atomic.Int64

	mu        sync.Mutex
	life      *life
	downUntil time.Time
	crashes   int64
	running   chan struct{}
}

// life is the span from a start of the engine to its next crash.
type life struct {
	// cancels ends the requests in progress, by number.
	cancels map[uint64]context.CancelCauseFunc
	next    uint64
}

func newLife() *life {
	return &life{cancels: map[uint64]context.CancelCauseFunc{}}
}

// New returns a running engine.
func New(clock clockwork.Clock, settings Settings) *Engine {
	settings = settings.withDefaults()
	e := &Engine{
		clock:    clock,
		settings: settings,
		mux:      http.NewServeMux(),
		epoch:    clock.Now(),
		batch:    newBatch(settings.Capacity, settings.QueueLimit),
		cache:    newCache(settings.CacheBlocks),
		load:     loadHistory{lag: settings.LoadLag},
		life:     newLife(),
		running:  make(chan struct{}),
	}
	close(e.running)
	e.stepTime.Store(int64(settings.StepTime))
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /health", e.health)
	e.mux.HandleFunc("GET /load", e.reportLoad)
	return e
}

// ServeHTTP implements http.Handler. While the engine is down, connections are
// cut without an answer.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.up() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Counts returns the totals since the engine was made.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counts{
		Started:   e.started.Load(),
		Completed: e.completed.Load(),
		Cancelled: e.cancelled.Load(),
		Crashes:   e.crashes,
		Tokens:    e.generated.Load(),
	}
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int {
	running, _ := e.batch.sizes()
	return running
}

// SetStepTime changes the duration of a step, as a straggling rank would.
func (e *Engine) SetStepTime(d time.Duration) {
	e.stepTime.Store(int64(d))
}

// Crash cuts all connections, empties the prefix cache and takes the engine
// down until Restart, or for the time that the settings give.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == nil {
		return
	}
	for _, cancel := range e.life.cancels {
		cancel(errCrashed)
	}
	e.life = nil
	e.crashes++
	e.downUntil = e.clock.Now().Add(e.settings.RestartAfter)
	e.cache.clear()
}

// Restart starts a crashed engine again.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

func (e *Engine) restart() {
	if e.life == nil {
		e.life = newLife()
	}
}

// Pause stops all steps until Resume. Health and load are still answered.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.running:
		e.running = make(chan struct{})
	default:
	}
}

// Resume lets a paused engine go on.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.running:
	default:
		close(e.running)
	}
}

// up reports whether the engine runs. An engine whose time down has passed
// starts again.
func (e *Engine) up() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == nil && e.settings.RestartAfter > 0 && !e.clock.Now().Before(e.downUntil) {
		e.restart()
	}
	return e.life != nil
}

// enroll has cancel called if the engine crashes before the returned function
// is called. It reports false if the engine is down.
func (e *Engine) enroll(cancel context.CancelCauseFunc) (func(), bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.life
	if current == nil {
		return nil, false
	}
	number := current.next
	current.next++
	current.cancels[number] = cancel
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(current.cancels, number)
	}, true
}

func (e *Engine) unpaused() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	e.noteLoad()
	report := e.load.at(e.clock.Now())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// noteLoad keeps a sample of the present load for reports that lag.
func (e *Engine) noteLoad() {
	now := e.clock.Now()
	if !e.load.due(now) {
		return
	}
	running, queued := e.batch.sizes()
	e.load.add(now, track.Load{
		Running:        running,
		Queued:         queued,
		Capacity:       e.settings.Capacity,
		TokensInFlight: int(e.tokens.Load()),
		StepTime:       time.Duration(e.stepTime.Load()),
		CachedPrefixes: e.cache.recent(reportedPrefixes),
	})
}
