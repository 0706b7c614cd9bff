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

type answer struct {
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

func (a answer) text() string { return a.Choices[0].Message.Content }

func serve(t *testing.T, clock clockwork.Clock, s engine.Settings) (*engine.Engine, string) {
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

// ask sends a request whose fields follow the user's message and returns the answer.
func ask(t *testing.T, url, user, fields string) answer {
	t.Helper()
	resp, err := post(t.Context(), url, body(user, fields))
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	var a answer
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
	return a
}

func body(user, fields string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]%s}`, model, user, fields)
}

// events returns the data of the server-sent events until the stream ends.
func events(r io.Reader) ([]string, error) {
	var out []string
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			out = append(out, data)
		}
	}
	return out, lines.Err()
}

func TestAnswerStreamedAndWholeAreTheSame(t *testing.T) {
	_, url := serve(t, clockwork.NewRealClock(), engine.Settings{AnswerTokens: 20})
	whole := ask(t, url, "Where is  bale 7?\n", "")
	assert.Assert(t, strings.Contains(whole.text(), "Where is  bale 7?\n"))
	assert.Equal(t, whole.Choices[0].FinishReason, "stop")
	assert.Equal(t, whole.Usage.CompletionTokens, 20)

	resp, err := post(t.Context(), url, body("Where is  bale 7?\n", `,"stream":true,"stream_options":{"include_usage":true}`))
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := events(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 23)
	assert.Equal(t, data[22], "[DONE]")
	var text strings.Builder
	for _, d := range data[:22] {
		var a answer
		assert.NilError(t, json.Unmarshal([]byte(d), &a))
		if len(a.Choices) > 0 {
			text.WriteString(a.Choices[0].Delta.Content)
		} else {
			assert.Equal(t, a.Usage.CompletionTokens, 20)
		}
	}
	assert.Equal(t, text.String(), whole.text())
}

func TestResumedAnswerContinuesExactly(t *testing.T) {
	_, url := serve(t, clockwork.NewRealClock(), engine.Settings{AnswerTokens: 12})
	whole := ask(t, url, "Summarise the yard notes", "").text()
	for _, cut := range []int{0, 1, 9, len(whole) / 2, len(whole) - 1, len(whole)} {
		resumed := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Summarise the yard notes"},
			{"role":"assistant","content":%q}],"continue_final_message":true,"add_generation_prompt":false}`, model, whole[:cut])
		resp, err := post(t.Context(), url, resumed)
		assert.NilError(t, err)
		var a answer
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
		resp.Body.Close()
		assert.Equal(t, whole[:cut]+a.text(), whole)
	}
	short := ask(t, url, "Summarise the yard notes", `,"max_tokens":3`)
	assert.Equal(t, short.Usage.CompletionTokens, 3)
	assert.Equal(t, short.Choices[0].FinishReason, "length")
}

func TestPrefixCacheShortensThePrompt(t *testing.T) {
	_, url := serve(t, clockwork.NewRealClock(), engine.Settings{CacheBlocks: 4})
	rules := strings.Repeat("rule ", 150)
	assert.Equal(t, ask(t, url, rules+"first", "").Usage.PromptTokensDetails.CachedTokens, 0)
	assert.Assert(t, ask(t, url, rules+"second", "").Usage.PromptTokensDetails.CachedTokens >= 90)
	ask(t, url, strings.Repeat("other ", 400), "")
	assert.Equal(t, ask(t, url, rules+"third", "").Usage.PromptTokensDetails.CachedTokens, 0)
}

func TestBadRequests(t *testing.T) {
	_, url := serve(t, clockwork.NewRealClock(), engine.Settings{MaxBodyBytes: 500})
	tests := []struct {
		body   string
		status int
	}{
		{`{`, http.StatusBadRequest},
		{`{"model":"dispatch-llm"}`, http.StatusBadRequest},
		{`{"model":"other","messages":[{"role":"user","content":"a"}]}`, http.StatusNotFound},
		{body(strings.Repeat("a", 500), ""), http.StatusRequestEntityTooLarge},
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

// waitFor polls the load report until it holds; the test's deadline bounds it.
func waitFor(t *testing.T, url string, holds func(track.Load) bool) {
	t.Helper()
	for {
		if holds(load(t, url)) {
			return
		}
		assert.NilError(t, t.Context().Err())
	}
}

func load(t *testing.T, url string) track.Load {
	t.Helper()
	resp, err := http.Get(url + "/load")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var l track.Load
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&l))
	return l
}

func TestFullQueueRefuses(t *testing.T) {
	e, url := serve(t, clockwork.NewRealClock(), engine.Settings{Capacity: 1, QueueLimit: 1})
	e.Pause()
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			if resp, err := post(t.Context(), url, body("a", "")); err == nil {
				resp.Body.Close()
			}
		})
		waitFor(t, url, func(l track.Load) bool { return l.Running+l.Queued == i+1 })
	}
	resp, err := post(t.Context(), url, body("refused", ""))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	e.Resume()
	wg.Wait()
	assert.Equal(t, e.Counts().Completed, int64(2))
}

func TestCancelFreesThePlace(t *testing.T) {
	e, url := serve(t, clockwork.NewRealClock(), engine.Settings{Capacity: 1})
	e.Pause()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := post(ctx, url, body("a", ""))
		ended <- err
	}()
	waitFor(t, url, func(l track.Load) bool { return l.Running == 1 && l.TokensInFlight > 0 })
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	waitFor(t, url, func(l track.Load) bool { return l.Running == 0 && l.TokensInFlight == 0 })
	assert.Equal(t, e.Counts().Completed, int64(0))
}

func TestPoisonCrashesEverythingInFlight(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e, url := serve(t, clock, engine.Settings{PoisonMarker: "POISON", RestartAfter: time.Second})
	e.Pause()
	ended := make(chan error, 1)
	go func() {
		_, err := post(t.Context(), url, body("innocent", ""))
		ended <- err
	}()
	waitFor(t, url, func(l track.Load) bool { return l.Running == 1 })
	_, err := post(t.Context(), url, body("a POISON b", ""))
	assert.ErrorContains(t, err, "EOF")
	e.Resume()
	assert.ErrorContains(t, <-ended, "EOF")
	_, err = http.Get(url + "/health")
	assert.ErrorContains(t, err, "EOF")
	clock.Advance(time.Second)
	ask(t, url, "again", "")
	assert.Equal(t, e.Counts().Crashes, int64(1))
}

func TestStepTimeSpacesTokensAndLoadLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, url := serve(t, clock, engine.Settings{StepTime: 10 * time.Millisecond, LoadLag: time.Second, PrefillTokens: 100})
	assert.Equal(t, load(t, url).Running, 0)
	clock.Advance(time.Second)
	resp, err := func() (*http.Response, error) {
		go advance(t, clock, 3)
		return post(t.Context(), url, body(strings.Repeat("word ", 250), `,"stream":true,"max_tokens":1`))
	}()
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := events(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 3)
	assert.Equal(t, load(t, url).Running, 0, "the load of a second ago")
	clock.Advance(time.Second)
}

// advance lets n steps pass, each after a request waits for it.
func advance(t *testing.T, clock *clockwork.FakeClock, n int) {
	for range n {
		if clock.BlockUntilContext(t.Context(), 1) != nil {
			return
		}
		clock.Advance(10 * time.Millisecond)
	}
}
