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

// errCrashed is the cancellation cause of the requests in progress when the engine crashes.
var errCrashed = errors.New("engine crashed")

// generation is the state of a request in the batch.
type generation struct {
	id string
	// created is in seconds since the Unix epoch.
	created int64
	model   string
	usage   usage
	// finishReason is the reason for the end of the answer, stop or length.
	finishReason string
}

// handleCompletion answers a chat completion request. If the engine crashes, the
// connection is closed without a response.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	req, ok := e.decodeRequest(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	unregister, up := e.registerCancel(cancel)
	if !up {
		panic(http.ErrAbortHandler)
	}
	defer unregister()

	err := e.generate(ctx, w, req)
	switch {
	case err == nil:
		e.completed.Add(1)
	case errors.Is(err, errCrashed):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errQueueFull):
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "rate_limit_error", "queue_full", err.Error())
	default:
		e.cancelled.Add(1)
	}
}

// generate waits for a slot in the batch, generates the answer and writes it.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, req *request) error {
	if err := e.batch.acquire(ctx, req.Priority); err != nil {
		return err
	}
	defer e.recordLoad()
	defer e.batch.release()
	e.recordLoad()

	prompt := newPrompt(req, e.settings.AnswerTokens)
	if marker := e.settings.PoisonMarker; marker != "" && bytes.Contains(prompt.text, []byte(marker)) {
		e.Crash()
		return errCrashed
	}
	g := &generation{
		id:           fmt.Sprintf("chatcmpl-%d", e.started.Add(1)),
		created:      e.clock.Now().Unix(),
		model:        req.Model,
		finishReason: finishStop,
	}
	tokens := splitTokens(prompt.remaining)
	if limit := req.maxTokens(); limit > 0 && len(tokens) > limit {
		tokens = tokens[:limit]
		g.finishReason = finishLength
	}
	if err := e.prefill(ctx, g, prompt); err != nil {
		return err
	}
	contextTokens := int64(g.usage.PromptTokens)
	e.tokensInFlight.Add(contextTokens)
	defer func() { e.tokensInFlight.Add(-contextTokens) }()

	out := newAnswerWriter(w, req, g)
	for _, token := range tokens {
		if err := e.waitStep(ctx); err != nil {
			return err
		}
		contextTokens++
		e.tokensInFlight.Add(1)
		e.generatedTokens.Add(1)
		g.usage.CompletionTokens++
		if err := out.writeToken(token); err != nil {
			return err
		}
	}
	g.usage.TotalTokens = g.usage.PromptTokens + g.usage.CompletionTokens
	return out.finish()
}

// prefill takes as many steps as it needs to compute the part of the prompt that
// isn't in the prefix cache.
func (e *Engine) prefill(ctx context.Context, g *generation, p prompt) error {
	blocks := prefix.BlockHashes(p.text, e.settings.CacheBlocks)
	hits := e.cache.lookupAndInsert(blocks)
	words := len(bytes.Fields(p.text))
	cached := len(bytes.Fields(p.text[:hits*prefix.BlockSize]))
	g.usage.PromptTokens = words
	g.usage.PromptTokensDetails.CachedTokens = cached
	steps := (words - cached) / e.settings.PrefillTokens
	for range steps {
		if err := e.waitStep(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitStep waits for the end of the current step. The steps of all requests end at
// the same time, as in a real batch.
func (e *Engine) waitStep(ctx context.Context) error {
	select {
	case <-e.unpausedChan():
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	stepTime := time.Duration(e.stepTime.Load())
	if stepTime <= 0 {
		return context.Cause(ctx)
	}
	remaining := stepTime - e.clock.Since(e.createdAt)%stepTime
	timer := e.clock.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// answerWriter writes an answer in the format that the request asked for.
type answerWriter interface {
	writeToken(token string) error
	// finish writes the rest of the response after the last token.
	finish() error
}

func newAnswerWriter(w http.ResponseWriter, req *request, g *generation) answerWriter {
	if req.Stream {
		return &streamWriter{
			w: w, control: http.NewResponseController(w), g: g, includeUsage: req.StreamOptions.IncludeUsage,
		}
	}
	return &jsonWriter{w: w, g: g}
}

// jsonWriter writes the answer as one JSON object.
type jsonWriter struct {
	w    http.ResponseWriter
	g    *generation
	text strings.Builder
}

func (o *jsonWriter) writeToken(token string) error {
	o.text.WriteString(token)
	return nil
}

func (o *jsonWriter) finish() error {
	o.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(o.w).Encode(chunk{
		ID:      o.g.id,
		Object:  "chat.completion",
		Created: o.g.created,
		Model:   o.g.model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: o.text.String()}, FinishReason: &o.g.finishReason}},
		Usage:   &o.g.usage,
	})
}

// streamWriter writes the answer as server-sent events, one for each token.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	g       *generation
	// includeUsage adds an event with the token usage at the end.
	includeUsage bool
	started      bool
}

func (o *streamWriter) writeToken(token string) error {
	d := &delta{Content: token}
	if !o.started {
		d.Role = "assistant"
	}
	return o.writeChoice(choice{Delta: d})
}

func (o *streamWriter) finish() error {
	if err := o.writeChoice(choice{Delta: &delta{}, FinishReason: &o.g.finishReason}); err != nil {
		return err
	}
	if o.includeUsage {
		last := o.newChunk()
		last.Choices = []choice{}
		last.Usage = &o.g.usage
		if err := o.writeEvent(last); err != nil {
			return err
		}
	}
	_, err := o.w.Write([]byte("data: [DONE]\n\n"))
	return err
}

func (o *streamWriter) writeChoice(c choice) error {
	next := o.newChunk()
	next.Choices = []choice{c}
	return o.writeEvent(next)
}

func (o *streamWriter) newChunk() chunk {
	return chunk{ID: o.g.id, Object: "chat.completion.chunk", Created: o.g.created, Model: o.g.model}
}

// writeEvent writes one server-sent event and flushes it.
func (o *streamWriter) writeEvent(c chunk) error {
	if !o.started {
		o.started = true
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
