package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// streamResponse is a chat completion that is sent as server-sent events.
type streamResponse struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	metadata   metadata
	// includeUsage is set if the caller asked for token counts.
	includeUsage bool
	// eventPrefix is the start of each event, up to the choices.
	eventPrefix []byte
	// buffer holds the events that are to be sent.
	buffer []byte
	// headerSent is set once the status and header have been sent.
	headerSent bool
}

func newStreamResponse(x *flow.Exchange) *streamResponse {
	s := &streamResponse{
		writer:       x.Writer,
		controller:   http.NewResponseController(x.Writer),
		metadata:     newMetadata(x),
		includeUsage: x.Call.IncludeUsage,
	}
	s.eventPrefix = s.buildEventPrefix()
	return s
}

// buildEventPrefix returns the start of each event, up to the choices.
func (s *streamResponse) buildEventPrefix() []byte {
	model, err := json.Marshal(s.metadata.model)
	if err != nil {
		model = []byte(`""`)
	}
	return fmt.Appendf(nil, `data: {"id":%q,"object":"chat.completion.chunk","created":%d,"model":%s,"choices":`,
		s.metadata.id, s.metadata.created.Unix(), model)
}

// WriteHeader implements Response. The status of a stream is always 200.
func (s *streamResponse) WriteHeader(int, http.Header) error {
	return nil
}

// WriteData implements Response.
func (s *streamResponse) WriteData(data []byte) error {
	s.buffer = s.buffer[:0]
	err := forEachChunk(data, s.appendChunk)
	if err != nil {
		return err
	}
	return s.flush()
}

// appendChunk appends an event for the chunk to the buffer. It ignores a chunk
// with nothing for the caller.
func (s *streamResponse) appendChunk(c chunk) error {
	if c.lacksChoices() && (!s.includeUsage || !c.hasUsage()) {
		return nil
	}
	s.buffer = append(s.buffer, s.eventPrefix...)
	if c.lacksChoices() {
		s.buffer = append(s.buffer, "[]"...)
	} else {
		s.buffer = append(s.buffer, c.Choices...)
	}
	if s.includeUsage && c.hasUsage() {
		s.buffer = append(s.buffer, `,"usage":`...)
		s.buffer = append(s.buffer, c.Usage...)
	}
	s.buffer = append(s.buffer, "}\n\n"...)
	return nil
}

// flush sends the buffered events to the caller without delay.
func (s *streamResponse) flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	s.sendHeader()
	_, err := s.writer.Write(s.buffer)
	if err != nil {
		return err
	}
	return s.controller.Flush()
}

// sendHeader sends the status and header unless they have been sent.
func (s *streamResponse) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	// The outcome is known only at the end, so it is sent as a trailer.
	header.Set("Trailer", flow.HeaderOutcome)
	s.writer.WriteHeader(http.StatusOK)
}

// Finish implements Response.
func (s *streamResponse) Finish(outcome track.Outcome) error {
	s.buffer = append(s.buffer[:0], "data: [DONE]\n\n"...)
	err := s.flush()
	s.writer.Header().Set(flow.HeaderOutcome, outcome.String())
	return err
}

// Committed implements Response.
func (s *streamResponse) Committed() bool { return s.headerSent }

// Abort implements Response. The stream ends with an error event instead of the
// final [DONE] event.
func (s *streamResponse) Abort(r *flow.RefusalError) {
	message := strconv.Quote(r.Message)
	s.buffer = fmt.Appendf(s.buffer[:0],
		`data: {"error":{"message":%s,"type":"server_error","param":null,"code":%q}}`+"\n\n",
		message, r.Code)
	// A write error means that the caller has disconnected; nothing is left to do.
	_ = s.flush()
	s.writer.Header().Set(flow.HeaderOutcome, r.Outcome.String())
}

// Reset implements Response. A stream that isn't committed holds nothing to
// discard.
func (s *streamResponse) Reset() {}

// RelaysErrors implements Response.
func (*streamResponse) RelaysErrors() bool { return false }
