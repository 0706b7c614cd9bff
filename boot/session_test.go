package boot_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"filberttrack.example/track"
	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
	sample "filberttrack.example/track/examples"
	"filberttrack.example/track/stand/desk"
	"filberttrack.example/track/stand/engine"
	"filberttrack.example/track/stand/local"
	"filberttrack.example/track/stand/memlog"
	"filberttrack.example/track/stand/roster"
)

// simulation is a deployment on the fake clock of a synctest bubble. Its requests, log
// lines and responses are recorded in a transcript.
type simulation struct {
	t          *testing.T
	clock      clockwork.Clock
	start      time.Time
	settings   conf.Settings
	transcript *transcript
	network    *local.Network
	transport  *local.Transport
	log        *memlog.Log
	list       *roster.InstanceList
	entries    []*boot.EntryCore
	engines    []*engine.Engine
	desks      []*desk.BookingService
	requests   atomic.Int64
}

// newSimulation starts a deployment of two engines, one booking desk and the given
// number of entries, all in one zone.
func newSimulation(ctx context.Context, t *testing.T, entries int) *simulation {
	s, err := conf.Parse("aserrin.toml", sample.Aserrin, conf.UseDev)
	assert.NilError(t, err)
	clock := clockwork.NewRealClock()
	sim := &simulation{
		t: t, clock: clock, start: clock.Now(), settings: s,
		transcript: &transcript{},
		network:    local.NewNetwork(), transport: local.NewTransport(),
		log: memlog.New(clock, memlog.Settings{Retention: time.Hour}), list: roster.New(clock),
	}
	for i := range 2 {
		sim.advance(stagger)
		e := engine.New(clock, engine.Settings{Model: "dispatch-llm", StepTime: 10 * time.Millisecond})
		sim.engines = append(sim.engines, e)
		sim.addAgent(ctx, fmt.Sprintf("agent-%d", i+1), "dispatch-llm", e)
	}
	sim.advance(stagger)
	d := desk.New(clock, desk.Settings{})
	sim.desks = append(sim.desks, d)
	sim.addAgent(ctx, "agent-3", "pickup-desk", d)
	for i := range entries {
		sim.advance(stagger)
		sim.addEntry(ctx, fmt.Sprintf("entry-%d", i+1))
	}
	return sim
}

// addAgent starts an agent whose backend server is the handler.
func (sim *simulation) addAgent(ctx context.Context, id, target string, handler http.Handler) *boot.AgentCore {
	sim.transport.Serve(id, handler)
	s := sim.settings
	s.Agent = conf.Agent{ID: track.InstanceID(id), Zone: "rivera", BackendURL: "http://" + id, Serves: target}
	core, err := boot.NewAgentCore(s, sim.dependencies(id))
	assert.NilError(sim.t, err)
	core.Start(ctx)
	sim.network.ServeAgent(id, core.Agent())
	sim.network.ServePeer(id, core.Peer())
	sim.list.Put(core.Instance())
	return core
}

// addEntry starts an entry and returns when it can route requests.
func (sim *simulation) addEntry(ctx context.Context, id string) {
	s := sim.settings
	s.Entry.ID = track.InstanceID(id)
	s.Entry.Zone = "rivera"
	core := boot.NewEntryCore(s, sim.dependencies(id))
	sim.network.ServePeer(id, core.Peer())
	sim.list.Put(core.Status().Instance)
	core.Start(ctx)
	sim.entries = append(sim.entries, core)
}

// dependencies returns the dependencies of an instance, all of them simulated.
func (sim *simulation) dependencies(id string) boot.Dependencies {
	return boot.Dependencies{
		Platform:      boot.Platform{Log: sim.log, List: sim.list},
		AgentDialer:   sim.network.AgentDialer(track.InstanceID(id)),
		PeerDialer:    sim.network.PeerDialer(track.InstanceID(id)),
		Address:       id,
		BackendClient: sim.transport.Client(),
		Metrics:       metrics.NewSet(),
		Clock:         sim.clock,
		OperatorAuth:  authorizeOperators,
		Logger:        zap.New(sim.transcript.core(sim.start)).Named(id),
		NewID: func() track.RequestID {
			return track.RequestID(fmt.Sprintf("request-%d", sim.requests.Add(1)))
		},
	}
}

// send sends a request of a client to an entry, waits for the response and records
// both.
func (sim *simulation) send(entry int, method, path, body string, header ...string) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	sim.record("> entry-%d %s %s %s %s", entry+1, method, path, strings.Join(header, "="), body)
	recorder := httptest.NewRecorder()
	sim.entries[entry].ClientHandler().ServeHTTP(recorder, request)
	answer := recorder.Result()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(sim.t, err)
	outcome := answer.Header.Get("Filberttrack-Outcome") + answer.Trailer.Get("Filberttrack-Outcome")
	sim.record("< %d %s %s", answer.StatusCode, outcome, answer.Header.Get("Retry-After"))
	for line := range strings.Lines(string(text)) {
		if strings.TrimSpace(line) != "" {
			sim.record("< %s", strings.TrimSpace(line))
		}
	}
}

// stagger is the time between the starts of processes. It gives their periodic tasks
// a fixed order.
const stagger = 3 * time.Millisecond

// startupTime is the time from the start to the first request. It is no multiple of the
// intervals of periodic tasks, so that requests don't coincide with them.
const startupTime = 107 * time.Millisecond

// advance moves the clock on and waits until everything that is due has happened.
func (sim *simulation) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// record adds a request or response to the transcript.
func (sim *simulation) record(format string, args ...any) {
	sim.transcript.add(sim.clock.Since(sim.start), "", fmt.Sprintf(format, args...))
}

// transcript records requests, responses and log lines in order.
type transcript struct {
	mu    sync.Mutex
	lines []transcriptLine
}

// transcriptLine is a line of a transcript. The source is the instance that logged it,
// or empty for a request or response.
type transcriptLine struct {
	at     time.Duration
	source string
	text   string
}

// seedID matches the ID of the first configuration change, which contains a hash of the
// example settings.
var seedID = regexp.MustCompile(`seed-[0-9a-f]{32}`)

func (r *transcript) add(at time.Duration, source, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text = seedID.ReplaceAllString(strings.TrimSpace(text), "seed")
	r.lines = append(r.lines, transcriptLine{at, source, text})
}

// Reset deletes all lines.
func (r *transcript) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = nil
}

// String returns the transcript as text. Lines that several instances log at the same
// time, between the same requests and responses, have no fixed order and are sorted by
// instance.
func (r *transcript) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := slices.Clone(r.lines)
	for start := 0; start < len(lines); {
		end := start + 1
		for end < len(lines) && lines[start].source != "" && lines[end].source != "" && lines[end].at == lines[start].at {
			end++
		}
		slices.SortStableFunc(lines[start:end], func(a, b transcriptLine) int { return strings.Compare(a.source, b.source) })
		start = end
	}
	var text strings.Builder
	for _, line := range lines {
		fmt.Fprintf(&text, "%8s %s\n", line.at, line.text)
	}
	return text.String()
}

// core returns a zap core that adds log lines to the transcript.
func (r *transcript) core(start time.Time) zapcore.Core {
	return &transcriptCore{transcript: r, start: start}
}

// transcriptCore implements zapcore.Core.
type transcriptCore struct {
	transcript *transcript
	start      time.Time
}

func (c *transcriptCore) Enabled(level zapcore.Level) bool  { return level >= zapcore.InfoLevel }
func (c *transcriptCore) With([]zapcore.Field) zapcore.Core { return c }
func (c *transcriptCore) Sync() error                       { return nil }
func (c *transcriptCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) && !propagationMessages[e.Message] {
		return ce.AddCore(e, c)
	}
	return ce
}

func (c *transcriptCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if isPropagation(e) {
		return nil
	}
	encoder := zapcore.NewMapObjectEncoder()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	// The ID of the first change contains a hash of the example settings.
	if id, ok := encoder.Fields["Change"].(string); ok && strings.HasPrefix(id, "seed-") {
		encoder.Fields["Change"] = "seed"
	}
	text, err := json.Marshal(encoder.Fields)
	if err != nil {
		return err
	}
	c.transcript.add(e.Time.Sub(c.start), e.LoggerName, fmt.Sprintf("%s: %s %s", e.LoggerName, e.Message, text))
	return nil
}

// isPropagation reports whether a log line says that a configuration change reached an
// entry that did not publish it. Whether the change comes from the log or from a peer
// first depends on jitter, so the transcript leaves such lines out. It still shows the
// responses of that entry after the change.
func isPropagation(e zapcore.Entry) bool {
	change := e.Message == "change accepted" || e.Message == "change refused"
	return e.Message == "configuration taken over" || (change && e.LoggerName != "entry-1")
}

// propagationMessages are logged when an instance learns of a configuration change, and
// are left out of the transcript. Which peer the instance asks, and so when it learns
// of the change, depends on the order of instances that act at the same time.
var propagationMessages = map[string]bool{
	"change accepted": true, "change refused": true, "change appended again": true, "configuration taken over": true,
}

// checkTranscript runs a simulation and compares its transcript with the golden file of
// that name.
func checkTranscript(t *testing.T, name string, entries int, run func(ctx context.Context, sim *simulation)) {
	var text string
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(ctx, t, entries)
		sim.advance(startupTime - sim.clock.Since(sim.start))
		// Whether an instance first learns the configuration from the log or from a peer
		// is not fixed at the start, so the transcript begins after it.
		sim.transcript.Reset()
		run(ctx, sim)
		text = sim.transcript.String()
		cancel()
	})
	golden.Assert(t, text, name+".golden")
}

const generation = `{"model":"dispatch-llm","messages":[{"role":"user","content":"Why was mill nine missed?"}]}`

func TestGeneration(t *testing.T) {
	checkTranscript(t, "session-generation", 1, func(_ context.Context, sim *simulation) {
		sim.send(0, "POST", "/v1/chat/completions", generation)
		sim.send(0, "POST", "/v1/chat/completions", strings.Replace(generation, "{", `{"stream":true,`, 1))
		sim.send(0, "GET", "/v1/models", "")
		sim.send(0, "POST", "/v1/chat/completions", `{"model":`)
	})
}

func TestGenerationWithDeadReplicas(t *testing.T) {
	checkTranscript(t, "session-dead-replica", 1, func(_ context.Context, sim *simulation) {
		sim.transport.Serve("agent-1", nil)
		sim.send(0, "POST", "/v1/chat/completions", generation)
		sim.network.Kill("agent-2")
		sim.send(0, "POST", "/v1/chat/completions", generation)
		sim.advance(time.Second)
		sim.send(0, "POST", "/v1/chat/completions", generation)
	})
}

func TestBooking(t *testing.T) {
	checkTranscript(t, "session-booking", 2, func(_ context.Context, sim *simulation) {
		sim.send(0, "POST", "/services/pickup-desk/bookings", `{"Mill":"nine"}`, "Idempotency-Key", "friday")
		sim.send(0, "GET", "/services/pickup-desk/bookings", "")
		sim.send(0, "POST", "/services/pickup-desk/bookings", `{"Mill":"nine"}`)
	})
}

func TestGenerationPastDeadline(t *testing.T) {
	checkTranscript(t, "session-deadline", 1, func(_ context.Context, sim *simulation) {
		sim.send(0, "POST", "/v1/chat/completions", generation, "Filberttrack-Timeout", "25ms")
		sim.send(0, "POST", "/v1/chat/completions", strings.Replace(generation, "{", `{"stream":true,`, 1), "Filberttrack-Timeout", "25ms")
	})
}
