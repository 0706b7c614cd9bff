// Package admin provides the HTTP handler of the admin listener: health, readiness,
// metrics, status, optional profiling, and handlers that other packages add.
package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"

	"filberttrack.example/track"
)

// Options configures a Handler.
type Options struct {
	// Status returns the status of the instance. /readyz reports its Ready field.
	Status func() track.Status
	// Metrics is the set that /metrics writes, with the metrics of the process.
	Metrics *metrics.Set
	// Profiling enables /debug/pprof.
	Profiling bool
}

// Handler is the HTTP handler of the admin listener.
type Handler struct {
	options Options
	mux     *http.ServeMux
}

// New returns a handler with the endpoints of this package.
func New(options Options) *Handler {
	h := &Handler{options: options, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /healthz", h.serveHealth)
	h.mux.HandleFunc("GET /readyz", h.serveReady)
	h.mux.HandleFunc("GET /metrics", h.serveMetrics)
	h.mux.HandleFunc("GET /status", h.serveStatus)
	if options.Profiling {
		h.mux.HandleFunc("/debug/pprof/", pprof.Index)
		h.mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		h.mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return h
}

// Handle registers a handler for a pattern of http.ServeMux.
func (h *Handler) Handle(pattern string, handler http.Handler) {
	h.mux.Handle(pattern, handler)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	io.WriteString(w, "ok\n")
}

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.options.Status().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (h *Handler) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.options.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (h *Handler) serveStatus(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, h.options.Status())
}

// WriteJSON writes a response with the status code and the value as its JSON body.
func WriteJSON[T any](w http.ResponseWriter, status int, value T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected, and there is no one else to report the error to.
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes a value from the JSON body of a request. Unknown fields are an error.
func ReadJSON[T any](body io.Reader) (T, error) {
	var value T
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	return value, err
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	// Code identifies the error for programs.
	Code string
	// Message describes the error for operators.
	Message string
}

// WriteError writes an error response with the status code and an ErrorResponse as its body.
func WriteError(w http.ResponseWriter, status int, code, message string) {
	WriteJSON(w, status, ErrorResponse{Code: code, Message: message})
}
