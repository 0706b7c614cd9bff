package proxy_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"filberttrack.example/track/proxy"
)

// TestLogEntries compares the log entries of requests with a golden file, for each way in
// which a request ends. Operators and their tools rely on the field names.
func TestLogEntries(t *testing.T) {
	var out bytes.Buffer
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		MessageKey: "Message", LevelKey: "Level", EncodeLevel: zapcore.LowercaseLevelEncoder,
	})
	logger := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(&out), zapcore.DebugLevel))
	for _, c := range []struct {
		name   string
		path   string
		key    string
		script []behaviour
	}{
		{"a plain request", "/status/1", "key", nil},
		{"a retried request", "/status/1", "key", []behaviour{resetsBeforeHead}},
		{"a stream", "/notes/1", "key", nil},
		{"an interrupted stream", "/notes/1", "key", []behaviour{skipsEvent, resetsBeforeHead, resetsBeforeHead}},
		{"no route", "/other/1", "key", nil},
		{"an unknown API key", "/status/1", "stolen", nil},
		{"all replicas at capacity", "/book/1", "key", []behaviour{atCapacity, atCapacity}},
		{"an unknown outcome", "/book/1", "key", []behaviour{resetsBeforeHead}},
		{"no replica reachable", "/book/1", "key", []behaviour{unreachable, unreachable, unreachable}},
		{"a broken rank group", "/notes/1", "key", []behaviour{groupBroken}},
	} {
		h := newHarnessWithLogger(logger, c.script...)
		fmt.Fprintln(&out, "# "+c.name)
		_, _ = h.send(&proxy.Request{
			ID: "r-1", Host: host, Method: http.MethodPost, Target: c.path, Path: c.path, APIKey: c.key,
			TimeLeft: time.Second, PromptTokens: 700,
		})
	}
	assert.Assert(t, golden.String(out.String(), "lines.golden"))
}
