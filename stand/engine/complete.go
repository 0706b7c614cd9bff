package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"filberttrack.example/track/prefix"
)

const (
	finishStop   = "stop"
	finishLength = "length"
)

// errCrashed ends the generations in progress when the engine crashes.
var errCrashed = errors.New("engine crashed")

// generation is one request in the batch.
type generation struct {
	id string
	// created is in seconds since the Unix epoch.
	created int64
	model   string
	usage   usage
	finish  string
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	req, ok := e.decode(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	leave, up := e.enroll(cancel)
	if !up {
		panic(http.ErrAbortHandler)
	}
	defer leave()

	err := e.generate(ctx, w, req)
	switch {
	case err == nil:
		e.completed.Add(1)
	case errors.Is(err, errCrashed):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errQueueFull):
		w.Header().Set("Retry-After", "1")
		fail(w, http.StatusTooManyRequests, "rate_limit_error", "queue_full", err.Error())
	default:
		e.cancelled.Add(1)
	}
}

// generate waits for a place in the batch and writes the answer.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, req *request) error {
	if err := e.batch.enter(ctx, req.Priority); err != nil {
		return err
	}
	defer e.noteLoad()
	defer e.batch.leave()
	e.noteLoad()

	prompt := newPrompt(req, e.settings.AnswerTokens)
	if marker := e.settings.PoisonMarker; marker != "" && bytes.Contains(prompt.text, []byte(marker)) {
		e.Crash()
		return errCrashed
	}
	g := &generation{
		id:      fmt.Sprintf("chatcmpl-%d", e.started.Add(1)),
		created: e.clock.Now().Unix(),
		model:   req.Model,
		finish:  finishStop,
	}
	words := tokens(prompt.rest)
	if limit := req.maxTokens(); limit > 0 && len(words) > limit {
		words = words[:limit]
		g.finish = finishLength
	}
	if err := e.prefill(ctx, g, prompt); err != nil {
		return err
	}
	held := int64(g.usage.PromptTokens)
	e.tokens.Add(held)
	defer func() { e.tokens.Add(-held) }()

	out := newWriter(w, req, g)
	for _, word := range words {
		if err := e.step(ctx); err != nil {
			return err
		}
		held++
		e.tokens.Add(1)
		e.generated.Add(1)
		g.usage.CompletionTokens++
		if err := out.token(word); err != nil {
			return err
		}
	}
	g.usage.TotalTokens = g.usage.PromptTokens + g.usage.CompletionTokens
	return out.end()
}

// prefill computes the part of the prompt that is not in the cache.
func (e *Engine) prefill(ctx context.Context, g *generation, p prompt) error {
	blocks := prefix.BlockHashes(p.text, e.settings.CacheBlocks)
	hits := e.cache.use(blocks)
	words := len(bytes.Fields(p.text))
	cached := len(bytes.Fields(p.text[:hits*prefix.BlockSize]))
	g.usage.PromptTokens = words
	g.usage.PromptTokensDetails.CachedTokens = cached
	steps := (words - cached) / e.settings.PrefillTokens
	for range steps {
		if err := e.step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// step waits for the end of the step in progress. The steps of all requests end
// together, as those of a batch do.
func (e *Engine) step(ctx context.Context) error {
	select {
	case <-e.unpaused():
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	length := time.Duration(e.stepTime.Load())
	if length <= 0 {
		return context.Cause(ctx)
	}
	rest := length - e.clock.Since(e.epoch)%length
	timer := e.clock.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// writer writes the answer in the form that the request asked for.
type writer interface {
	token(text string) error
	end() error
}

func newWriter(w http.ResponseWriter, req *request, g *generation) writer {
	if req.Stream {
		return &streamWriter{w: w, control: http.NewResponseController(w), g: g, usage: req.StreamOptions.IncludeUsage}
	}
	return &wholeWriter{w: w, g: g}
}

// wholeWriter writes the answer as one JSON object.
type wholeWriter struct {
	w    http.ResponseWriter
	g    *generation
	text strings.Builder
}

func (o *wholeWriter) token(text string) error {
	o.text.WriteString(text)
	return nil
}

func (o *wholeWriter) end() error {
	o.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(o.w).Encode(chunk{
		ID:      o.g.id,
		Object:  "chat.completion",
		Created: o.g.created,
		Model:   o.g.model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: o.text.String()}, FinishReason: &o.g.finish}},
		Usage:   &o.g.usage,
	})
}

// streamWriter writes the answer as server-sent events, one for each token.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	g       *generation
	usage   bool
	begun   bool
}

func (o *streamWriter) token(text string) error {
	d := &delta{Content: text}
	if !o.begun {
		d.Role = "assistant"
	}
	return o.event(choice{Delta: d})
}

func (o *streamWriter) end() error {
	if err := o.event(choice{Delta: &delta{}, FinishReason: &o.g.finish}); err != nil {
		return err
	}
	if o.usage {
		last := o.chunk()
		last.Choices = []choice{}
		last.Usage = &o.g.usage
		if err := o.write(last); err != nil {
			return err
		}
	}
	_, err := o.w.Write([]byte("data: [DONE]\n\n"))
	return err
}

func (o *streamWriter) event(c choice) error {
	next := o.chunk()
	next.Choices = []choice{c}
	return o.write(next)
}

func (o *streamWriter) chunk() chunk {
	return chunk{ID: o.g.id, Object: "chat.completion.chunk", Created: o.g.created, Model: o.g.model}
}

func (o *streamWriter) write(c chunk) error {
	if !o.begun {
		o.begun = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-cache")
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := o.w.Write(event); err != nil {
		return err
	}
	return o.control.Flush()
}
