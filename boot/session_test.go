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

// session is a deployment on the fake clock of a synctest bubble, whose
// requests, decisions and answers are written to a transcript.
type session struct {
	t          *testing.T
	clock      clockwork.Clock
	start      time.Time
	settings   conf.Settings
	transcript *transcript
	network    *local.Network
	transport  *local.Transport
	log        *memlog.Log
	list       *roster.Roster
	entries    []*boot.EntryCore
	engines    []*engine.Engine
	desks      []*desk.Desk
	requests   atomic.Int64
}

// newSession starts a deployment of two engines and one desk in one zone, and
// the given number of entries. The list lacks the entries, so that they learn of
// each other's work through the log and the agents only, in one order.
func newSession(ctx context.Context, t *testing.T, entries int) *session {
	s, err := conf.Parse("aserrin.toml", sample.Aserrin, conf.UseDev)
	assert.NilError(t, err)
	clock := clockwork.NewRealClock()
	x := &session{
		t: t, clock: clock, start: clock.Now(), settings: s,
		transcript: &transcript{},
		network:    local.NewNetwork(), transport: local.NewTransport(),
		log: memlog.New(clock, memlog.Settings{Retention: time.Hour}), list: roster.New(clock),
	}
	for i := range 2 {
		x.pass(stagger)
		e := engine.New(clock, engine.Settings{Model: "dispatch-llm", StepTime: 10 * time.Millisecond})
		x.engines = append(x.engines, e)
		x.addAgent(ctx, fmt.Sprintf("agent-%d", i+1), "dispatch-llm", e)
	}
	x.pass(stagger)
	d := desk.New(clock, desk.Settings{})
	x.desks = append(x.desks, d)
	x.addAgent(ctx, "agent-3", "pickup-desk", d)
	for i := range entries {
		x.pass(stagger)
		x.addEntry(ctx, fmt.Sprintf("entry-%d", i+1))
	}
	return x
}

func (x *session) addAgent(ctx context.Context, id, target string, handler http.Handler) *boot.AgentCore {
	x.transport.Serve(id, handler)
	s := x.settings
	s.Agent = conf.Agent{ID: track.InstanceID(id), Zone: "rivera", BackendURL: "http://" + id, Serves: target}
	core, err := boot.NewAgentCore(s, x.ports(id))
	assert.NilError(x.t, err)
	core.Start(ctx)
	x.network.Serve(id, core.Port())
	x.network.ServePeer(id, core.Members())
	x.list.Put(core.Instance())
	return core
}

func (x *session) addEntry(ctx context.Context, id string) {
	s := x.settings
	s.Entry.ID = track.InstanceID(id)
	s.Entry.Zone = "rivera"
	core := boot.NewEntryCore(s, x.ports(id))
	x.network.ServePeer(id, core.Members())
	x.list.Put(core.Status().Instance)
	core.Start(ctx)
	x.entries = append(x.entries, core)
}

func (x *session) ports(id string) boot.Ports {
	return boot.Ports{
		Platform: boot.Platform{Log: x.log, List: x.list},
		Dialer:   x.network.From(track.InstanceID(id)),
		Peers:    x.network.PeersFrom(track.InstanceID(id)),
		Address:  id,
		Client:   x.transport.Client(),
		Metrics:  metrics.NewSet(),
		Clock:    x.clock,
		Guard:    guardOperators,
		Logger:   zap.New(x.transcript.core(x.start)).Named(id),
		NewID: func() track.RequestID {
			return track.RequestID(fmt.Sprintf("request-%d", x.requests.Add(1)))
		},
	}
}

// send has the caller send a request to an entry and waits for the answer.
func (x *session) send(entry int, method, path, body string, header ...string) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	x.note("> entry-%d %s %s %s %s", entry+1, method, path, strings.Join(header, "="), body)
	recorder := httptest.NewRecorder()
	x.entries[entry].Callers().ServeHTTP(recorder, request)
	answer := recorder.Result()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(x.t, err)
	outcome := answer.Header.Get("Filberttrack-Outcome") + answer.Trailer.Get("Filberttrack-Outcome")
	x.note("< %d %s %s", answer.StatusCode, outcome, answer.Header.Get("Retry-After"))
	for line := range strings.Lines(string(text)) {
		if strings.TrimSpace(line) != "" {
			x.note("< %s", strings.TrimSpace(line))
		}
	}
}

// stagger is the time between the starts of processes, so that what they do at
// regular intervals has one order.
const stagger = 3 * time.Millisecond

// settling is the time after the start until the first request. It is no
// multiple of the duties' intervals, so that requests don't coincide with them.
const settling = 107 * time.Millisecond

// pass lets time pass, until all that is due has happened.
func (x *session) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (x *session) note(format string, args ...any) {
	x.transcript.add(x.clock.Since(x.start), "", fmt.Sprintf(format, args...))
}

// transcript collects what happened, in order.
type transcript struct {
	mu    sync.Mutex
	lines []transcriptLine
}

// transcriptLine is one line. The source is empty for requests and answers.
type transcriptLine struct {
	at     time.Duration
	source string
	text   string
}

// seedID matches the ID of the first change, a hash of the example settings.
var seedID = regexp.MustCompile(`seed-[0-9a-f]{32}`)

func (r *transcript) add(at time.Duration, source, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text = seedID.ReplaceAllString(strings.TrimSpace(text), "seed")
	r.lines = append(r.lines, transcriptLine{at, source, text})
}

// Reset forgets what happened so far.
func (r *transcript) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = nil
}

// String returns the transcript. What several instances log at the same time,
// between the same requests and answers, has no order and is sorted by instance.
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

// core returns a logging core that adds decisions to the transcript.
func (r *transcript) core(start time.Time) zapcore.Core {
	return &transcriptCore{transcript: r, start: start}
}

type transcriptCore struct {
	transcript *transcript
	start      time.Time
}

func (c *transcriptCore) Enabled(level zapcore.Level) bool  { return level >= zapcore.InfoLevel }
func (c *transcriptCore) With([]zapcore.Field) zapcore.Core { return c }
func (c *transcriptCore) Sync() error                       { return nil }
func (c *transcriptCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) && !spreadMessages[e.Message] {
		return ce.AddCore(e, c)
	}
	return ce
}

func (c *transcriptCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if spreads(e) {
		return nil
	}
	encoder := zapcore.NewMapObjectEncoder()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	// The ID of the first change is a hash of the example settings.
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

// spreads reports whether a line tells how a change reached an entry that did
// not publish it. Whether log or peer comes first is a matter of jitter; what the
// entry then answers is in the transcript.
func spreads(e zapcore.Entry) bool {
	change := e.Message == "change accepted" || e.Message == "change refused"
	return e.Message == "configuration taken over" || (change && e.LoggerName != "entry-1")
}

// spreadMessages tell when an instance learned a change. Whom it asks for news,
// and so when it learns, depends on the order in which instances act that act at
// the same instant.
var spreadMessages = map[string]bool{
	"change accepted": true, "change refused": true, "change appended again": true, "configuration taken over": true,
}

// play runs a session and compares its transcript with the golden file.
func play(t *testing.T, name string, entries int, script func(ctx context.Context, x *session)) {
	var text string
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		x := newSession(ctx, t, entries)
		x.pass(settling - x.clock.Since(x.start))
		// At the start, log and peers compete to be first with the same news.
		x.transcript.Reset()
		script(ctx, x)
		text = x.transcript.String()
		cancel()
	})
	golden.Assert(t, text, name+".golden")
}

const generation = `{"model":"dispatch-llm","messages":[{"role":"user","content":"Why was mill nine missed?"}]}`

func TestSessionGeneration(t *testing.T) {
	play(t, "session-generation", 1, func(_ context.Context, x *session) {
		x.send(0, "POST", "/v1/chat/completions", generation)
		x.send(0, "POST", "/v1/chat/completions", strings.Replace(generation, "{", `{"stream":true,`, 1))
		x.send(0, "GET", "/v1/models", "")
		x.send(0, "POST", "/v1/chat/completions", `{"model":`)
	})
}

func TestSessionDeadReplica(t *testing.T) {
	play(t, "session-dead-replica", 1, func(_ context.Context, x *session) {
		x.transport.Serve("agent-1", nil)
		x.send(0, "POST", "/v1/chat/completions", generation)
		x.network.Kill("agent-2")
		x.send(0, "POST", "/v1/chat/completions", generation)
		x.pass(time.Second)
		x.send(0, "POST", "/v1/chat/completions", generation)
	})
}

func TestSessionBooking(t *testing.T) {
	play(t, "session-booking", 2, func(_ context.Context, x *session) {
		x.send(0, "POST", "/services/pickup-desk/bookings", `{"Mill":"nine"}`, "Idempotency-Key", "friday")
		x.send(0, "GET", "/services/pickup-desk/bookings", "")
		x.send(0, "POST", "/services/pickup-desk/bookings", `{"Mill":"nine"}`)
	})
}

func TestSessionDeadline(t *testing.T) {
	play(t, "session-deadline", 1, func(_ context.Context, x *session) {
		x.send(0, "POST", "/v1/chat/completions", generation, "Filberttrack-Timeout", "25ms")
		x.send(0, "POST", "/v1/chat/completions", strings.Replace(generation, "{", `{"stream":true,`, 1), "Filberttrack-Timeout", "25ms")
	})
}
