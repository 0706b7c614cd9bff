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

// errorWriter writes the error response for a refused request.
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

// serviceError is the error body for calls to plain services. Its JSON keys are
// the names of its fields.
type serviceError struct {
	Code    string
	Message string
	Param   string `json:",omitempty"`
	Outcome string
}

func writeModelError(w http.ResponseWriter, r *flow.RefusalError) {
	detail := modelErrorDetail{Message: r.Message, Type: modelErrorType(r.Status), Code: r.Code}
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
		header.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	w.WriteHeader(r.Status)
	// A write error means that the caller has disconnected; nothing is left to do.
	_ = json.NewEncoder(w).Encode(body)
}

// retryAfterSeconds returns the value of the Retry-After header, in whole
// seconds, rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// modelErrorType returns the error type of the chat-completions API for a
// status.
func modelErrorType(status int) string {
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
	return flow.ClientError(http.StatusMethodNotAllowed, "method_not_allowed", "",
		"the path %s accepts only %s", r.URL.Path, strings.Join(methods, ", "))
}
