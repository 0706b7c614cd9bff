package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/stand/engine"
)

const model = "dispatch-llm"

type completion struct {
	Choices []struct {
		Delta, Message struct{ Content string }
		FinishReason   string `json:"finish_reason"`
	}
	Usage struct {
		PromptTokens        int `json:"prompt_tokens"`
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}
}

func (c completion) text() string { return c.Choices[0].Message.Content }

func startEngine(t *testing.T, clock clockwork.Clock, s engine.Settings) (*engine.Engine, string) {
	t.Helper()
	s.Model = model
	e := engine.New(clock, s)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, server.URL
}

func post(ctx context.Context, url, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}

// requestCompletion sends a chat completion request with the given user message and
// extra JSON fields, and returns the answer.
func requestCompletion(t *testing.T, url, user, fields string) completion {
	t.Helper()
	resp, err := post(t.Context(), url, requestBody(user, fields))
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var a completion
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
	return a
}

// requestBody returns a request with the given user message and extra JSON fields.
func requestBody(user, fields string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]%s}`, model, user, fields)
}

// readEvents returns the data of all server-sent events of a stream.
func readEvents(r io.Reader) ([]string, error) {
	var data []string
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if event, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			data = append(data, event)
		}
	}
	return data, lines.Err()
}

func TestStreamedAnswerEqualsUnstreamedAnswer(t *testing.T) {
	_, url := startEngine(t, clockwork.NewRealClock(), engine.Settings{AnswerTokens: 20})
	whole := requestCompletion(t, url, "Where is  bale 7?\n", "")
	assert.Assert(t, strings.Contains(whole.text(), "Where is  bale 7?\n"))
	assert.Equal(t, whole.Choices[0].FinishReason, "stop")
	assert.Equal(t, whole.Usage.CompletionTokens, 20)

	resp, err := post(t.Context(), url,
		requestBody("Where is  bale 7?\n", `,"stream":true,"stream_options":{"include_usage":true}`))
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := readEvents(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 23)
	assert.Equal(t, data[22], "[DONE]")
	var text strings.Builder
	for _, d := range data[:22] {
		var a completion
		assert.NilError(t, json.Unmarshal([]byte(d), &a))
		if len(a.Choices) > 0 {
			text.WriteString(a.Choices[0].Delta.Content)
		} else {
			assert.Equal(t, a.Usage.CompletionTokens, 20)
		}
	}
	assert.Equal(t, text.String(), whole.text())
}

func TestResumedAnswerContinuesWhereItWasCutOff(t *testing.T) {
	_, url := startEngine(t, clockwork.NewRealClock(), engine.Settings{AnswerTokens: 12})
	whole := requestCompletion(t, url, "Summarise the yard notes", "").text()
	for _, cut := range []int{0, 1, 9, len(whole) / 2, len(whole) - 1, len(whole)} {
		resumed := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Summarise the yard notes"},
			{"role":"assistant","content":%q}],"continue_final_message":true,"add_generation_prompt":false}`, model, whole[:cut])
		resp, err := post(t.Context(), url, resumed)
		assert.NilError(t, err)
		var a completion
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
		resp.Body.Close()
		assert.Equal(t, whole[:cut]+a.text(), whole)
	}
	short := requestCompletion(t, url, "Summarise the yard notes", `,"max_tokens":3`)
	assert.Equal(t, short.Usage.CompletionTokens, 3)
	assert.Equal(t, short.Choices[0].FinishReason, "length")
}

func TestPrefixCacheHitsAndEviction(t *testing.T) {
	_, url := startEngine(t, clockwork.NewRealClock(), engine.Settings{CacheBlocks: 4})
	rules := strings.Repeat("rule ", 150)
	assert.Equal(t, requestCompletion(t, url, rules+"first", "").Usage.PromptTokensDetails.CachedTokens, 0)
	assert.Assert(t, requestCompletion(t, url, rules+"second", "").Usage.PromptTokensDetails.CachedTokens >= 90)
	requestCompletion(t, url, strings.Repeat("other ", 400), "")
	assert.Equal(t, requestCompletion(t, url, rules+"third", "").Usage.PromptTokensDetails.CachedTokens, 0)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	_, url := startEngine(t, clockwork.NewRealClock(), engine.Settings{MaxBodyBytes: 500})
	tests := []struct {
		body   string
		status int
	}{
		{`{`, http.StatusBadRequest},
		{`{"model":"dispatch-llm"}`, http.StatusBadRequest},
		{`{"model":"other","messages":[{"role":"user","content":"a"}]}`, http.StatusNotFound},
		{requestBody(strings.Repeat("a", 500), ""), http.StatusRequestEntityTooLarge},
		{`{"model":"dispatch-llm","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`, http.StatusOK},
	}
	for _, tt := range tests {
		resp, err := post(t.Context(), url, tt.body)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, tt.status, "%.40s", tt.body)
	}
	resp, err := http.Get(url + "/v1/chat/completions")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusMethodNotAllowed)
}

// waitForLoad polls the load report until it meets the condition or the test's
// context ends.
func waitForLoad(t *testing.T, url string, condition func(track.Load) bool) {
	t.Helper()
	for {
		if condition(getLoad(t, url)) {
			return
		}
		assert.NilError(t, t.Context().Err())
	}
}

func getLoad(t *testing.T, url string) track.Load {
	t.Helper()
	resp, err := http.Get(url + "/load")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var l track.Load
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&l))
	return l
}

func TestFullQueueRejectsRequests(t *testing.T) {
	e, url := startEngine(t, clockwork.NewRealClock(), engine.Settings{Capacity: 1, QueueLimit: 1})
	e.Pause()
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			if resp, err := post(t.Context(), url, requestBody("a", "")); err == nil {
				resp.Body.Close()
			}
		})
		waitForLoad(t, url, func(l track.Load) bool { return l.Running+l.Queued == i+1 })
	}
	resp, err := post(t.Context(), url, requestBody("refused", ""))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	e.Resume()
	wg.Wait()
	assert.Equal(t, e.Counts().Completed, int64(2))
}

func TestCancelledRequestFreesItsBatchSlot(t *testing.T) {
	e, url := startEngine(t, clockwork.NewRealClock(), engine.Settings{Capacity: 1})
	e.Pause()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := post(ctx, url, requestBody("a", ""))
		done <- err
	}()
	waitForLoad(t, url, func(l track.Load) bool { return l.Running == 1 && l.TokensInFlight > 0 })
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	waitForLoad(t, url, func(l track.Load) bool { return l.Running == 0 && l.TokensInFlight == 0 })
	assert.Equal(t, e.Counts().Completed, int64(0))
}

func TestPoisonedPromptFailsAllRequestsInFlight(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e, url := startEngine(t, clock, engine.Settings{PoisonMarker: "POISON", RestartAfter: time.Second})
	e.Pause()
	done := make(chan error, 1)
	go func() {
		_, err := post(t.Context(), url, requestBody("innocent", ""))
		done <- err
	}()
	waitForLoad(t, url, func(l track.Load) bool { return l.Running == 1 })
	_, err := post(t.Context(), url, requestBody("a POISON b", ""))
	assert.ErrorContains(t, err, "EOF")
	e.Resume()
	assert.ErrorContains(t, <-done, "EOF")
	_, err = http.Get(url + "/health")
	assert.ErrorContains(t, err, "EOF")
	clock.Advance(time.Second)
	requestCompletion(t, url, "again", "")
	assert.Equal(t, e.Counts().Crashes, int64(1))
}

func TestRequestTakesItsStepsAndLoadReportLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, url := startEngine(t, clock, engine.Settings{
		StepTime: 10 * time.Millisecond, LoadLag: time.Second, PrefillTokens: 100,
	})
	assert.Equal(t, getLoad(t, url).Running, 0)
	clock.Advance(time.Second)
	resp, err := func() (*http.Response, error) {
		go advance(t, clock, 3)
		return post(t.Context(), url, requestBody(strings.Repeat("word ", 250), `,"stream":true,"max_tokens":1`))
	}()
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := readEvents(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 3)
	assert.Equal(t, getLoad(t, url).Running, 0, "the report must lag by one second")
	clock.Advance(time.Second)
}

// advance advances the clock by n steps. Before each, it waits until a request
// waits for the step.
func advance(t *testing.T, clock *clockwork.FakeClock, n int) {
	for range n {
		if clock.BlockUntilContext(t.Context(), 1) != nil {
			return
		}
		clock.Advance(10 * time.Millisecond)
	}
}
