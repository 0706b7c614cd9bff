package frames_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/frames"
)

// fullText is the text that the fake engine generates; each word is one token.
var fullText = strings.SplitAfter("the bales at mill nine were wet so the truck left without them today ", " ")

type request struct {
	Messages             []struct{ Role, Content string }
	MaxTokens            int  `json:"max_tokens"`
	ContinueFinalMessage bool `json:"continue_final_message"`
	AddGenerationPrompt  bool `json:"add_generation_prompt"`
	Seed                 int
}

// generate returns the chunks with which the fake engine of a replica answers a request. It continues
// fullText after the partial last message, if any. clientPrefix is the start of that message that the
// client itself wrote.
func generate(t assert.TestingT, body []byte, replica int, clientPrefix string) []string {
	r := request{AddGenerationPrompt: true}
	assert.NilError(t, json.Unmarshal(body, &r))
	assert.Equal(t, r.Seed, 7, "unknown fields must be kept")
	generated := ""
	if r.ContinueFinalMessage {
		last := r.Messages[len(r.Messages)-1]
		assert.Equal(t, last.Role, "assistant")
		assert.Equal(t, r.AddGenerationPrompt, false)
		var ok bool
		generated, ok = strings.CutPrefix(last.Content, clientPrefix)
		assert.Assert(t, ok, "continues %q", last.Content)
	}
	rest, ok := strings.CutPrefix(strings.Join(fullText, ""), generated)
	assert.Assert(t, ok, "asked to continue %q", generated)
	chunk := func(choices string) string {
		return fmt.Sprintf(`{"id":"c%d","created":%d,"model":"m","choices":[%s]}`, replica, replica, choices)
	}
	chunks := []string{chunk(`{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}`)}
	reason := "stop"
	words := strings.SplitAfter(rest, " ")
	for i, word := range words[:len(words)-1] {
		if i == r.MaxTokens {
			reason = "length"
			break
		}
		chunks = append(chunks, chunk(fmt.Sprintf(`{"index":0,"delta":{"content":%q},"finish_reason":null}`, word)))
	}
	chunks = append(chunks, chunk(fmt.Sprintf(`{"index":0,"delta":{},"finish_reason":%q}`, reason)))
	return append(chunks, fmt.Sprintf(
		`{"id":"c%d","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":99}}`,
		replica, 10+len(strings.Fields(generated)), len(chunks)-2))
}

// clientView is the response as the client received it.
type clientView struct {
	text   string
	roles  int
	ids    map[string]bool
	reason string
	usage  *usage
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

func (c *clientView) read(t assert.TestingT, data []byte) {
	for line := range strings.SplitSeq(string(data), "\n") {
		if line == "" {
			continue
		}
		var chunk struct {
			ID      string
			Choices []struct {
				Delta        struct{ Role, Content string }
				FinishReason string `json:"finish_reason"`
			}
			Usage *usage
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &chunk))
		c.ids[chunk.ID] = true
		if chunk.Usage != nil {
			c.usage = chunk.Usage
		}
		for _, choice := range chunk.Choices {
			c.text += choice.Delta.Content
			c.reason += choice.FinishReason
			if choice.Delta.Role != "" {
				c.roles++
			}
		}
	}
}

// requestTemplate is the format of a request body; it takes the token limit and the end of the list of messages.
const requestTemplate = `{"model":"m","seed":7,"stream_options":{"include_usage":true},"max_tokens":%d,` +
	`"messages":[{"role":"user","content":"why"}%s}`

// However often replicas fail and wherever the stream breaks off, the client gets each word exactly
// once.
func TestResumeDeliversEachWordOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, len(fullText)+1).Draw(rt, "bound")
		clientPrefix, messagesEnd := "", "]"
		if rapid.Bool().Draw(rt, "message begun by client") {
			clientPrefix = "Well, "
			messagesEnd = `,{"role":"assistant","content":"Well, "}],"continue_final_message":true,"add_generation_prompt":false`
		}
		body := []byte(fmt.Sprintf(requestTemplate, limit, messagesEnd))
		transcript, err := frames.NewTranscript(body, true)
		assert.NilError(rt, err)
		client := clientView{ids: map[string]bool{}}
		for replica := 0; !transcript.Finished(); replica++ {
			chunks := generate(rt, body, replica, clientPrefix)
			cut := rapid.IntRange(0, len(chunks)).Draw(rt, "cut")
			for _, chunk := range chunks[:cut] {
				out, err := transcript.Relay([]byte(chunk + "\n"))
				assert.NilError(rt, err)
				client.read(rt, out)
			}
			if client.reason != "" {
				break
			}
			body, err = transcript.Resume()
			if track.IsKind(err, frames.TokenLimitReached) {
				client.read(rt, transcript.FinalChunk())
				break
			}
			assert.NilError(rt, err)
		}
		words := min(limit, len(fullText)-1)
		assert.Equal(rt, strings.TrimSpace(client.text), strings.TrimSpace(strings.Join(fullText[:words], "")))
		assert.Equal(rt, client.roles, 1)
		assert.Equal(rt, len(client.ids), 1)
		if client.usage != nil {
			assert.Equal(rt, *client.usage, usage{Prompt: 10, Completion: words})
		}
	})
}

func TestResumeFails(t *testing.T) {
	const plain = `"messages":[{"role":"user","content":"why"}]`
	for name, test := range map[string]struct{ request, chunk string }{
		"not a chat completion":    {`{"prompt":"why"}`, ""},
		"several choices":          {`{` + plain + `,"n":2}`, ""},
		"tools":                    {`{` + plain + `,"tools":[{}]}`, ""},
		"logprobs":                 {`{` + plain + `,"logprobs":true}`, ""},
		"constrained":              {`{` + plain + `,"response_format":{"type":"json_object"}}`, ""},
		"token limit is no number": {`{` + plain + `,"max_tokens":"x"}`, ""},
		"tool call":                {`{` + plain + `}`, `{"choices":[{"delta":{"tool_calls":[{}]}}]}`},
		"second choice":            {`{` + plain + `}`, `{"choices":[{"index":1,"delta":{"content":"x"}}]}`},
		"reasoning":                {`{` + plain + `}`, `{"choices":[{"delta":{"reasoning_content":"hm"}}]}`},
		"finished":                 {`{` + plain + `}`, `{"choices":[{"delta":{},"finish_reason":"stop"}]}`},
		"message content in parts": {`{"messages":[{"role":"assistant","content":[{}]}],"continue_final_message":true}`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			transcript, err := frames.NewTranscript([]byte(test.request), false)
			assert.NilError(t, err)
			_, err = transcript.Relay([]byte(`{"choices":[{"delta":{"content":"so"}}]}` + "\n" + test.chunk))
			assert.NilError(t, err)
			_, err = transcript.Resume()
			assert.Assert(t, track.IsKind(err, frames.NotResumable), "%v", err)
		})
	}
}

// If one chunk of a frame can't be decoded, no chunk of the frame is recorded, so that a resumed
// request generates its words again.
func TestRelayRecordsWholeFramesOnly(t *testing.T) {
	transcript, err := frames.NewTranscript([]byte(`{"messages":[]}`), false)
	assert.NilError(t, err)
	_, err = transcript.Relay([]byte(`{"choices":[{"delta":{"content":"so"}}]}` + "\n" + `{"choi`))
	assert.Assert(t, track.IsKind(err, frames.Malformed))
	assert.Equal(t, transcript.Text(), "")
	_, err = transcript.Relay([]byte(`{"choices":[{"delta":{},"finish_reason":"stop"}]}`))
	assert.NilError(t, err)
	assert.Assert(t, transcript.Finished())
	_, err = transcript.Relay([]byte(`{"choices":[{"delta":{"content":"more"}}]}`))
	assert.Assert(t, track.IsKind(err, frames.Malformed))
}

func FuzzRelay(f *testing.F) {
	f.Add([]byte(`{"messages":[{"role":"user","content":"a"}],"max_tokens":3}`), []byte(`{"id":"x","choices":[{"delta":{"content":"w"}}]}`))
	f.Add([]byte(`{"messages":null,"continue_final_message":true}`), []byte("{}\n{\"choices\":[{\"delta\":{\"role\":\"a\"}}],\"usage\":{}}"))
	f.Fuzz(func(t *testing.T, body, data []byte) {
		transcript, err := frames.NewTranscript(body, true)
		if err != nil {
			return
		}
		for range 2 {
			if _, err := transcript.Relay(data); err != nil {
				return
			}
			next, err := transcript.Resume()
			if err != nil {
				return
			}
			if !json.Valid(next) {
				t.Fatalf("Resume returned invalid JSON: %q", next)
			}
		}
	})
}

// BenchmarkRelay measures the cost of recording one chunk of a stream.
func BenchmarkRelay(b *testing.B) {
	transcript, err := frames.NewTranscript([]byte(`{"messages":[]}`), false)
	assert.NilError(b, err)
	chunk := []byte(`{"id":"c","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := transcript.Relay(chunk); err != nil {
			b.Fatal(err)
		}
	}
}
