package parse

import (
	"context"
	"net/http"
	"path"
	"slices"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// passedHeaders lists the callers' headers that reach a plain service. The
// bearer token is not among them.
var passedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Traceparent", "Tracestate", "User-Agent"}

// serviceMethods lists the methods that a plain service may be called with.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// Plain checks a call to a plain service.
type Plain struct {
	directory track.Directory
	limits    Limits
}

// NewPlain returns the step for calls to plain services.
func NewPlain(directory track.Directory, limits Limits) *Plain {
	return &Plain{directory: directory, limits: limits}
}

// String returns the name of the step.
func (*Plain) String() string { return "parse service call" }

// Run implements flow.Step. It expects the path values service and path.
func (s *Plain) Run(_ context.Context, x *flow.Exchange) error {
	r := x.Request
	if !slices.Contains(serviceMethods, r.Method) {
		return flow.Invalid(http.StatusMethodNotAllowed, "method_not_allowed", "",
			"the method %q is not one of %v", clip(r.Method), serviceMethods)
	}
	service, ok := s.directory.Service(r.PathValue("service"))
	if !ok {
		return flow.Invalid(http.StatusNotFound, "unknown_service", "",
			"the service %q does not exist", clip(r.PathValue("service")))
	}
	body, err := readBody(x, s.limits)
	if err != nil {
		return err
	}
	call := &x.Call
	call.Kind = track.Plain
	call.Target = service.Name
	call.Method = r.Method
	call.Path = path.Clean("/" + r.PathValue("path"))
	call.Query = r.URL.RawQuery
	call.Header = passHeaders(r.Header)
	call.Body = body
	call.Fingerprint = fingerprint(call)
	err = chooseProfile(x, s.directory, service.Profile, s.limits)
	if err != nil {
		return err
	}
	return s.idempotency(x)
}

// idempotency decides whether the call may be repeated.
func (s *Plain) idempotency(x *flow.Exchange) error {
	x.Call.NonIdempotent = matchesAny(x.Call.Profile.NonIdempotent, x.Call.Method, x.Call.Path)
	if !x.Call.NonIdempotent {
		return nil
	}
	key := x.Request.Header.Get(flow.HeaderIdempotency)
	if key == "" {
		return flow.Invalid(http.StatusBadRequest, "missing_idempotency_key", flow.HeaderIdempotency,
			"the call %s %s must not be repeated and needs the header %s",
			x.Call.Method, clip(x.Call.Path), flow.HeaderIdempotency)
	}
	if len(key) > maxKeyBytes {
		return flow.Invalid(http.StatusBadRequest, "invalid_idempotency_key", flow.HeaderIdempotency,
			"the idempotency key is longer than %d bytes", maxKeyBytes)
	}
	x.Call.IdempotencyKey = key
	return nil
}

func matchesAny(patterns []track.CallPattern, method, callPath string) bool {
	return slices.ContainsFunc(patterns, func(p track.CallPattern) bool {
		if p.Method != method {
			return false
		}
		matched, err := path.Match(p.Path, callPath)
		return err == nil && matched
	})
}

func passHeaders(from http.Header) http.Header {
	to := make(http.Header)
	for _, name := range passedHeaders {
		if values := from.Values(name); len(values) > 0 {
			to[name] = values
		}
	}
	return to
}

func fingerprint(call *track.Call) uint64 {
	digest := xxhash.New()
	// A hash never fails to take bytes.
	_, _ = digest.WriteString(call.Target + "\n" + call.Method + "\n" + call.Path + "\n" + call.Query + "\n")
	_, _ = digest.Write(call.Body)
	return digest.Sum64()
}
