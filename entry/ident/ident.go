// Package ident provides the step that finds the client account of a request.
package ident

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"filberttrack.example/track"
	"filberttrack.example/track/entry/flow"
)

// scheme is the authentication scheme of client accounts.
const scheme = "Bearer "

// Step finds the client account by its bearer token.
type Step struct {
	directory track.Directory
}

// New returns the step.
func New(directory track.Directory) *Step {
	return &Step{directory: directory}
}

// String returns the name of the step.
func (*Step) String() string { return "identify client account" }

// Run implements flow.Step.
func (s *Step) Run(_ context.Context, x *flow.Exchange) error {
	header := x.Request.Header.Get("Authorization")
	if header == "" {
		return flow.Invalid(http.StatusUnauthorized, "missing_token", "Authorization",
			"the request needs the header Authorization: Bearer TOKEN")
	}
	if len(header) < len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return flow.Invalid(http.StatusUnauthorized, "invalid_token", "Authorization",
			"the header Authorization must use the scheme Bearer")
	}
	account, ok := s.directory.Account(Digest(strings.TrimSpace(header[len(scheme):])))
	if !ok {
		return flow.Invalid(http.StatusUnauthorized, "invalid_token", "Authorization",
			"no client account has this bearer token")
	}
	x.Call.Account = account
	return nil
}

// Digest returns the hexadecimal SHA-256 under which a token is configured.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
