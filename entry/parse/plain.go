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

// forwardedHeaders lists the request headers that are forwarded to a plain
// service. The bearer token is not among them.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Traceparent", "Tracestate", "User-Agent"}

// serviceMethods lists the HTTP methods that are accepted for a plain service.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// Plain is the step that parses calls to plain services.
type Plain struct {
	directory track.Directory
	limits    Limits
}

// NewPlain returns a Plain that looks up services and profiles in the
// directory.
func NewPlain(directory track.Directory, limits Limits) *Plain {
	return &Plain{directory: directory, limits: limits}
}

// String implements flow.Step.
func (*Plain) String() string { return "parse service call" }

// Run implements flow.Step. It expects the path values service and path. It
// sets the fields of the call, or returns a *flow.RefusalError with a 4xx
// status.
func (s *Plain) Run(_ context.Context, x *flow.Exchange) error {
	r := x.Request
	if !slices.Contains(serviceMethods, r.Method) {
		return flow.ClientError(http.StatusMethodNotAllowed, "method_not_allowed", "",
			"the method %q is not one of %v", truncate(r.Method), serviceMethods)
	}
	service, ok := s.directory.Service(r.PathValue("service"))
	if !ok {
		return flow.UnknownError(s.directory, http.StatusNotFound, "unknown_service", "",
			"the service %q does not exist", truncate(r.PathValue("service")))
	}
	body, err := readBody(x, s.limits)
	if err != nil {
		return err
	}
	call := &x.Call
	call.Kind = track.PlainCall
	call.Target = service.Name
	call.Method = r.Method
	call.Path = path.Clean("/" + r.PathValue("path"))
	call.Query = r.URL.RawQuery
	call.Header = filterHeaders(r.Header)
	call.Body = body
	call.Fingerprint = fingerprint(call)
	err = setProfile(x, s.directory, service.Profile, s.limits)
	if err != nil {
		return err
	}
	return s.setIdempotency(x)
}

// setIdempotency sets whether the call is non-idempotent, in which case it must
// have an idempotency key.
func (s *Plain) setIdempotency(x *flow.Exchange) error {
	x.Call.NonIdempotent = matchesAny(x.Call.Profile.NonIdempotent, x.Call.Method, x.Call.Path)
	if !x.Call.NonIdempotent {
		return nil
	}
	key := x.Request.Header.Get(flow.HeaderIdempotencyKey)
	if key == "" {
		return flow.ClientError(http.StatusBadRequest, "missing_idempotency_key", flow.HeaderIdempotencyKey,
			"the call %s %s is not idempotent and requires the header %s",
			x.Call.Method, truncate(x.Call.Path), flow.HeaderIdempotencyKey)
	}
	if len(key) > maxKeyBytes {
		return flow.ClientError(http.StatusBadRequest, "invalid_idempotency_key", flow.HeaderIdempotencyKey,
			"the idempotency key is longer than %d bytes", maxKeyBytes)
	}
	x.Call.IdempotencyKey = key
	return nil
}

// matchesAny reports whether a pattern has the method and matches the path. A
// malformed pattern matches nothing.
func matchesAny(patterns []track.CallPattern, method, callPath string) bool {
	return slices.ContainsFunc(patterns, func(p track.CallPattern) bool {
		if p.Method != method {
			return false
		}
		matched, err := path.Match(p.Path, callPath)
		return err == nil && matched
	})
}

// filterHeaders returns the headers that are forwarded.
func filterHeaders(header http.Header) http.Header {
	forwarded := make(http.Header)
	for _, name := range forwardedHeaders {
		if values := header.Values(name); len(values) > 0 {
			forwarded[name] = values
		}
	}
	return forwarded
}

// fingerprint returns a hash of the target, method, path, query and body.
func fingerprint(call *track.Call) uint64 {
	digest := xxhash.New()
	// Writing to a hash never fails.
	_, _ = digest.WriteString(call.Target + "\n" + call.Method + "\n" + call.Path + "\n" + call.Query + "\n")
	_, _ = digest.Write(call.Body)
	return digest.Sum64()
}
