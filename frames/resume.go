package frames

import (
	"encoding/json"
	"errors"
	"fmt"

	"filberttrack.example/track"
)

// Fields of a chat completion request, and a value of the role field.
const (
	fieldMessages             = "messages"
	fieldContinueFinalMessage = "continue_final_message"
	fieldAddGenerationPrompt  = "add_generation_prompt"
	fieldMinTokens            = "min_tokens"
	roleAssistant             = "assistant"
)

// tokenLimitFields are the fields that limit the number of tokens to generate.
var tokenLimitFields = [...]string{"max_tokens", "max_completion_tokens"}

// unsupportedFields are the fields that rule out a continuation if they are set: the state that
// the engine keeps for them is lost with the replica.
var unsupportedFields = [...]string{
	"tools", "functions", "logprobs", "echo", "prompt_logprobs", "best_of", "use_beam_search",
	"guided_json", "guided_regex", "guided_choice", "guided_grammar", "structured_outputs",
}

// message holds the fields of a chat message that this package reads or writes.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// checkResumable returns an error that says why the requested generation can't be continued, or
// nil.
func checkResumable(request jsonObject) error {
	if _, ok := request[fieldMessages]; !ok {
		return errors.New("request is not a chat completion")
	}
	for _, name := range unsupportedFields {
		if isSet(request[name]) {
			return fmt.Errorf("request sets field %q", name)
		}
	}
	if choices := request["n"]; isSet(choices) && string(choices) != "1" {
		return errors.New("request asks for more than one choice")
	}
	var format struct {
		Type string `json:"type"`
	}
	if raw := request["response_format"]; isSet(raw) {
		if err := json.Unmarshal(raw, &format); err != nil || format.Type != "text" {
			return errors.New("request asks for a response format other than text")
		}
	}
	return nil
}

// Resume returns the body of the request that continues the generation after the text that the
// client has. Its errors are of kind NotResumable, or of kind TokenLimitReached if no token is left to
// generate; the response then has to end with the chunk that FinalChunk returns.
func (t *Transcript) Resume() ([]byte, error) {
	const op = "resume generation"
	if t.notResumable != nil {
		return nil, track.Fail(op, NotResumable, t.notResumable)
	}
	if t.textFinished {
		return nil, track.Fail(op, NotResumable, errors.New("text is complete"))
	}
	if t.text.Len() == 0 {
		t.resumed = true
		return t.body, nil
	}
	next := make(jsonObject, len(t.request)+2)
	for name, value := range t.request {
		next[name] = value
	}
	if err := t.reduceTokenLimits(next); err != nil {
		return nil, err
	}
	messages, err := t.messages()
	if err != nil {
		return nil, track.Fail(op, NotResumable, err)
	}
	next[fieldMessages] = messages
	next[fieldContinueFinalMessage] = mustEncode(true)
	next[fieldAddGenerationPrompt] = mustEncode(false)
	t.resumed = true
	t.earlierTokens = t.sentTokens
	return mustEncode(next), nil
}

// FinalChunk returns the final chunk of a response that has reached its token limit.
func (t *Transcript) FinalChunk() []byte {
	reason := "length"
	t.textFinished = true
	return mustEncode(jsonObject{
		"id":      mustEncode(t.metadata.id),
		"object":  mustEncode("chat.completion.chunk"),
		"created": t.metadata.created,
		"model":   t.metadata.model,
		"choices": mustEncode([]jsonObject{{"index": mustEncode(0), "delta": mustEncode(jsonObject{}), "finish_reason": mustEncode(reason)}}),
	})
}

// reduceTokenLimits subtracts the tokens generated so far from the token limits of the request.
// Its errors are of kind NotResumable, or of kind TokenLimitReached if no token is left.
func (t *Transcript) reduceTokenLimits(next jsonObject) error {
	const op = "reduce token limits"
	for _, name := range tokenLimitFields {
		remaining, ok, err := t.remaining(next, name)
		if err != nil {
			return track.Fail(op, NotResumable, err)
		}
		if ok && remaining <= 0 {
			return track.Fail(op, TokenLimitReached, nil)
		}
		if ok {
			next[name] = mustEncode(remaining)
		}
	}
	minimum, ok, err := t.remaining(next, fieldMinTokens)
	if err != nil {
		return track.Fail(op, NotResumable, err)
	}
	if ok {
		next[fieldMinTokens] = mustEncode(max(0, minimum))
	}
	return nil
}

// remaining returns what is left of a token limit after the tokens sent so far, and false if the
// request doesn't set the limit.
func (t *Transcript) remaining(request jsonObject, name string) (int, bool, error) {
	raw := request[name]
	if raw == nil || string(raw) == "null" {
		return 0, false, nil
	}
	var limit int
	if err := json.Unmarshal(raw, &limit); err != nil {
		return 0, false, err
	}
	return limit - t.sentTokens, true, nil
}

// messages returns the messages of the request followed by the text so far as a partial assistant
// message. If the client itself asked to continue its last message, the text is appended to that
// message instead.
func (t *Transcript) messages() (json.RawMessage, error) {
	var all []json.RawMessage
	if err := json.Unmarshal(t.request[fieldMessages], &all); err != nil {
		return nil, err
	}
	text := t.text.String()
	if isSet(t.request[fieldContinueFinalMessage]) && len(all) > 0 {
		prefix, err := messageText(all[len(all)-1])
		if err != nil {
			return nil, err
		}
		text = prefix + text
		all = all[:len(all)-1]
	}
	partial := mustEncode(message{Role: roleAssistant, Content: mustEncode(text)})
	return mustEncode(append(all, partial)), nil
}

// messageText returns the content of a message, which has to be a string.
func messageText(raw json.RawMessage) (string, error) {
	var last message
	if err := json.Unmarshal(raw, &last); err != nil {
		return "", err
	}
	var text string
	if err := json.Unmarshal(last.Content, &text); err != nil {
		return "", fmt.Errorf("content of the last message is not a string: %w", err)
	}
	return text, nil
}
