package relay

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// hopHeaders lists the headers that belong to one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length",
}

// plain is the answer of a plain service. It is kept until it is whole, so that
// a half answer never reaches the caller and an attempt can be repeated.
type plain struct {
	writer http.ResponseWriter
	limits Limits
	status int
	header http.Header
	body   []byte
}

// Header implements Answer.
func (p *plain) Header(status int, header http.Header) error {
	p.status = status
	p.header = header
	return nil
}

// Data implements Answer.
func (p *plain) Data(data []byte) error {
	if len(p.body)+len(data) > p.limits.MaxAnswerBytes {
		return fmt.Errorf("answer larger than %d bytes", p.limits.MaxAnswerBytes)
	}
	p.body = append(p.body, data...)
	return nil
}

// Finish implements Answer.
func (p *plain) Finish(outcome track.Outcome) error {
	to := p.writer.Header()
	maps.Copy(to, p.header)
	for _, name := range hopHeaders {
		to.Del(name)
	}
	to.Set(flow.HeaderOutcome, outcome.String())
	to.Set("Content-Length", strconv.Itoa(len(p.body)))
	p.writer.WriteHeader(p.status)
	_, err := p.writer.Write(p.body)
	return err
}

// Committed implements Answer.
func (*plain) Committed() bool { return false }

// Abort implements Answer.
func (*plain) Abort(*flow.RefusalError) {}

// Reset implements Answer.
func (p *plain) Reset() {
	p.status = 0
	p.header = nil
	p.body = nil
}

// RelaysErrors implements Answer.
func (*plain) RelaysErrors() bool { return true }
