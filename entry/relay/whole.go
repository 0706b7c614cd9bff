package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// bufferedResponse is a chat completion that is sent as a single JSON object.
// It is assembled from the chunks that the engine streams.
type bufferedResponse struct {
	writer   http.ResponseWriter
	limits   Limits
	metadata metadata
	// receivedBytes is the size of all chunks so far.
	receivedBytes int
	// choices holds the choices by index.
	choices map[int]*choiceBuilder
	// usage is the latest object with token counts.
	usage json.RawMessage
}

// choiceBuilder assembles one choice from its deltas.
type choiceBuilder struct {
	role    string
	content strings.Builder
	// toolCalls holds the tool calls by index.
	toolCalls    map[int]*toolCall
	finishReason string
}

// toolCall is one tool call of a choice.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// toolFunction is the function that a tool call invokes, with its JSON
// arguments.
type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// choiceDelta is the part of a choice that one chunk contains.
type choiceDelta struct {
	Index int `json:"index"`
	Delta struct {
		Role      string          `json:"role"`
		Content   string          `json:"content"`
		ToolCalls []toolCallDelta `json:"tool_calls"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

// toolCallDelta is the part of a tool call that one chunk contains.
type toolCallDelta struct {
	Index int `json:"index"`
	toolCall
}

// completion is the response body of a chat completion that isn't streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

func newBufferedResponse(x *flow.Exchange, limits Limits) *bufferedResponse {
	b := &bufferedResponse{writer: x.Writer, limits: limits, metadata: newMetadata(x)}
	b.Reset()
	return b
}

// WriteHeader implements Response. The status of a finished response is always
// 200.
func (b *bufferedResponse) WriteHeader(int, http.Header) error {
	return nil
}

// WriteData implements Response.
func (b *bufferedResponse) WriteData(data []byte) error {
	b.receivedBytes += len(data)
	if b.receivedBytes > b.limits.MaxAnswerBytes {
		return fmt.Errorf("response larger than %d bytes", b.limits.MaxAnswerBytes)
	}
	return forEachChunk(data, b.addChunk)
}

func (b *bufferedResponse) addChunk(c chunk) error {
	if c.hasUsage() {
		b.usage = c.Usage
	}
	if c.lacksChoices() {
		return nil
	}
	var deltas []choiceDelta
	err := json.Unmarshal(c.Choices, &deltas)
	if err != nil {
		return fmt.Errorf("decode choices: %w", err)
	}
	for _, d := range deltas {
		b.addDelta(d)
	}
	return nil
}

// addDelta appends a delta to the choice with its index.
func (b *bufferedResponse) addDelta(d choiceDelta) {
	choice, ok := b.choices[d.Index]
	if !ok {
		choice = &choiceBuilder{role: "assistant", toolCalls: make(map[int]*toolCall)}
		b.choices[d.Index] = choice
	}
	if d.Delta.Role != "" {
		choice.role = d.Delta.Role
	}
	choice.content.WriteString(d.Delta.Content)
	if d.FinishReason != "" {
		choice.finishReason = d.FinishReason
	}
	for _, t := range d.Delta.ToolCalls {
		choice.addToolCall(t)
	}
}

// addToolCall adds a part of a tool call. The parts of the function's name and
// arguments are concatenated.
func (c *choiceBuilder) addToolCall(d toolCallDelta) {
	call, ok := c.toolCalls[d.Index]
	if !ok {
		call = &toolCall{Type: "function"}
		c.toolCalls[d.Index] = call
	}
	if d.ID != "" {
		call.ID = d.ID
	}
	if d.Type != "" {
		call.Type = d.Type
	}
	call.Function.Name += d.Function.Name
	call.Function.Arguments += d.Function.Arguments
}

// Finish implements Response.
func (b *bufferedResponse) Finish(outcome track.Outcome) error {
	body, err := json.Marshal(b.completion())
	if err != nil {
		return fmt.Errorf("encode completion: %w", err)
	}
	header := b.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(flow.HeaderOutcome, outcome.String())
	b.writer.WriteHeader(http.StatusOK)
	_, err = b.writer.Write(body)
	return err
}

// completion returns the response body, with choices and tool calls in the
// order of their indexes.
func (b *bufferedResponse) completion() completion {
	c := completion{
		ID:      b.metadata.id,
		Object:  "chat.completion",
		Created: b.metadata.created.Unix(),
		Model:   b.metadata.model,
		Choices: []completionChoice{},
		Usage:   b.usage,
	}
	for _, index := range sortedKeys(b.choices) {
		choice := b.choices[index]
		message := completionMessage{Role: choice.role, Content: choice.content.String()}
		for _, i := range sortedKeys(choice.toolCalls) {
			message.ToolCalls = append(message.ToolCalls, *choice.toolCalls[i])
		}
		c.Choices = append(c.Choices, completionChoice{Index: index, Message: message, FinishReason: choice.finishReason})
	}
	return c
}

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Committed implements Response.
func (*bufferedResponse) Committed() bool { return false }

// Abort implements Response.
func (*bufferedResponse) Abort(*flow.RefusalError) {}

// Reset implements Response.
func (b *bufferedResponse) Reset() {
	b.receivedBytes = 0
	b.choices = make(map[int]*choiceBuilder)
	b.usage = nil
}

// RelaysErrors implements Response.
func (*bufferedResponse) RelaysErrors() bool { return false }
