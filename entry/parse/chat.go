// Package parse provides the steps that validate a caller's request and turn it
// into a track.Call.
package parse

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
	"filberttrack.example/track/prefix"
)

// enginePath is the path of chat completions at an engine.
const enginePath = "/v1/chat/completions"

// maxPrefixBlocks is the most blocks of one prompt that are hashed.
const maxPrefixBlocks = 64

// maxParts is the most messages of one prompt that are told apart.
const maxParts = 64

// bytesPerToken is used to estimate the number of tokens in a text.
const bytesPerToken = 4

// Chat is the step that parses chat completion requests.
type Chat struct {
	directory track.Directory
	limits    Limits
}

// NewChat returns a Chat that looks up models and profiles in the directory.
func NewChat(directory track.Directory, limits Limits) *Chat {
	return &Chat{directory: directory, limits: limits}
}

// String implements flow.Step.
func (*Chat) String() string { return "parse chat completion" }

// chatRequest holds the fields that an entry reads. All other fields are passed
// to the engine, except that engineBody sets priority.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           *int `json:"max_tokens"`
	MaxCompletionTokens *int `json:"max_completion_tokens"`
}

// chatMessage is one message of a prompt.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Run implements flow.Step. It sets the fields of the call, including the body
// for the engine, or returns a *flow.RefusalError with a 4xx status.
func (s *Chat) Run(_ context.Context, x *flow.Exchange) error {
	body, err := readBody(x, s.limits)
	if err != nil {
		return err
	}
	request, fields, err := decodeChat(body)
	if err != nil {
		return err
	}
	model, ok := s.directory.Model(request.Model)
	if !ok {
		return flow.UnknownError(s.directory, http.StatusNotFound, "model_not_found", "model",
			"the model %q does not exist", truncate(request.Model))
	}
	call := &x.Call
	call.Kind = track.GenerationCall
	call.Target = model.Name
	call.Method = http.MethodPost
	call.Path = enginePath
	call.Stream = request.Stream
	call.IncludeUsage = request.StreamOptions.IncludeUsage
	call.MaxTokens = request.maxTokens()
	call.Fingerprint = xxhash.Sum64(body)
	setPrompt(call, request.Messages)
	call.Parts = partsOf(model.Name, request.Messages)
	call.Header = http.Header{"Content-Type": {"application/json"}}
	err = setProfile(x, s.directory, model.Profile, s.limits)
	if err != nil {
		return err
	}
	call.Body, err = engineBody(fields, call.Profile.Priority)
	return err
}

// decodeChat decodes and checks the body. It returns all top-level fields
// beside those of chatRequest.
func decodeChat(body []byte) (chatRequest, map[string]json.RawMessage, error) {
	var request chatRequest
	var fields map[string]json.RawMessage
	err := json.Unmarshal(body, &fields)
	if err != nil {
		return request, nil, flow.ClientError(http.StatusBadRequest, "invalid_json", "",
			"the body is not a JSON object: %s", err)
	}
	err = json.Unmarshal(body, &request)
	if err != nil {
		return request, nil, flow.ClientError(http.StatusBadRequest, "invalid_request", "",
			"the body does not match the chat-completions API: %s", err)
	}
	switch {
	case request.Model == "":
		return request, nil, flow.ClientError(http.StatusBadRequest, "missing_field", "model",
			"the field model is missing")
	case len(request.Messages) == 0:
		return request, nil, flow.ClientError(http.StatusBadRequest, "missing_field", "messages",
			"the field messages must contain at least one message")
	case request.maxTokens() < 0:
		return request, nil, flow.ClientError(http.StatusBadRequest, "invalid_value", "max_tokens",
			"the maximum number of tokens must not be negative")
	}
	return request, fields, nil
}

// maxTokens returns the maximum number of tokens to generate; 0 if none is
// given.
func (r chatRequest) maxTokens() int {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	}
	return 0
}

// engineBody returns the request body for the engine. The engine always streams
// and reports token counts, whatever the caller asked for.
func engineBody(fields map[string]json.RawMessage, priority track.Priority) ([]byte, error) {
	fields["priority"] = json.RawMessage(strconv.Itoa(int(priority)))
	fields["stream"] = json.RawMessage(`true`)
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, flow.ClientError(http.StatusBadRequest, "invalid_json", "", "the body can't be re-encoded: %s", err)
	}
	return body, nil
}

// setPrompt sets the estimated length of the prompt and the hashes of its
// prefixes.
func setPrompt(call *track.Call, messages []chatMessage) {
	prompt := make([]prefix.Message, 0, len(messages))
	for _, m := range messages {
		prompt = append(prompt, prefix.Message{Role: m.Role, Content: m.text()})
	}
	text := prefix.PromptText(prompt)
	call.PromptTokens = (len(text) + bytesPerToken - 1) / bytesPerToken
	call.Prefixes = prefix.BlockHashes(text, maxPrefixBlocks)
}

// partsOf returns a hash of each message but the last one. Other conversations with the model may
// share these.
func partsOf(model string, messages []chatMessage) []uint64 {
	shared := messages[:min(len(messages)-1, maxParts)]
	hashes := make([]uint64, 0, len(shared))
	for _, m := range shared {
		hashes = append(hashes, xxhash.Sum64String(model+"\x00"+m.Role+"\x00"+m.text()))
	}
	return hashes
}

// text returns the content of the message, or its raw JSON if it isn't a
// string.
func (m chatMessage) text() string {
	var text string
	err := json.Unmarshal(m.Content, &text)
	if err != nil {
		return string(m.Content)
	}
	return text
}
