package frames

import (
	"encoding/json"
	"errors"
	"fmt"

	"filberttrack.example/track"
)

// Members of a chat completion request.
const (
	memberMessages = "messages"
	memberContinue = "continue_final_message"
	memberPrompt   = "add_generation_prompt"
	memberMin      = "min_tokens"
	roleAssistant  = "assistant"
)

// tokenBounds are the members that bound the tokens to generate.
var tokenBounds = [...]string{"max_tokens", "max_completion_tokens"}

// blockers are the members that rule out a continuation when they have a value:
// their state inside the engine is lost with the replica.
var blockers = [...]string{
	"tools", "functions", "logprobs", "echo", "prompt_logprobs", "best_of", "use_beam_search",
	"guided_json", "guided_regex", "guided_choice", "guided_grammar", "structured_outputs",
}

// message is the last message of a request, as far as it has to be read.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// blockedBy returns why the generation asked for can't be continued, or nil.
func blockedBy(request object) error {
	if _, ok := request[memberMessages]; !ok {
		return errors.New("no chat completion")
	}
	for _, name := range blockers {
		if carries(request[name]) {
			return fmt.Errorf("request with %q", name)
		}
	}
	if choices := request["n"]; carries(choices) && string(choices) != "1" {
		return errors.New("several choices")
	}
	var format struct {
		Type string `json:"type"`
	}
	if raw := request["response_format"]; carries(raw) {
		if err := json.Unmarshal(raw, &format); err != nil || format.Type != "text" {
			return errors.New("constrained output")
		}
	}
	return nil
}

// Resume returns the body of the request that continues the generation from
// the text that the caller has. Its errors are of kind NotResumable, or
// Exhausted if no token is left to generate; then Ending closes the answer.
func (t *Transcript) Resume() ([]byte, error) {
	const op = "resume generation"
	if t.blocked != nil {
		return nil, track.Fail(op, NotResumable, t.blocked)
	}
	if t.finished {
		return nil, track.Fail(op, NotResumable, errors.New("text is finished"))
	}
	if t.text.Len() == 0 {
		t.resumed = true
		return t.body, nil
	}
	next := make(object, len(t.request)+2)
	for name, value := range t.request {
		next[name] = value
	}
	if err := t.reduceBounds(next); err != nil {
		return nil, err
	}
	messages, err := t.messages()
	if err != nil {
		return nil, track.Fail(op, NotResumable, err)
	}
	next[memberMessages] = messages
	next[memberContinue] = encoded(true)
	next[memberPrompt] = encoded(false)
	t.resumed = true
	t.before = t.tokens
	return encoded(next), nil
}

// Ending returns the chunk that ends an answer which has reached its bound of
// tokens.
func (t *Transcript) Ending() []byte {
	reason := "length"
	t.finished = true
	return encoded(object{
		"id":      encoded(t.head.id),
		"object":  encoded("chat.completion.chunk"),
		"created": t.head.created,
		"model":   t.head.model,
		"choices": encoded([]object{{"index": encoded(0), "delta": encoded(object{}), "finish_reason": encoded(reason)}}),
	})
}

// reduceBounds takes the tokens that were generated off the bounds.
func (t *Transcript) reduceBounds(next object) error {
	const op = "reduce token bounds"
	for _, name := range tokenBounds {
		left, ok, err := t.left(next, name)
		if err != nil {
			return track.Fail(op, NotResumable, err)
		}
		if ok && left <= 0 {
			return track.Fail(op, Exhausted, nil)
		}
		if ok {
			next[name] = encoded(left)
		}
	}
	least, ok, err := t.left(next, memberMin)
	if err != nil {
		return track.Fail(op, NotResumable, err)
	}
	if ok {
		next[memberMin] = encoded(max(0, least))
	}
	return nil
}

func (t *Transcript) left(request object, name string) (int, bool, error) {
	raw := request[name]
	if raw == nil || string(raw) == "null" {
		return 0, false, nil
	}
	var bound int
	if err := json.Unmarshal(raw, &bound); err != nil {
		return 0, false, err
	}
	return bound - t.tokens, true, nil
}

// messages returns the messages of the request with the text so far as the
// partial last one. If the caller itself asked to continue a message, the text
// is joined to that.
func (t *Transcript) messages() (json.RawMessage, error) {
	var all []json.RawMessage
	if err := json.Unmarshal(t.request[memberMessages], &all); err != nil {
		return nil, err
	}
	text := t.text.String()
	if carries(t.request[memberContinue]) && len(all) > 0 {
		begun, err := lastText(all[len(all)-1])
		if err != nil {
			return nil, err
		}
		text = begun + text
		all = all[:len(all)-1]
	}
	partial := encoded(message{Role: roleAssistant, Content: encoded(text)})
	return encoded(append(all, partial)), nil
}

func lastText(raw json.RawMessage) (string, error) {
	var last message
	if err := json.Unmarshal(raw, &last); err != nil {
		return "", err
	}
	var text string
	if err := json.Unmarshal(last.Content, &text); err != nil {
		return "", fmt.Errorf("last message in parts: %w", err)
	}
	return text, nil
}
