package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"filberttrack.example/track/entry/flow"
)

// errorWriter writes the answer to a refused request.
type errorWriter func(w http.ResponseWriter, r *flow.RefusalError)

// modelError is the error body of the chat-completions API.
type modelError struct {
	Error modelErrorDetail `json:"error"`
}

type modelErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// serviceError is the error body for calls to plain services.
type serviceError struct {
	Code    string
	Message string
	Param   string `json:",omitempty"`
	Outcome string
}

func writeModelError(w http.ResponseWriter, r *flow.RefusalError) {
	detail := modelErrorDetail{Message: r.Message, Type: errorType(r.Status), Code: r.Code}
	if r.Param != "" {
		detail.Param = &r.Param
	}
	writeRefusal(w, r, modelError{Error: detail})
}

func writeServiceError(w http.ResponseWriter, r *flow.RefusalError) {
	writeRefusal(w, r, serviceError{
		Code:    r.Code,
		Message: r.Message,
		Param:   r.Param,
		Outcome: r.Outcome.String(),
	})
}

func writeRefusal(w http.ResponseWriter, r *flow.RefusalError, body any) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(flow.HeaderOutcome, r.Outcome.String())
	if r.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter(r.RetryAfter))
	}
	w.WriteHeader(r.Status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(body)
}

// retryAfter returns whole seconds, rounded up.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// errorType returns the API's error type for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

func checkMethod(r *http.Request, methods []string) error {
	if len(methods) == 0 || slices.Contains(methods, r.Method) {
		return nil
	}
	return flow.Invalid(http.StatusMethodNotAllowed, "method_not_allowed", "",
		"the path %s takes %s only", r.URL.Path, strings.Join(methods, ", "))
}
