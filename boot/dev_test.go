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

// startDev starts the example deployment of Aserrín on free ports.
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

// newClient returns a client that sends requests to the entry and never retries.
func newClient(t *testing.T, d *boot.Dev) openai.Client {
	t.Helper()
	// A graceful stop waits for connections that were opened but never used, so the
	// test closes them.
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return openai.NewClient(
		option.WithHTTPClient(&http.Client{Transport: transport}),
		option.WithBaseURL("http://"+d.Entry.Addr()+"/v1"),
		option.WithAPIKey(token),
		option.WithMaxRetries(0),
	)
}

// stopAtCleanup stops the deployment at the end of the test, after the cleanups that
// are registered later.
func stopAtCleanup(t *testing.T, d *boot.Dev) {
	t.Helper()
	t.Cleanup(func() { assert.NilError(t, d.Stop(context.Background())) })
}

// chatParams returns a request for a streamed answer to the text.
func chatParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:         "dispatch-llm",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

func TestConcurrentClientsGetTheirOwnAnswers(t *testing.T) {
	const clients = 200
	d := startDev(t)
	stopAtCleanup(t, d)
	client := newClient(t, d)
	var group errgroup.Group
	for i := range clients {
		text := fmt.Sprintf("bales %d of mill %d", i, i*7)
		if i%2 == 0 {
			group.Go(func() error { return checkCompletion(client, text) })
		} else {
			group.Go(func() error { return checkStream(client, text) })
		}
	}
	assert.NilError(t, group.Wait())
}

// checkCompletion requests an answer that is not streamed and checks that it is
// complete and belongs to the text.
func checkCompletion(client openai.Client, text string) error {
	p := chatParams(text)
	p.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	answer, err := client.Chat.Completions.New(context.Background(), p)
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

// checkStream requests a streamed answer and checks that it is complete and belongs to
// the text.
func checkStream(client openai.Client, text string) error {
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams(text))
	defer stream.Close()
	var answer openai.ChatCompletionAccumulator
	for stream.Next() {
		if !answer.AddChunk(stream.Current()) {
			return fmt.Errorf("chunk of another answer: %+v", stream.Current())
		}
	}
	if stream.Err() != nil {
		return stream.Err()
	}
	if len(answer.Choices) != 1 || !strings.Contains(answer.Choices[0].Message.Content, text) {
		return fmt.Errorf("answer to %q is %+v", text, answer.Choices)
	}
	if answer.Usage.CompletionTokens == 0 {
		return fmt.Errorf("the answer has no token counts")
	}
	return nil
}

func TestModelsAreListed(t *testing.T) {
	d := startDev(t)
	stopAtCleanup(t, d)
	client := newClient(t, d)
	page, err := client.Models.List(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, cmp.Len(page.Data, 1))
	assert.Equal(t, page.Data[0].ID, "dispatch-llm")
}

func TestStopWaitsForOpenStreams(t *testing.T) {
	const streams = 50
	d := startDev(t)
	// Paused engines keep the streams open until the stop has begun.
	for _, h := range d.Backends {
		if e, ok := h.(*engine.Engine); ok {
			e.Pause()
		}
	}
	client := newClient(t, d)
	var group errgroup.Group
	for i := range streams {
		group.Go(func() error { return checkStream(client, fmt.Sprintf("open stream %d", i)) })
	}
	for openAttempts(d) < streams {
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
	for _, h := range d.Backends {
		if e, ok := h.(*engine.Engine); ok {
			e.Resume()
		}
	}
	assert.NilError(t, group.Wait())
	assert.NilError(t, <-stopped)
}

// openAttempts returns the number of requests that are open at all agents.
func openAttempts(d *boot.Dev) int {
	n := 0
	for _, a := range d.Agents {
		n += a.Status().OpenRequests
	}
	return n
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	d := startDev(t)
	stopAtCleanup(t, d)
	valid := `{"model":"dispatch-llm","messages":[{"role":"user","content":"x"}]}`
	for _, tc := range []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		code                     string
	}{
		{"broken JSON", "POST", "/v1/chat/completions", `{"model":`, nil, 400, "invalid_json"},
		{"unknown model", "POST", "/v1/chat/completions", strings.ReplaceAll(valid, "dispatch-llm", "x"), nil, 404, "model_not_found"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"dispatch-llm"}`, nil, 400, "missing_field"},
		{"wrong type", "POST", "/v1/chat/completions", `{"model":7}`, nil, 400, "invalid_request"},
		{"negative bound", "POST", "/v1/chat/completions", strings.Replace(valid, "{", `{"max_tokens":-1,`, 1), nil, 400, "invalid_value"},
		{"wrong method", "GET", "/v1/chat/completions", "", nil, 405, "method_not_allowed"},
		{"unknown path", "GET", "/v2", "", nil, 404, "unknown_path"},
		{"unknown service", "GET", "/services/x/bookings", "", nil, 404, "unknown_service"},
		{"timeout above the maximum", "POST", "/v1/chat/completions", valid, map[string]string{"Filberttrack-Timeout": "9000h"}, 400, "invalid_timeout"},
		{"negative timeout", "POST", "/v1/chat/completions", valid, map[string]string{"Filberttrack-Timeout": "-1s"}, 400, "invalid_timeout"},
		{"timeout without unit", "POST", "/v1/chat/completions", valid, map[string]string{"Filberttrack-Timeout": "soon"}, 400, "invalid_timeout"},
		{"unknown profile", "POST", "/v1/chat/completions", valid, map[string]string{"Filberttrack-Profile": "x"}, 400, "unknown_profile"},
		{"unknown token", "POST", "/v1/chat/completions", valid, map[string]string{"Authorization": "Bearer x"}, 401, "invalid_token"},
		{"wrong scheme", "POST", "/v1/chat/completions", valid, map[string]string{"Authorization": "Basic x"}, 401, "invalid_token"},
		{"oversized body", "POST", "/v1/chat/completions", valid + strings.Repeat(" ", 5<<20), nil, 413, "body_too_large"},
		{"no idempotency key", "POST", "/services/pickup-desk/bookings", "{}", nil, 400, "missing_idempotency_key"},
		{"long idempotency key", "POST", "/services/pickup-desk/bookings", "{}", map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "invalid_idempotency_key"},
		{"unknown method", "BREW", "/services/pickup-desk/bookings", "", nil, 405, "method_not_allowed"},
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
