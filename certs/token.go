package certs

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"filberttrack.example/track"
)

// minTokenBytes is the shortest token that is accepted.
const minTokenBytes = 16

// Token guards the admin calls that change something. It holds a hash only.
type Token struct {
	digest [sha256.Size]byte
	set    bool
}

// NoToken returns a guard that refuses every call.
func NoToken() *Token {
	return &Token{}
}

// ReadToken reads the token from a file; white space around it is left out.
func ReadToken(file string) (*Token, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, track.Fail("read token file "+file, BadFile, err)
	}
	token := bytes.TrimSpace(data)
	if len(token) < minTokenBytes {
		return nil, track.Fail("use token file "+file, BadFile, fmt.Errorf("the token has under %d bytes", minTokenBytes))
	}
	return &Token{digest: sha256.Sum256(token), set: true}, nil
}

// ParseTokenHash returns the guard for a token of which the hexadecimal SHA-256
// is given.
func ParseTokenHash(text string) (*Token, error) {
	digest, err := hex.DecodeString(text)
	if err != nil || len(digest) != sha256.Size {
		return nil, track.Fail("use token hash", BadFile, errors.New("it is no hexadecimal SHA-256"))
	}
	return &Token{digest: [sha256.Size]byte(digest), set: true}, nil
}

// Allows reports whether the value of an Authorization header carries the token.
// The time it takes does not depend on the token.
func (t *Token) Allows(authorization string) bool {
	token, bearer := strings.CutPrefix(authorization, "Bearer ")
	digest := sha256.Sum256([]byte(token))
	equal := subtle.ConstantTimeCompare(digest[:], t.digest[:]) == 1
	return equal && bearer && t.set
}

// Guard returns a handler that passes on calls which carry the token, and
// answers others with 401.
func (t *Token) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.Allows(r.Header.Get("Authorization")) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "this call needs the admin token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// String keeps the hash out of logs.
func (*Token) String() string { return "redacted" }

// GoString keeps the hash out of logs.
func (*Token) GoString() string { return "redacted" }
