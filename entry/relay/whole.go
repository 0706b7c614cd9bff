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

// whole is a generation that the caller receives in one piece.
type whole struct {
	writer   http.ResponseWriter
	limits   Limits
	identity identity
	size     int
	choices  map[int]*wholeChoice
	usage    json.RawMessage
}

// wholeChoice collects one choice.
type wholeChoice struct {
	role      string
	content   strings.Builder
	toolCalls map[int]*toolCall
	finish    string
}

// toolCall collects one call of a tool.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// toolFunction is the function that a tool call names.
type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// choiceDelta is one choice of a chunk.
type choiceDelta struct {
	Index int `json:"index"`
	Delta struct {
		Role      string          `json:"role"`
		Content   string          `json:"content"`
		ToolCalls []toolCallDelta `json:"tool_calls"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

// toolCallDelta is a piece of a tool call.
type toolCallDelta struct {
	Index int `json:"index"`
	toolCall
}

// completion is the body of a whole generation.
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

func newWhole(x *flow.Exchange, limits Limits) *whole {
	w := &whole{writer: x.Writer, limits: limits, identity: identityOf(x)}
	w.Reset()
	return w
}

// Header implements Answer.
func (w *whole) Header(int, http.Header) error {
	return nil
}

// Data implements Answer.
func (w *whole) Data(data []byte) error {
	w.size += len(data)
	if w.size > w.limits.MaxAnswerBytes {
		return fmt.Errorf("answer larger than %d bytes", w.limits.MaxAnswerBytes)
	}
	return eachChunk(data, w.add)
}

func (w *whole) add(c chunk) error {
	if c.hasUsage() {
		w.usage = c.Usage
	}
	if c.empty() {
		return nil
	}
	var deltas []choiceDelta
	err := json.Unmarshal(c.Choices, &deltas)
	if err != nil {
		return fmt.Errorf("decode choices: %w", err)
	}
	for _, d := range deltas {
		w.addDelta(d)
	}
	return nil
}

func (w *whole) addDelta(d choiceDelta) {
	choice, ok := w.choices[d.Index]
	if !ok {
		choice = &wholeChoice{role: "assistant", toolCalls: make(map[int]*toolCall)}
		w.choices[d.Index] = choice
	}
	if d.Delta.Role != "" {
		choice.role = d.Delta.Role
	}
	choice.content.WriteString(d.Delta.Content)
	if d.FinishReason != "" {
		choice.finish = d.FinishReason
	}
	for _, t := range d.Delta.ToolCalls {
		choice.addToolCall(t)
	}
}

func (c *wholeChoice) addToolCall(d toolCallDelta) {
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

// Finish implements Answer.
func (w *whole) Finish(outcome track.Outcome) error {
	body, err := json.Marshal(w.completion())
	if err != nil {
		return fmt.Errorf("encode completion: %w", err)
	}
	header := w.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(flow.HeaderOutcome, outcome.String())
	w.writer.WriteHeader(http.StatusOK)
	_, err = w.writer.Write(body)
	return err
}

func (w *whole) completion() completion {
	c := completion{
		ID:      w.identity.id,
		Object:  "chat.completion",
		Created: w.identity.created.Unix(),
		Model:   w.identity.model,
		Choices: []completionChoice{},
		Usage:   w.usage,
	}
	for _, index := range sortedKeys(w.choices) {
		choice := w.choices[index]
		message := completionMessage{Role: choice.role, Content: choice.content.String()}
		for _, i := range sortedKeys(choice.toolCalls) {
			message.ToolCalls = append(message.ToolCalls, *choice.toolCalls[i])
		}
		c.Choices = append(c.Choices, completionChoice{Index: index, Message: message, FinishReason: choice.finish})
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

// Committed implements Answer.
func (*whole) Committed() bool { return false }

// Abort implements Answer.
func (*whole) Abort(*flow.RefusalError) {}

// Reset implements Answer.
func (w *whole) Reset() {
	w.size = 0
	w.choices = make(map[int]*wholeChoice)
	w.usage = nil
}

// RelaysErrors implements Answer.
func (*whole) RelaysErrors() bool { return false }
