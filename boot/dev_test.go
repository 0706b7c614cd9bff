package boot_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"filberttrack.example/track/boot"
	"filberttrack.example/track/conf"
	sample "filberttrack.example/track/examples"
	"filberttrack.example/track/stand/engine"
)

const token = "rivera-drivers-token"

// startDev starts Aserrín's deployment on free ports.
func startDev(t *testing.T) *boot.Dev {
	t.Helper()
	s, err := conf.Parse("aserrin.toml", sample.Aserrin, conf.UseDev)
	assert.NilError(t, err)
	s.Entry.Listen = "127.0.0.1:0"
	s.Entry.Admin = "127.0.0.1:0"
	s.Entry.BalancerDelay = 0
	for i := range s.Zone {
		for j := range s.Zone[i].Replicas {
			s.Zone[i].Replicas[j].StepTime = 0
		}
	}
	d, err := boot.StartDev(context.Background(), s, zap.NewNop())
	assert.NilError(t, err)
	return d
}

func client(t *testing.T, d *boot.Dev) openai.Client {
	t.Helper()
	// Connections that were opened but never used hold up a graceful stop.
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return openai.NewClient(
		option.WithHTTPClient(&http.Client{Transport: transport}),
		option.WithBaseURL("http://"+d.Entry.Addr()+"/v1"),
		option.WithAPIKey(token),
		option.WithMaxRetries(0),
	)
}

// stopLast stops the deployment after the cleanups registered later.
func stopLast(t *testing.T, d *boot.Dev) {
	t.Helper()
	t.Cleanup(func() { assert.NilError(t, d.Stop(context.Background())) })
}

func params(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:         "dispatch-llm",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	const callers = 200
	d := startDev(t)
	stopLast(t, d)
	c := client(t, d)
	var group errgroup.Group
	for i := range callers {
		text := fmt.Sprintf("bales %d of mill %d", i, i*7)
		if i%2 == 0 {
			group.Go(func() error { return checkWhole(c, text) })
		} else {
			group.Go(func() error { return checkStream(c, text) })
		}
	}
	assert.NilError(t, group.Wait())
}

func checkWhole(c openai.Client, text string) error {
	p := params(text)
	p.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	answer, err := c.Chat.Completions.New(context.Background(), p)
	if err != nil {
		return err
	}
	if len(answer.Choices) != 1 || !strings.Contains(answer.Choices[0].Message.Content, text) {
		return fmt.Errorf("answer to %q is %+v", text, answer.Choices)
	}
	if answer.Usage.CompletionTokens == 0 || answer.Choices[0].FinishReason != "stop" {
		return fmt.Errorf("usage %+v, finish %q", answer.Usage, answer.Choices[0].FinishReason)
	}
	return nil
}

func checkStream(c openai.Client, text string) error {
	stream := c.Chat.Completions.NewStreaming(context.Background(), params(text))
	defer stream.Close()
	var all openai.ChatCompletionAccumulator
	for stream.Next() {
		if !all.AddChunk(stream.Current()) {
			return fmt.Errorf("chunk of another answer: %+v", stream.Current())
		}
	}
	if stream.Err() != nil {
		return stream.Err()
	}
	if len(all.Choices) != 1 || !strings.Contains(all.Choices[0].Message.Content, text) {
		return fmt.Errorf("answer to %q is %+v", text, all.Choices)
	}
	if all.Usage.CompletionTokens == 0 {
		return fmt.Errorf("no token counts")
	}
	return nil
}

func TestModelsAreListed(t *testing.T) {
	d := startDev(t)
	stopLast(t, d)
	c := client(t, d)
	page, err := c.Models.List(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, cmp.Len(page.Data, 1))
	assert.Equal(t, page.Data[0].ID, "dispatch-llm")
}

func TestStopCutsNoOpenStream(t *testing.T) {
	const streams = 50
	d := startDev(t)
	// Paused engines hold the streams open until the stop has begun.
	for _, h := range d.Handlers {
		if e, ok := h.(*engine.Engine); ok {
			e.Pause()
		}
	}
	c := client(t, d)
	var group errgroup.Group
	for i := range streams {
		group.Go(func() error { return checkStream(c, fmt.Sprintf("open stream %d", i)) })
	}
	for attemptsInProgress(d) < streams {
		runtime.Gosched()
	}
	stopped := make(chan error, 1)
	go func() { stopped <- d.Entry.Stop(context.Background()) }()
	for !d.Entry.Status().Stopping {
		runtime.Gosched()
	}
	response, err := http.Get("http://" + d.Entry.Addr() + "/v1/models")
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Filberttrack-Outcome"), "NotRun")
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	for _, h := range d.Handlers {
		if e, ok := h.(*engine.Engine); ok {
			e.Resume()
		}
	}
	assert.NilError(t, group.Wait())
	assert.NilError(t, <-stopped)
}

func attemptsInProgress(d *boot.Dev) int {
	n := 0
	for _, a := range d.Agents {
		n += a.Status().OpenRequests
	}
	return n
}

func TestBadInputIsNamed(t *testing.T) {
	d := startDev(t)
	stopLast(t, d)
	good := `{"model":"dispatch-llm","messages":[{"role":"user","content":"x"}]}`
	for _, tc := range []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		code                     string
	}{
		{"broken JSON", "POST", "/v1/chat/completions", `{"model":`, nil, 400, "invalid_json"},
		{"unknown model", "POST", "/v1/chat/completions", strings.ReplaceAll(good, "dispatch-llm", "x"), nil, 404, "model_not_found"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"dispatch-llm"}`, nil, 400, "missing_field"},
		{"wrong type", "POST", "/v1/chat/completions", `{"model":7}`, nil, 400, "invalid_request"},
		{"negative bound", "POST", "/v1/chat/completions", strings.Replace(good, "{", `{"max_tokens":-1,`, 1), nil, 400, "invalid_value"},
		{"wrong method", "GET", "/v1/chat/completions", "", nil, 405, "method_not_allowed"},
		{"unknown path", "GET", "/v2", "", nil, 404, "unknown_path"},
		{"unknown service", "GET", "/services/x/bookings", "", nil, 404, "unknown_service"},
		{"absurd timeout", "POST", "/v1/chat/completions", good, map[string]string{"Filberttrack-Timeout": "9000h"}, 400, "invalid_timeout"},
		{"negative timeout", "POST", "/v1/chat/completions", good, map[string]string{"Filberttrack-Timeout": "-1s"}, 400, "invalid_timeout"},
		{"timeout without unit", "POST", "/v1/chat/completions", good, map[string]string{"Filberttrack-Timeout": "soon"}, 400, "invalid_timeout"},
		{"unknown profile", "POST", "/v1/chat/completions", good, map[string]string{"Filberttrack-Profile": "x"}, 400, "unknown_profile"},
		{"unknown token", "POST", "/v1/chat/completions", good, map[string]string{"Authorization": "Bearer x"}, 401, "invalid_token"},
		{"wrong scheme", "POST", "/v1/chat/completions", good, map[string]string{"Authorization": "Basic x"}, 401, "invalid_token"},
		{"oversized body", "POST", "/v1/chat/completions", good + strings.Repeat(" ", 5<<20), nil, 413, "body_too_large"},
		{"no idempotency key", "POST", "/services/pickup-desk/bookings", "{}", nil, 400, "missing_idempotency_key"},
		{"long idempotency key", "POST", "/services/pickup-desk/bookings", "{}", map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "invalid_idempotency_key"},
		{"odd method", "BREW", "/services/pickup-desk/bookings", "", nil, 405, "method_not_allowed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			request, err := http.NewRequest(tc.method, "http://"+d.Entry.Addr()+tc.path, strings.NewReader(tc.body))
			assert.NilError(t, err)
			request.Header.Set("Authorization", "Bearer "+token)
			for name, value := range tc.header {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tc.status, string(body))
			assert.Assert(t, cmp.Contains(string(body), `"`+tc.code+`"`))
			assert.Equal(t, response.Header.Get("Filberttrack-Outcome"), "NotRun")
			assert.Assert(t, response.Header.Get("Filberttrack-Request-Id") != "")
		})
	}
}
