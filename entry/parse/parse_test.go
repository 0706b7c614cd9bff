package parse_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/config"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/entry/ident"
	"filberttrack.example/track/entry/parse"
)

var limits = parse.Limits{MaxBodyBytes: 1 << 16, MaxTimeout: time.Minute}

func newDirectory() track.Directory {
	return config.NewIndex(&track.Config{
		Profiles: []track.Profile{{
			Name: "pickups", Timeout: time.Second,
			NonIdempotent: []track.CallPattern{{Method: "POST", Path: "/bookings"}, {Method: "PUT", Path: "/bookings/*"}},
		}},
		Models:   []track.Model{{Name: "dispatch-llm", Profile: "pickups"}},
		Services: []track.Service{{Name: "pickup-desk", Profile: "pickups"}},
	}, nil)
}

// newExchange returns a request to the service pickup-desk. The header is given
// as alternating names and values.
func newExchange(method, path, body string, header ...string) *flow.Exchange {
	request := httptest.NewRequest(method, "/services/pickup-desk", strings.NewReader(body))
	request.SetPathValue("service", "pickup-desk")
	request.SetPathValue("path", path)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return &flow.Exchange{Writer: httptest.NewRecorder(), Request: request}
}

func TestNonIdempotentCallsMatchMethodAndCleanedPath(t *testing.T) {
	step := parse.NewPlain(newDirectory(), limits)
	for _, tc := range []struct {
		method, path string
		want         bool
	}{
		{"POST", "bookings", true},
		{"POST", "bookings/", true},
		{"POST", "./x/../bookings", true},
		{"POST", "//bookings", true},
		{"PUT", "bookings/7", true},
		{"PUT", "bookings", false},
		{"GET", "bookings", false},
		{"POST", "status", false},
	} {
		x := newExchange(tc.method, tc.path, "{}", flow.HeaderIdempotencyKey, "key")
		assert.NilError(t, step.Run(context.Background(), x))
		assert.Equal(t, x.Call.NonIdempotent, tc.want, "%s %s", tc.method, tc.path)
	}
}

func TestBearerTokenIsNotForwarded(t *testing.T) {
	x := newExchange("GET", "bookings", "", "Authorization", "Bearer secret", "Accept", "text/plain")
	assert.NilError(t, parse.NewPlain(newDirectory(), limits).Run(context.Background(), x))
	assert.DeepEqual(t, x.Call.Header, http.Header{"Accept": {"text/plain"}})
}

func TestEngineBodyEnablesStreamingAndSetsPriority(t *testing.T) {
	x := newExchange("POST", "", `{"model":"dispatch-llm","seed":7,"messages":[{"role":"user","content":"x"}]}`)
	assert.NilError(t, parse.NewChat(newDirectory(), limits).Run(context.Background(), x))
	assert.Equal(t, string(x.Call.Body), `{"messages":[{"role":"user","content":"x"}],"model":"dispatch-llm",`+
		`"priority":0,"seed":7,"stream":true,"stream_options":{"include_usage":true}}`)
}

// FuzzChat checks that any body and timeout is either accepted or refused with
// a 4xx status and the outcome NotRun.
func FuzzChat(f *testing.F) {
	f.Add(`{"model":"dispatch-llm","messages":[{"role":"user","content":"x"}]}`, "1s")
	f.Add(`{"model":"dispatch-llm","messages":[{"role":"user","content":[{"type":"text"}]}],"max_tokens":1e9}`, "")
	f.Add(`[]`, "-1h")
	f.Fuzz(func(t *testing.T, body, timeout string) {
		x := newExchange("POST", "", body)
		x.Request.Header[flow.HeaderTimeout] = []string{timeout}
		err := parse.NewChat(newDirectory(), limits).Run(context.Background(), x)
		if err == nil {
			return
		}
		var refusal *flow.RefusalError
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Assert(t, refusal.Status >= 400 && refusal.Status < 500 && refusal.Outcome == track.NotRun)
	})
}

// oldDirectory is a directory that may lack a newer configuration.
type oldDirectory struct{ track.Directory }

func (oldDirectory) Confirmed() bool { return false }

// Guards against callers that are told that a model, service, profile or token doesn't exist by an entry that can't
// read the configuration that has it.
func TestUnknownNamesWhileTheConfigurationIsNotConfirmed(t *testing.T) {
	service := newExchange("GET", "status", "")
	service.Request.SetPathValue("service", "new-desk")
	for _, c := range []struct {
		exchange *flow.Exchange
		step     func(track.Directory) flow.Step
		code     string
	}{
		{service, func(d track.Directory) flow.Step { return parse.NewPlain(d, limits) }, "unknown_service"},
		{
			newExchange("GET", "status", "", flow.HeaderProfile, "new"),
			func(d track.Directory) flow.Step { return parse.NewPlain(d, limits) }, "unknown_profile",
		},
		{
			newExchange("POST", "", `{"model":"new-llm","messages":[{"role":"user","content":"x"}]}`),
			func(d track.Directory) flow.Step { return parse.NewChat(d, limits) }, "model_not_found",
		},
		{
			newExchange("GET", "status", "", "Authorization", "Bearer new"),
			func(d track.Directory) flow.Step { return ident.New(d) }, "invalid_token",
		},
	} {
		var refusal *flow.RefusalError
		body, err := io.ReadAll(c.exchange.Request.Body)
		assert.NilError(t, err)
		run := func(d track.Directory) {
			c.exchange.Request.Body = io.NopCloser(strings.NewReader(string(body)))
			assert.Assert(t, errors.As(c.step(d).Run(t.Context(), c.exchange), &refusal))
		}
		run(newDirectory())
		assert.Equal(t, refusal.Code, c.code)
		run(oldDirectory{newDirectory()})
		assert.Equal(t, refusal.Code, "configuration_not_confirmed", c.code)
		assert.Equal(t, refusal.Status, http.StatusServiceUnavailable)
		assert.Equal(t, refusal.Outcome, track.NotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
	}
}
