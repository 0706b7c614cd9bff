package frames

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"filberttrack.example/track"
)

// jsonObject is a JSON object of which only some fields are known; the others are kept as
// they are.
type jsonObject map[string]json.RawMessage

// chunk holds the fields of a streamed chat completion chunk that this package reads.
type chunk struct {
	ID      string          `json:"id"`
	Created json.RawMessage `json:"created"`
	Model   json.RawMessage `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *usage          `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role         string          `json:"role"`
	Content      string          `json:"content"`
	Reasoning    string          `json:"reasoning_content"`
	ToolCalls    json.RawMessage `json:"tool_calls"`
	FunctionCall json.RawMessage `json:"function_call"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// responseMetadata holds the fields that have the same value in all chunks of a response.
type responseMetadata struct {
	id      string
	created json.RawMessage
	model   json.RawMessage
}

// Transcript records a streamed chat completion as the client receives it, and builds the
// request that continues it on another replica. It is not safe for concurrent use.
type Transcript struct {
	request jsonObject
	body    []byte
	// wantsUsage is set if the client asked for the token usage after the text.
	wantsUsage bool
	metadata   responseMetadata
	text       strings.Builder
	// sentTokens is the number of tokens sent to the client.
	sentTokens int
	// earlierTokens is the number of sentTokens that earlier replicas generated.
	earlierTokens int
	// resumed is set once Resume has returned a request.
	resumed bool
	// roleSent is set once the client has the role of the message.
	roleSent bool
	// textFinished is set once a finish reason was sent.
	textFinished bool
	// usageSent is set once the usage was sent after the finish reason.
	usageSent bool
	// notResumable says why the generation can't be continued; it is nil if it can be.
	notResumable error
}

// NewTranscript returns an empty transcript of the response to a chat completion request.
// wantsUsage says that the client asked for the token usage after the text. The error is of
// kind Malformed if the body isn't a JSON object. A body that isn't a chat completion request
// is no error, but Resume then fails.
func NewTranscript(body []byte, wantsUsage bool) (*Transcript, error) {
	t := &Transcript{body: body, wantsUsage: wantsUsage}
	if err := json.Unmarshal(body, &t.request); err != nil {
		return nil, track.Fail("read request", Malformed, err)
	}
	t.notResumable = checkResumable(t.request)
	return t, nil
}

// Text returns the generated text that was sent to the client.
func (t *Transcript) Text() string {
	return t.text.String()
}

// Finished reports whether the client has the whole response: the text, the finish reason,
// and the token usage if it asked for that.
func (t *Transcript) Finished() bool {
	return t.textFinished && (t.usageSent || !t.wantsUsage)
}

// Relay records the data of a frame, one or more whole chunks separated by newlines, and
// returns the data to send to the client. On an error, which is of kind Malformed, nothing of
// the frame may be sent.
func (t *Transcript) Relay(data []byte) ([]byte, error) {
	const op = "relay chunks"
	var rawChunks [][]byte
	var chunks []chunk
	for raw := range bytes.SplitSeq(data, []byte("\n")) {
		if len(bytes.TrimSpace(raw)) == 0 {
			continue
		}
		var c chunk
		if err := json.Unmarshal(raw, &c); err != nil {
			return nil, track.Fail(op, Malformed, err)
		}
		rawChunks = append(rawChunks, raw)
		chunks = append(chunks, c)
	}
	var out [][]byte
	for i, c := range chunks {
		raw, err := t.relayChunk(rawChunks[i], c)
		if err != nil {
			t.notResumable = err
			return nil, track.Fail(op, Malformed, err)
		}
		if raw != nil {
			out = append(out, raw)
		}
	}
	return bytes.Join(out, []byte("\n")), nil
}

// relayChunk records a chunk and returns it as the client should see it, or nil if it is to be
// left out.
func (t *Transcript) relayChunk(raw []byte, c chunk) ([]byte, error) {
	if t.textFinished && len(c.Choices) > 0 {
		return nil, errors.New("chunk has choices after the finish reason")
	}
	if t.metadata.id == "" {
		t.metadata = responseMetadata{id: c.ID, created: c.Created, model: c.Model}
	}
	out := raw
	if t.resumed {
		var err error
		if out, err = t.rewriteChunk(raw, c); err != nil {
			return nil, err
		}
	}
	t.record(c)
	t.usageSent = t.usageSent || t.textFinished && c.Usage != nil
	return out, nil
}

// record updates the text, the token count and the state of the transcript from a chunk.
func (t *Transcript) record(c chunk) {
	if len(c.Choices) == 0 {
		return
	}
	first := c.Choices[0]
	if len(c.Choices) > 1 || first.Index != 0 {
		t.notResumable = errors.New("response has more than one choice")
	}
	if isSet(first.Delta.ToolCalls) || isSet(first.Delta.FunctionCall) {
		t.notResumable = errors.New("response has tool calls")
	}
	if first.Delta.Reasoning != "" {
		t.notResumable = errors.New("response has reasoning content besides the text")
	}
	t.roleSent = t.roleSent || first.Delta.Role != ""
	t.text.WriteString(first.Delta.Content)
	if first.Delta.Content != "" {
		t.sentTokens++
	}
	if c.Usage != nil && c.Usage.CompletionTokens > 0 {
		t.sentTokens = t.earlierTokens + c.Usage.CompletionTokens
	}
	t.textFinished = t.textFinished || first.FinishReason != nil
}

// rewriteChunk makes a chunk of a later replica fit the response of the first one: its id, creation
// time, usage and role. It returns nil if the chunk only repeats the role.
func (t *Transcript) rewriteChunk(raw []byte, c chunk) ([]byte, error) {
	var fields jsonObject
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	fields["id"] = mustEncode(t.metadata.id)
	if t.metadata.created != nil {
		fields["created"] = t.metadata.created
	}
	if c.Usage != nil {
		if err := t.rewriteUsage(fields); err != nil {
			return nil, err
		}
	}
	if len(c.Choices) > 0 && t.roleSent && c.Choices[0].Delta.Role != "" {
		if c.Choices[0].Delta.Content == "" && c.Choices[0].FinishReason == nil {
			return nil, nil
		}
		if err := removeRole(fields); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// rewriteUsage counts the tokens that earlier replicas generated as completion tokens. The last
// replica got them as a part of its prompt.
func (t *Transcript) rewriteUsage(chunk jsonObject) error {
	var counts jsonObject
	if err := json.Unmarshal(chunk["usage"], &counts); err != nil {
		return err
	}
	var u usage
	if err := json.Unmarshal(chunk["usage"], &u); err != nil {
		return err
	}
	counts["prompt_tokens"] = mustEncode(max(0, u.PromptTokens-t.earlierTokens))
	counts["completion_tokens"] = mustEncode(u.CompletionTokens + t.earlierTokens)
	chunk["usage"] = mustEncode(counts)
	return nil
}

// removeRole removes the role from the first choice of a chunk.
func removeRole(chunk jsonObject) error {
	var choices []jsonObject
	if err := json.Unmarshal(chunk["choices"], &choices); err != nil {
		return err
	}
	var d jsonObject
	if err := json.Unmarshal(choices[0]["delta"], &d); err != nil {
		return err
	}
	delete(d, "role")
	choices[0]["delta"] = mustEncode(d)
	chunk["choices"] = mustEncode(choices)
	return nil
}

// isSet reports whether an optional JSON field is present and not null, empty, false or 0.
func isSet(raw json.RawMessage) bool {
	switch string(bytes.TrimSpace(raw)) {
	case "", "null", "[]", "{}", "false", "0":
		return false
	}
	return true
}

// mustEncode returns the JSON encoding of a value that can always be encoded. It panics on an
// error.
func mustEncode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic("encode JSON: " + err.Error())
	}
	return data
}
