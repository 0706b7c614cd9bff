// Package ident provides the step that authenticates the client account of a
// request.
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

// scheme is the authentication scheme of client accounts, with the space after
// it.
const scheme = "Bearer "

// Step looks up the client account by its bearer token.
type Step struct {
	directory track.Directory
}

// New returns a Step that looks up accounts in the directory.
func New(directory track.Directory) *Step {
	return &Step{directory: directory}
}

// String implements flow.Step.
func (*Step) String() string { return "identify client account" }

// Run implements flow.Step. It sets the account of the call, or refuses the
// request with status 401.
func (s *Step) Run(_ context.Context, x *flow.Exchange) error {
	header := x.Request.Header.Get("Authorization")
	if header == "" {
		return flow.ClientError(http.StatusUnauthorized, "missing_token", "Authorization",
			"the request needs the header Authorization: Bearer TOKEN")
	}
	if len(header) < len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return flow.ClientError(http.StatusUnauthorized, "invalid_token", "Authorization",
			"the header Authorization must use the scheme Bearer")
	}
	account, ok := s.directory.Account(TokenSHA256(strings.TrimSpace(header[len(scheme):])))
	if !ok {
		return flow.UnknownError(s.directory, http.StatusUnauthorized, "invalid_token", "Authorization",
			"no client account has this bearer token")
	}
	x.Call.Account = account
	return nil
}

// TokenSHA256 returns the hexadecimal SHA-256 of a token. The configuration
// holds this hash instead of the token.
func TokenSHA256(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
