package heads

import (
	"errors"
	"io"
	"net"
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

// A request of which nothing could be written fails at once, so that net/http sends it on another connection.
func TestWriteOfARequestOnAResetConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	c := newConn(dialed)
	defer c.Close()
	server, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, server.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, server.Close())
	c.addRequest(0)
	_, err = c.Write([]byte("GET /status/1 HTTP/1.1\r\n\r\n"))
	assert.Assert(t, isReset(err), "%v", err)
}

// net/http has to know a kept connection that ends before a response by io.EOF.
func TestEndBeforeTheResponse(t *testing.T) {
	for _, c := range []struct {
		name, response string
		want           error
	}{{"no response", "", io.EOF}, {"half a head", soundHead[:9], io.EOF}, {"head", soundHead, io.ErrUnexpectedEOF}} {
		t.Run(c.name, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			checked := newConn(client)
			checked.addRequest(5)
			readInPieces(t, checked, server, c.response)
			server.Close()
			_, err := checked.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			assert.Equal(t, errors.Is(err, io.EOF), errors.Is(c.want, io.EOF), "%v", err)
		})
	}
}
