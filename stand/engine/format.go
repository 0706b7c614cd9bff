package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// The types in this file follow the format of OpenAI's API, which uses names in
// snake case.

type request struct {
	Model         string    `json:"model"`
	Messages      []message `json:"messages"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens            int  `json:"max_tokens"`
	MaxCompletionTokens  int  `json:"max_completion_tokens"`
	Priority             int  `json:"priority"`
	ContinueFinalMessage bool `json:"continue_final_message"`
}

func (r *request) maxTokens() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message. In JSON it is a string or a list of parts, of
// which only the text is used.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '[' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, p := range parts {
		text.WriteString(p.Text)
	}
	*c = content(text.String())
	return nil
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// writeError sends a response in the error format of OpenAI's API.
func writeError(w http.ResponseWriter, status int, kind, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: errorDetail{Message: message, Type: kind, Code: code}})
}

// decodeRequest reads and validates a request. If the request is invalid, it sends
// an error response and returns false.
func (e *Engine) decodeRequest(w http.ResponseWriter, r *http.Request) (*request, bool) {
	const invalid = "invalid_request_error"
	var req request
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, invalid, "body_too_large", err.Error())
	case err != nil:
		writeError(w, http.StatusBadRequest, invalid, "bad_json", err.Error())
	case req.Model != e.settings.Model:
		writeError(w, http.StatusNotFound, invalid, "model_not_found", fmt.Sprintf("model %q is not served here", req.Model))
	case len(req.Messages) == 0:
		writeError(w, http.StatusBadRequest, invalid, "no_messages", "messages must not be empty")
	default:
		return &req, true
	}
	return nil, false
}
