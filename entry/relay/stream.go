package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// stream is a generation that the caller receives as server-sent events.
type stream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	identity   identity
	usage      bool
	prefix     []byte
	buffer     []byte
	started    bool
}

func newStream(x *flow.Exchange) *stream {
	s := &stream{
		writer:     x.Writer,
		controller: http.NewResponseController(x.Writer),
		identity:   identityOf(x),
		usage:      x.Call.IncludeUsage,
	}
	s.prefix = s.chunkPrefix()
	return s
}

// chunkPrefix returns the start of each event, up to the choices.
func (s *stream) chunkPrefix() []byte {
	model, err := json.Marshal(s.identity.model)
	if err != nil {
		model = []byte(`""`)
	}
	return fmt.Appendf(nil, `data: {"id":%q,"object":"chat.completion.chunk","created":%d,"model":%s,"choices":`,
		s.identity.id, s.identity.created.Unix(), model)
}

// Header implements Answer.
func (s *stream) Header(int, http.Header) error {
	return nil
}

// Data implements Answer.
func (s *stream) Data(data []byte) error {
	s.buffer = s.buffer[:0]
	err := eachChunk(data, s.appendChunk)
	if err != nil {
		return err
	}
	return s.write()
}

func (s *stream) appendChunk(c chunk) error {
	if c.empty() && (!s.usage || !c.hasUsage()) {
		return nil
	}
	s.buffer = append(s.buffer, s.prefix...)
	if c.empty() {
		s.buffer = append(s.buffer, "[]"...)
	} else {
		s.buffer = append(s.buffer, c.Choices...)
	}
	if s.usage && c.hasUsage() {
		s.buffer = append(s.buffer, `,"usage":`...)
		s.buffer = append(s.buffer, c.Usage...)
	}
	s.buffer = append(s.buffer, "}\n\n"...)
	return nil
}

// write sends the buffer to the caller at once.
func (s *stream) write() error {
	if len(s.buffer) == 0 {
		return nil
	}
	s.start()
	_, err := s.writer.Write(s.buffer)
	if err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *stream) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	// The outcome is known only at the end, so that it travels as a trailer.
	header.Set("Trailer", flow.HeaderOutcome)
	s.writer.WriteHeader(http.StatusOK)
}

// Finish implements Answer.
func (s *stream) Finish(outcome track.Outcome) error {
	s.buffer = append(s.buffer[:0], "data: [DONE]\n\n"...)
	err := s.write()
	s.writer.Header().Set(flow.HeaderOutcome, outcome.String())
	return err
}

// Committed implements Answer.
func (s *stream) Committed() bool { return s.started }

// Abort implements Answer. The answer ends with an error event and without the
// final one.
func (s *stream) Abort(r *flow.RefusalError) {
	message := strconv.Quote(r.Message)
	s.buffer = fmt.Appendf(s.buffer[:0], `data: {"error":{"message":%s,"type":"server_error","param":null,"code":%q}}`+"\n\n",
		message, r.Code)
	// The caller may be gone; there is nobody else to tell.
	_ = s.write()
	s.writer.Header().Set(flow.HeaderOutcome, r.Outcome.String())
}

// Reset implements Answer.
func (s *stream) Reset() {}

// RelaysErrors implements Answer.
func (*stream) RelaysErrors() bool { return false }
