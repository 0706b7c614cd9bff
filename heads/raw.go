package heads

import (
	"bytes"
	"errors"

	"filberttrack.example/track"
)

var (
	errNotHTTP1        = errors.New("not HTTP/1")
	errChunksInHTTP10  = errors.New("chunks in HTTP/1.0")
	errLengthAndChunks = errors.New("both a length and chunks")
)

// checkRaw returns an error of this package if the bytes of a head leave open where the body ends: if the version of
// HTTP is another one than 1, or if there are chunks in HTTP/1.0 or beside a length (RFC 9112, section 6). The client of
// net/http doesn't say so in the response. checkRaw takes for granted that the client has accepted the head.
func checkRaw(head []byte) error {
	statusLine, fields, _ := bytes.Cut(head, []byte("\n"))
	if !bytes.HasPrefix(statusLine, []byte("HTTP/1.")) {
		return track.Fail(opCheck, InvalidFraming, errNotHTTP1)
	}
	hasLength, hasChunks := false, false
	for line := range bytes.Lines(fields) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		hasChunks = hasChunks || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	switch {
	case hasChunks && bytes.HasPrefix(statusLine, []byte("HTTP/1.0")):
		return track.Fail(opCheck, InvalidFraming, errChunksInHTTP10)
	case hasChunks && hasLength:
		return track.Fail(opCheck, InvalidFraming, errLengthAndChunks)
	}
	return nil
}

// headLen returns the length of the first head in the data, with the empty line that ends it; 0 if it isn't complete.
func headLen(data []byte) int {
	for n := 0; ; {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			return 0
		}
		line := data[n : n+end]
		n += end + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return n
		}
	}
}

// isInterim reports whether the head is that of an interim response, which another one follows.
func isInterim(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}
