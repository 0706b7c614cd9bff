// Package engine simulates an LLM inference engine: an HTTP handler that answers
// chat completion requests with continuous batching, priorities, a prefix cache
// of limited size, cancellation and resumption.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
)

// The default settings.
const (
	DefaultCapacity      = 64
	DefaultQueueLimit    = 1024
	DefaultPrefillTokens = 2048
	DefaultCacheBlocks   = 4096
	DefaultMaxBodyBytes  = 4 << 20
)

// maxReportedPrefixes is the maximum number of cached prefixes in a load report.
const maxReportedPrefixes = 64

// Settings are the settings of an engine. A size of 0 means its default.
type Settings struct {
	// Model is the only model that the engine serves.
	Model string
	// Capacity is the maximum number of requests in the batch.
	Capacity int
	// QueueLimit is the maximum number of requests that wait for a slot in the batch.
	QueueLimit int
	// StepTime is the duration of one step, which generates one token for each request
	// in the batch; 0 runs as fast as possible.
	StepTime time.Duration
	// PrefillTokens is the number of prompt tokens that one step computes for a request.
	// Tokens found in the prefix cache need no step.
	PrefillTokens int
	// CacheBlocks is the maximum number of blocks in the prefix cache.
	CacheBlocks int
	// AnswerTokens is the minimum length of an answer in tokens; shorter answers are
	// padded.
	AnswerTokens int
	// LoadLag is the time by which load reports lag behind the actual load.
	LoadLag time.Duration
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// PoisonMarker is a text that crashes the engine when it starts a prompt that
	// contains it; if empty, no prompt crashes the engine.
	PoisonMarker string
	// RestartAfter is the time for which a crashed engine stays down; with 0 it stays
	// down until Restart is called.
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

// Counts are totals since the engine was created.
type Counts struct {
	// Started is the number of requests that were admitted to the batch.
	Started int64
	// Completed is the number of requests whose answer was written completely.
	Completed int64
	// Cancelled is the number of requests that ended because the client disconnected.
	Cancelled int64
	Crashes   int64
	// Tokens is the number of generated tokens.
	Tokens int64
}

// Engine is a simulated inference engine. It is safe for concurrent use.
type Engine struct {
	clock    clockwork.Clock
	settings Settings
	mux      *http.ServeMux
	// createdAt is the start of the first step.
	createdAt time.Time
	batch     *batch
	cache     *prefixCache
	load      loadHistory

	// stepTime is the duration of a step in nanoseconds.
	stepTime atomic.Int64
	// tokensInFlight is the number of prompt and answer tokens of the requests in the batch.
	tokensInFlight  atomic.Int64
	started         atomic.Int64
	completed       atomic.Int64
	cancelled       atomic.Int64
	generatedTokens atomic.Int64

	mu sync.Mutex
	// incarnation is nil while the engine is down.
	incarnation *incarnation
	downUntil   time.Time
	crashes     int64
	// unpaused is closed unless the engine is paused.
	unpaused chan struct{}
	// limit is the limit that responses name, in requests a second; 0 if they name none.
	limit float64
}

// incarnation is one run of the engine, from a start to the next crash.
type incarnation struct {
	// cancels holds the cancel functions of the requests in progress, by request number.
	cancels    map[uint64]context.CancelCauseFunc
	nextNumber uint64
}

func newIncarnation() *incarnation {
	return &incarnation{cancels: map[uint64]context.CancelCauseFunc{}}
}

// New returns a running engine.
func New(clock clockwork.Clock, settings Settings) *Engine {
	settings = settings.withDefaults()
	e := &Engine{
		clock:       clock,
		settings:    settings,
		mux:         http.NewServeMux(),
		createdAt:   clock.Now(),
		batch:       newBatch(settings.Capacity, settings.QueueLimit),
		cache:       newPrefixCache(settings.CacheBlocks),
		load:        loadHistory{lag: settings.LoadLag},
		incarnation: newIncarnation(),
		unpaused:    make(chan struct{}),
	}
	close(e.unpaused)
	e.stepTime.Store(int64(settings.StepTime))
	e.mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	e.mux.HandleFunc("GET /health", e.handleHealth)
	e.mux.HandleFunc("GET /load", e.handleLoad)
	return e
}

// ServeHTTP implements http.Handler. While the engine is down, it closes
// connections without a response.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.isUp() {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	limit := e.limit
	e.mu.Unlock()
	if limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	}
	e.mux.ServeHTTP(w, r)
}

// SetLimit makes responses name a limit, in requests a second; none if it is 0.
func (e *Engine) SetLimit(limit float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
}

// Counts returns the totals since the engine was created.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counts{
		Started:   e.started.Load(),
		Completed: e.completed.Load(),
		Cancelled: e.cancelled.Load(),
		Crashes:   e.crashes,
		Tokens:    e.generatedTokens.Load(),
	}
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int {
	running, _ := e.batch.counts()
	return running
}

// SetStepTime changes the duration of a step, for example to simulate a slow rank.
func (e *Engine) SetStepTime(d time.Duration) {
	e.stepTime.Store(int64(d))
}

// Crash closes the connections of all completions in progress, clears the prefix
// cache and takes the engine down for Settings.RestartAfter, or until Restart is
// called.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == nil {
		return
	}
	for _, cancel := range e.incarnation.cancels {
		cancel(errCrashed)
	}
	e.incarnation = nil
	e.crashes++
	e.downUntil = e.clock.Now().Add(e.settings.RestartAfter)
	e.cache.clear()
}

// Restart starts a crashed engine again. It does nothing if the engine is up.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restartLocked()
}

func (e *Engine) restartLocked() {
	if e.incarnation == nil {
		e.incarnation = newIncarnation()
	}
}

// Pause stops all steps until Resume is called. The engine still answers health
// and load requests.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.unpaused:
		e.unpaused = make(chan struct{})
	default:
	}
}

// Resume ends a pause.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.unpaused:
	default:
		close(e.unpaused)
	}
}

// isUp reports whether the engine is up. It first restarts a crashed engine whose
// Settings.RestartAfter has passed.
func (e *Engine) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == nil && e.settings.RestartAfter > 0 && !e.clock.Now().Before(e.downUntil) {
		e.restartLocked()
	}
	return e.incarnation != nil
}

// registerCancel registers a function that is called if the engine crashes. The
// returned function unregisters it. registerCancel returns false if the engine is
// down.
func (e *Engine) registerCancel(cancel context.CancelCauseFunc) (func(), bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.incarnation
	if current == nil {
		return nil, false
	}
	number := current.nextNumber
	current.nextNumber++
	current.cancels[number] = cancel
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(current.cancels, number)
	}, true
}

// unpausedChan returns a channel that is closed unless the engine is paused.
func (e *Engine) unpausedChan() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unpaused
}

func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.recordLoad()
	report := e.load.lagged(e.clock.Now())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// recordLoad adds a sample of the current load to the load history.
func (e *Engine) recordLoad() {
	now := e.clock.Now()
	if !e.load.sampleDue(now) {
		return
	}
	running, queued := e.batch.counts()
	e.load.add(now, track.Load{
		Running:        running,
		Queued:         queued,
		Capacity:       e.settings.Capacity,
		TokensInFlight: int(e.tokensInFlight.Load()),
		StepTime:       time.Duration(e.stepTime.Load()),
		CachedPrefixes: e.cache.mostRecent(maxReportedPrefixes),
	})
}
