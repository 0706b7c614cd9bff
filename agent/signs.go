package agent

import (
	"net/http"
	"sync"

	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/permit"
	"filberttrack.example/track/signs"
)

// signHeaders are the headers in which a backend server gives its signs.
var signHeaders = signs.Headers{Leaving: "Server-Leaving", Limit: "Server-Limit"}

// backendSigns holds what the backend server says of itself. All requests to it pass through its agent,
// which therefore keeps to its limit for all entries. It is safe for concurrent use.
type backendSigns struct {
	book *signs.Book

	mu      sync.Mutex
	backend track.Replica
	permits *permit.Schedule
}

func newBackendSigns(o Options) *backendSigns {
	id := track.ReplicaID(o.Instance.ID)
	s := &backendSigns{book: signs.New(o.Clock, o.Logger), backend: track.Replica{ID: id}, permits: permit.New(id)}
	o.Metrics.GetOrCreateGauge("filberttrack_agent_limit", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.book.Of(s.backend).Limit
	})
	return s
}

// observe records the signs in a response of the backend server.
func (a *Agent) observe(response *http.Response) {
	a.recordSigns(signHeaders.Decode(response.StatusCode, response.Header))
}

// observeProbe records the signs in the response to a probe. A load endpoint may give none at all, so
// their absence doesn't end a limit.
func (a *Agent) observeProbe(response *http.Response) {
	said := signHeaders.Decode(response.StatusCode, response.Header)
	if said.Limit > 0 || said.Leaving {
		a.recordSigns(said)
	}
}

func (a *Agent) recordSigns(said track.Signs) {
	s := a.signs
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Observe(s.backend, said)
	s.permits.SetLimit(s.book.Of(s.backend).Limit, a.options.Clock.Now())
}

// forgetSigns forgets the signs of a backend server that has started again.
func (a *Agent) forgetSigns() {
	s := a.signs
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backend.StartID++
	s.permits.SetLimit(0, a.options.Clock.Now())
}

// wantsRequests reports whether the backend server neither leaves nor rests.
func (a *Agent) wantsRequests() bool {
	s := a.signs
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.book.Of(s.backend)
	return !known.Leaving && !a.options.Clock.Now().Before(known.RestUntil)
}

// takePermit reports whether the limit of the backend server allows another request now, and counts it.
func (a *Agent) takePermit(d track.Dispatch) bool {
	s := a.signs
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.permits.Available(permit.Share{Width: 1}, a.options.Clock.Now()) {
		s.permits.Use()
		return true
	}
	a.options.Logger.Debug("backend server at its limit", zap.String("RequestID", string(d.ID.Request)),
		zap.Float64("Limit", s.book.Of(s.backend).Limit))
	return false
}
