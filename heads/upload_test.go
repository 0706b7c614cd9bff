package heads

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A request is complete with the last byte of its body, in whichever pieces it is written.
func TestUploadInPieces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		body := strings.Repeat(rapid.SampledFrom([]string{"x", "\r\n\r\n"}).Draw(rt, "text"), rapid.IntRange(0, 10).Draw(rt, "times"))
		request := "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\n\r\n" + body
		u := newUpload(int64(len(body)))
		for left := request; left != ""; {
			assert.Assert(rt, !u.complete(), "%q is left", left)
			n := rapid.IntRange(1, len(left)).Draw(rt, "size")
			u.add([]byte(left[:n]))
			left = left[n:]
		}
		assert.Assert(rt, u.complete())
	})
}

func TestUploadOfUnknownLength(t *testing.T) {
	u := newUpload(unknownLength)
	u.add([]byte("POST /book/1 HTTP/1.1\r\n"))
	assert.Assert(t, !u.complete())
	u.add([]byte("\r\n5\r\nbales"))
	assert.Assert(t, u.complete())
}
