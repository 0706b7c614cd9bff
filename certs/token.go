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

// minTokenBytes is the length of the shortest token that is accepted.
const minTokenBytes = 16

// Token checks the bearer token of admin calls that change something. It stores only the
// SHA-256 of the token.
type Token struct {
	digest [sha256.Size]byte
	// configured is false if there is no token, so that every call is refused.
	configured bool
}

// RefuseAll returns a Token that refuses every call.
func RefuseAll() *Token {
	return &Token{}
}

// ReadToken reads the token from a file and trims the white space around it. It returns
// an Error of kind BadFile if the file cannot be read or the token is shorter than 16
// bytes.
func ReadToken(file string) (*Token, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, track.Fail("read token file "+file, BadFile, err)
	}
	token := bytes.TrimSpace(data)
	if len(token) < minTokenBytes {
		return nil, track.Fail("load token from "+file, BadFile, fmt.Errorf("the token is shorter than %d bytes", minTokenBytes))
	}
	return &Token{digest: sha256.Sum256(token), configured: true}, nil
}

// ParseTokenHash returns the Token for the hexadecimal SHA-256 of a token. It returns an
// Error of kind BadFile if the hash is malformed.
func ParseTokenHash(hash string) (*Token, error) {
	digest, err := hex.DecodeString(hash)
	if err != nil || len(digest) != sha256.Size {
		return nil, track.Fail("parse token hash", BadFile, errors.New("not a hexadecimal SHA-256"))
	}
	return &Token{digest: [sha256.Size]byte(digest), configured: true}, nil
}

// Allows reports whether the value of an Authorization header contains the token. The
// comparison takes constant time, so that its duration reveals nothing about the token.
func (t *Token) Allows(authorization string) bool {
	token, isBearer := strings.CutPrefix(authorization, "Bearer ")
	digest := sha256.Sum256([]byte(token))
	equal := subtle.ConstantTimeCompare(digest[:], t.digest[:]) == 1
	return equal && isBearer && t.configured
}

// RequireToken returns a handler that passes calls with the token on to the next handler and
// rejects all others with status 401.
func (t *Token) RequireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.Allows(r.Header.Get("Authorization")) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "this call requires the admin token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// String implements fmt.Stringer. It keeps the hash out of logs.
func (*Token) String() string { return "redacted" }

// GoString implements fmt.GoStringer. It keeps the hash out of logs.
func (*Token) GoString() string { return "redacted" }
