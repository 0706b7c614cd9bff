// Package admin serves the operators' listener: health, readiness, metrics,
// status, and what other packages add to it.
package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track"
)

// Options holds what the handler is made of.
type Options struct {
	// Status returns the status of the instance. Its Ready field decides
	// /readyz.
	Status  func() track.Status
	Metrics *metrics.Set
	// Profiling turns on /debug/pprof.
	Profiling bool
}

// Handler serves the operators' listener.
type Handler struct {
	options Options
	mux     *http.ServeMux
}

// New returns the handler.
func New(options Options) *Handler {
	h := &Handler{options: options, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /healthz", h.health)
	h.mux.HandleFunc("GET /readyz", h.ready)
	h.mux.HandleFunc("GET /metrics", h.metrics)
	h.mux.HandleFunc("GET /status", h.status)
	if options.Profiling {
		h.mux.HandleFunc("/debug/pprof/", pprof.Index)
		h.mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		h.mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return h
}

// Handle adds a handler for a pattern of http.ServeMux.
func (h *Handler) Handle(pattern string, handler http.Handler) {
	h.mux.Handle(pattern, handler)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	io.WriteString(w, "ok\n")
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.options.Status().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.options.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, h.options.Status())
}

// WriteJSON writes the value as the JSON body of an answer.
func WriteJSON[T any](w http.ResponseWriter, status int, value T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The operator may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON reads a value from the JSON body of a request. Unknown fields are
// refused.
func ReadJSON[T any](body io.Reader) (T, error) {
	var value T
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	return value, err
}

// Failure is the body of an answer that tells an operator what went wrong.
type Failure struct {
	Code    string
	Message string
}

// WriteFailure writes a Failure.
func WriteFailure(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, Failure{Code: code, Message: message})
}
