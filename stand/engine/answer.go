package engine

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track/prefix"
)

// prompt is the prompt of a request, with the answer that is derived from it.
type prompt struct {
	text []byte
	// answer is the complete answer.
	answer string
	// remaining is the part of the answer that the request doesn't contain yet.
	remaining string
}

// newPrompt returns the prompt of a request and derives the answer, which contains
// the text of the last user message. If the request continues its final message,
// the remaining answer is the part after that message, or the complete answer if
// it doesn't start with that message.
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
	p.answer = composeAnswer(messages, answerTokens)
	p.remaining = p.answer
	if remaining, ok := strings.CutPrefix(p.answer, partial); ok {
		p.remaining = remaining
	}
	return p
}

// composeAnswer returns the answer to the messages, padded to at least minTokens
// tokens. The same messages always get the same answer.
func composeAnswer(messages []prefix.Message, minTokens int) string {
	user := ""
	for _, m := range messages {
		if m.Role == "user" {
			user = m.Content
		}
	}
	hash := xxhash.Sum64(prefix.PromptText(messages))
	var text strings.Builder
	fmt.Fprintf(&text, "Answer %016x to: %s", hash, user)
	for n := len(splitTokens(text.String())); n < minTokens; n++ {
		fmt.Fprintf(&text, " w%d", n)
	}
	return text.String()
}

// splitTokens splits text into words. Each token includes the white space that follows the word.
func splitTokens(text string) []string {
	var tokens []string
	start, inSpace := 0, false
	for i, r := range text {
		space := unicode.IsSpace(r)
		if inSpace && !space {
			tokens = append(tokens, text[start:i])
			start = i
		}
		inSpace = space
	}
	if start < len(text) {
		tokens = append(tokens, text[start:])
	}
	return tokens
}
