package agent

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// endlessLoad is a backend server that reports its load with a list of hashes without end.
type endlessLoad struct{ sent int }

// endlessLoadBytes ends the list after all, so that a reader without a limit ends, too.
const endlessLoadBytes = 16 * maxLoadBytes

func (e *endlessLoad) RoundTrip(request *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(e), Request: request}, nil
}

func (e *endlessLoad) Read(p []byte) (int, error) {
	if e.sent >= endlessLoadBytes {
		return 0, io.ErrUnexpectedEOF
	}
	start := `{"CachedPrefixes":[1`
	for i := range p {
		switch at := e.sent + i; {
		case at < len(start):
			p[i] = start[at]
		case (at-len(start))%2 == 0:
			p[i] = ','
		default:
			p[i] = '1'
		}
	}
	e.sent += len(p)
	return len(p), nil
}

// A backend server that sends bytes without end as its load must not fill the memory of its agent: what a probe
// reads in its second would exceed that.
func TestProbeReadsBoundedLoad(t *testing.T) {
	backend := &endlessLoad{}
	a := newTestAgent(t, backend)
	a.probeOnce(t.Context())
	assert.Assert(t, backend.sent <= 2*maxLoadBytes, "%d bytes were read", backend.sent)
	assert.Assert(t, !a.healthy.Load(), "such a load shows a faulty server")
}
