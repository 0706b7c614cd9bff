package engine

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track/prefix"
)

// prompt is what an answer depends on.
type prompt struct {
	text []byte
	// answer is the whole answer.
	answer string
	// rest is the part of the answer that the request still lacks.
	rest string
}

// newPrompt derives the answer to a request. It contains the text of the last
// user message. A request that continues its final message gets the part of the
// answer after it; if that message does not begin the answer, it gets all of it.
func newPrompt(req *request, answerTokens int) prompt {
	messages := make([]prefix.Message, len(req.Messages))
	for i, m := range req.Messages {
		messages[i] = prefix.Message{Role: m.Role, Content: string(m.Content)}
	}
	p := prompt{text: prefix.PromptText(messages)}
	partial := ""
	if last := messages[len(messages)-1]; req.ContinueFinalMessage && last.Role == "assistant" {
		partial = last.Content
		messages = messages[:len(messages)-1]
	}
	p.answer = answer(messages, answerTokens)
	p.rest = p.answer
	if rest, ok := strings.CutPrefix(p.answer, partial); ok {
		p.rest = rest
	}
	return p
}

func answer(messages []prefix.Message, least int) string {
	user := ""
	for _, m := range messages {
		if m.Role == "user" {
			user = m.Content
		}
	}
	hash := xxhash.Sum64(prefix.PromptText(messages))
	var text strings.Builder
	fmt.Fprintf(&text, "Answer %016x to: %s", hash, user)
	for n := len(tokens(text.String())); n < least; n++ {
		fmt.Fprintf(&text, " w%d", n)
	}
	return text.String()
}

// tokens splits text into words, each with the space that follows it.
func tokens(text string) []string {
	var out []string
	start, inSpace := 0, false
	for i, r := range text {
		space := unicode.IsSpace(r)
		if inSpace && !space {
			out = append(out, text[start:i])
			start = i
		}
		inSpace = space
	}
	if start < len(text) {
		out = append(out, text[start:])
	}
	return out
}
