package edge

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/hosts"
	"filberttrack.example/track/latest"
	"filberttrack.example/track/talk"
)

// configLog is a log with one configuration record. It implements track.KeyedLog.
type configLog struct {
	track.KeyedLog
	reads int
}

func (l *configLog) Newest(context.Context, string, string) (track.KeyedPage, error) {
	l.reads++
	return track.KeyedPage{Records: []track.KeyedRecord{{Key: "other"}, {Key: "config", Value: []byte("7")}}}, nil
}

func engineConfig([]byte) (track.RouteConfig, error) {
	return track.RouteConfig{Version: 7, Services: []track.RouteService{
		{Name: "desk"}, {Name: "llm", Engine: &track.EngineSpec{Experts: track.ExpertSpec{Layers: 3, Experts: 96}}},
	}}, nil
}

func newEngineReader(service string, log track.KeyedLog, addresses ...string) (*engineReader, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return &engineReader{
		service: service, client: talk.NewClient(), addresses: func() []string { return addresses }, log: log,
		topics: Topics{Config: "op", ConfigKey: "config"}, decode: engineConfig, clock: clock, logger: zap.NewNop(),
	}, clock
}

func TestAgentReadsEnginesFromEntries(t *testing.T) {
	e := newEntry(clockwork.NewFakeClock())
	mux := http.NewServeMux()
	e.ServePeers(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	r, _ := newEngineReader("llm", nil, "127.0.0.1:1", address)
	_, err := r.ask(t.Context())
	assert.Assert(t, track.IsKind(err, track.Unavailable), "the entry has no configuration yet: %v", err)

	e.options.DecodeConfig = engineConfig
	e.configHolder = newHolder(engineConfig)
	e.configHolder.Update([]byte("7"))
	reply, err := r.ask(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, reply.Version, uint64(7))
	assert.Equal(t, reply.Experts.Experts, 96)
	plain, _ := newEngineReader("desk", nil, address)
	_, err = plain.ask(t.Context())
	assert.Assert(t, track.IsKind(err, track.Refused), "%v", err)
}

// An agent that reaches no entry reads the configuration from the log, but doesn't go on doing so.
func TestAgentWithoutEntriesReadsEnginesFromLog(t *testing.T) {
	log := &configLog{}
	r, clock := newEngineReader("llm", log)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	for range maxEngineFailures {
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		_, known := r.Experts()
		assert.Assert(t, !known)
		clock.Advance(engineRetryInterval)
	}
	assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	spec, known := r.Experts()
	assert.Assert(t, known)
	assert.Equal(t, spec.Layers, 3)
	for range 20 {
		clock.Advance(engineMaxReadInterval)
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	}
	assert.Equal(t, log.reads, 1)
	cancel()
	assert.Assert(t, errors.Is(<-done, context.Canceled))
}

func TestOlderEnginesAreIgnored(t *testing.T) {
	r, _ := newEngineReader("llm", nil)
	r.update(engineReply{Version: 7, Experts: track.ExpertSpec{Layers: 3}})
	r.update(engineReply{Version: 6, Experts: track.ExpertSpec{Layers: 2}})
	spec, _ := r.Experts()
	assert.Equal(t, spec.Layers, 3)
}

func newHolder(decode latest.DecodeFunc) *latest.ConfigHolder {
	return latest.New(decode, func(*hosts.Table) {}, zap.NewNop())
}
