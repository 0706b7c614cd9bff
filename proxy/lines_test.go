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

// TestLines keeps the line of a request as it is, field by field, for each way in which
// one ends. Whoever reads logs relies on the names.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "Message", LevelKey: "Level", EncodeLevel: zapcore.LowercaseLevelEncoder})
	logger := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(&out), zapcore.DebugLevel))
	for _, c := range []struct {
		name   string
		path   string
		key    string
		script []behaviour
	}{
		{"a call", "/status/1", "key", nil},
		{"a call that was repeated", "/status/1", "key", []behaviour{resetsBeforeHead}},
		{"a stream", "/notes/1", "key", nil},
		{"a stream that was cut off", "/notes/1", "key", []behaviour{skipsEvent, resetsBeforeHead, resetsBeforeHead}},
		{"no route", "/other/1", "key", nil},
		{"an unknown key", "/status/1", "stolen", nil},
		{"full everywhere", "/book/1", "key", []behaviour{full, full}},
		{"an unknown outcome", "/book/1", "key", []behaviour{resetsBeforeHead}},
		{"no replica reached", "/book/1", "key", []behaviour{unreachable, unreachable, unreachable}},
		{"a broken group", "/notes/1", "key", []behaviour{groupBroken}},
	} {
		w := newWorldLogging(logger, c.script...)
		fmt.Fprintln(&out, "# "+c.name)
		_, _ = w.send(&proxy.Request{
			ID: "r-1", Host: host, Method: http.MethodPost, Target: c.path, Path: c.path, Key: c.key,
			TimeLeft: time.Second, PromptTokens: 700,
		})
	}
	assert.Assert(t, golden.String(out.String(), "lines.golden"))
}
