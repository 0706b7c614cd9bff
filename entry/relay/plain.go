package relay

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// hopByHopHeaders lists the headers that apply to one connection only and are
// not forwarded. The list includes Content-Length, which is set anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length",
}

// serviceResponse is the response of a plain service. It is buffered until it
// is complete, so that a partial response never reaches the caller and an
// attempt can be retried.
type serviceResponse struct {
	writer http.ResponseWriter
	limits Limits
	status int
	header http.Header
	body   []byte
}

// WriteHeader implements Response.
func (r *serviceResponse) WriteHeader(status int, header http.Header) error {
	r.status = status
	r.header = header
	return nil
}

// WriteData implements Response.
func (r *serviceResponse) WriteData(data []byte) error {
	if len(r.body)+len(data) > r.limits.MaxAnswerBytes {
		return fmt.Errorf("response larger than %d bytes", r.limits.MaxAnswerBytes)
	}
	r.body = append(r.body, data...)
	return nil
}

// Finish implements Response.
func (r *serviceResponse) Finish(outcome track.Outcome) error {
	header := r.writer.Header()
	maps.Copy(header, r.header)
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Set(flow.HeaderOutcome, outcome.String())
	header.Set("Content-Length", strconv.Itoa(len(r.body)))
	r.writer.WriteHeader(r.status)
	_, err := r.writer.Write(r.body)
	return err
}

// Committed implements Response.
func (*serviceResponse) Committed() bool { return false }

// Abort implements Response.
func (*serviceResponse) Abort(*flow.RefusalError) {}

// Reset implements Response.
func (r *serviceResponse) Reset() {
	r.status = 0
	r.header = nil
	r.body = nil
}

// RelaysErrors implements Response.
func (*serviceResponse) RelaysErrors() bool { return true }
