package frames

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"filberttrack.example/track"
)

// object is a JSON object of which only some members are known.
type object map[string]json.RawMessage

// chunk is what is read of a chunk of a streamed chat completion.
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

// head is what all chunks of an answer have in common.
type head struct {
	id      string
	created json.RawMessage
	model   json.RawMessage
}

// Transcript follows a streamed chat completion as the caller receives it, and
// can continue it on another replica. It is not safe for concurrent use.
type Transcript struct {
	request object
	body    []byte
	// wantsUsage is set if the answer ends with the usage.
	wantsUsage bool
	head       head
	text       strings.Builder
	// tokens is the number of tokens handed to the caller.
	tokens int
	// before is the number of those that earlier replicas generated.
	before int
	// resumed is set once a request to continue was made.
	resumed   bool
	announced bool
	// finished is set once the reason for the end of the text was seen.
	finished bool
	// accounted is set once the usage was seen after that.
	accounted bool
	// blocked says why the generation can't be continued.
	blocked error
}

// NewTranscript returns the transcript of the answer to a chat completion
// request. The caller may have asked for the usage after the text.
func NewTranscript(body []byte, wantsUsage bool) (*Transcript, error) {
	t := &Transcript{body: body, wantsUsage: wantsUsage}
	if err := json.Unmarshal(body, &t.request); err != nil {
		return nil, track.Fail("read request", Malformed, err)
	}
	t.blocked = blockedBy(t.request)
	return t, nil
}

// Text returns the text that was handed to the caller.
func (t *Transcript) Text() string {
	return t.text.String()
}

// Finished reports whether the caller has the whole text, with the reason for
// its end and the usage if it asked for that.
func (t *Transcript) Finished() bool {
	return t.finished && (t.accounted || !t.wantsUsage)
}

// Relay takes the data of a frame, one or more whole chunks separated by
// newlines, and returns what to hand to the caller. Where it fails nothing may
// be handed over.
func (t *Transcript) Relay(data []byte) ([]byte, error) {
	const op = "relay chunks"
	var raws [][]byte
	var chunks []chunk
	for raw := range bytes.SplitSeq(data, []byte("\n")) {
		if len(bytes.TrimSpace(raw)) == 0 {
			continue
		}
		var c chunk
		if err := json.Unmarshal(raw, &c); err != nil {
			return nil, track.Fail(op, Malformed, err)
		}
		raws = append(raws, raw)
		chunks = append(chunks, c)
	}
	var out [][]byte
	for i, c := range chunks {
		raw, err := t.relay(raws[i], c)
		if err != nil {
			t.blocked = err
			return nil, track.Fail(op, Malformed, err)
		}
		if raw != nil {
			out = append(out, raw)
		}
	}
	return bytes.Join(out, []byte("\n")), nil
}

func (t *Transcript) relay(raw []byte, c chunk) ([]byte, error) {
	if t.finished && len(c.Choices) > 0 {
		return nil, errors.New("text after its end")
	}
	if t.head.id == "" {
		t.head = head{id: c.ID, created: c.Created, model: c.Model}
	}
	out := raw
	if t.resumed {
		var err error
		if out, err = t.rewrite(raw, c); err != nil {
			return nil, err
		}
	}
	t.take(c)
	t.accounted = t.accounted || t.finished && c.Usage != nil
	return out, nil
}

// take records what a chunk brings.
func (t *Transcript) take(c chunk) {
	if len(c.Choices) == 0 {
		return
	}
	first := c.Choices[0]
	if len(c.Choices) > 1 || first.Index != 0 {
		t.blocked = errors.New("several choices")
	}
	if carries(first.Delta.ToolCalls) || carries(first.Delta.FunctionCall) {
		t.blocked = errors.New("tool calls")
	}
	if first.Delta.Reasoning != "" {
		t.blocked = errors.New("reasoning apart from the text")
	}
	t.announced = t.announced || first.Delta.Role != ""
	t.text.WriteString(first.Delta.Content)
	if first.Delta.Content != "" {
		t.tokens++
	}
	if c.Usage != nil && c.Usage.CompletionTokens > 0 {
		t.tokens = t.before + c.Usage.CompletionTokens
	}
	t.finished = t.finished || first.FinishReason != nil
}

// rewrite makes a chunk of a later replica look like one of the first.
func (t *Transcript) rewrite(raw []byte, c chunk) ([]byte, error) {
	var whole object
	if err := json.Unmarshal(raw, &whole); err != nil {
		return nil, err
	}
	whole["id"] = encoded(t.head.id)
	if t.head.created != nil {
		whole["created"] = t.head.created
	}
	if c.Usage != nil {
		if err := t.rewriteUsage(whole); err != nil {
			return nil, err
		}
	}
	if len(c.Choices) > 0 && t.announced && c.Choices[0].Delta.Role != "" {
		if c.Choices[0].Delta.Content == "" && c.Choices[0].FinishReason == nil {
			return nil, nil
		}
		if err := withoutRole(whole); err != nil {
			return nil, err
		}
	}
	return json.Marshal(whole)
}

// rewriteUsage counts the text of earlier replicas as generated, not as prompt.
func (t *Transcript) rewriteUsage(whole object) error {
	var numbers object
	if err := json.Unmarshal(whole["usage"], &numbers); err != nil {
		return err
	}
	var u usage
	if err := json.Unmarshal(whole["usage"], &u); err != nil {
		return err
	}
	numbers["prompt_tokens"] = encoded(max(0, u.PromptTokens-t.before))
	numbers["completion_tokens"] = encoded(u.CompletionTokens + t.before)
	whole["usage"] = encoded(numbers)
	return nil
}

func withoutRole(whole object) error {
	var choices []object
	if err := json.Unmarshal(whole["choices"], &choices); err != nil {
		return err
	}
	var d object
	if err := json.Unmarshal(choices[0]["delta"], &d); err != nil {
		return err
	}
	delete(d, "role")
	choices[0]["delta"] = encoded(d)
	whole["choices"] = encoded(choices)
	return nil
}

// carries reports whether an optional JSON member has a value other than an
// empty one.
func carries(raw json.RawMessage) bool {
	switch string(bytes.TrimSpace(raw)) {
	case "", "null", "[]", "{}", "false", "0":
		return false
	}
	return true
}

// encoded returns the JSON of a value that can always be encoded.
func encoded(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic("encode JSON: " + err.Error())
	}
	return data
}
