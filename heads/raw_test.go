package heads

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
)

func TestRawHeads(t *testing.T) {
	for _, c := range []struct {
		head  string
		valid bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\n\r\n", true},
		{"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n", true},
		{"HTTP/1.0 200 OK\n\n", true},
		{"HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Note: Transfer-Encoding: chunked\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Note: a\r\n Transfer-Encoding: chunked\r\n\r\n", true},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"HTTP/1.0 200 OK\ntransfer-encoding: chunked\n\n", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nTRANSFER-ENCODING:chunked\r\ncontent-length:2\r\n\r\n", false},
		{"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n", false},
		{"HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\n", false},
	} {
		err := checkRaw([]byte(c.head))
		assert.Equal(t, err == nil, c.valid, "%q: %v", c.head, err)
		assert.Equal(t, track.IsKind(err, InvalidFraming), !c.valid)
	}
}

// readInPieces makes a connection read the data in pieces of the given sizes and the rest at once.
func readInPieces(t require, c *conn, server net.Conn, data string, sizes ...int) {
	for len(data) > 0 {
		n := len(data)
		if len(sizes) > 0 {
			n, sizes = min(n, sizes[0]), sizes[1:]
		}
		sent := make(chan error, 1)
		go func() {
			_, err := server.Write([]byte(data[:n]))
			sent <- err
		}()
		for read := 0; read < n; {
			k, err := c.Read(make([]byte, n))
			assert.NilError(t, err)
			read += k
		}
		assert.NilError(t, <-sent)
		data = data[n:]
	}
}

// require is a test, or a run of a property test.
type require interface {
	assert.TestingT
	Helper()
}

const (
	soundHead   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	interimHead = "HTTP/1.1 103 Early Hints\r\nX-Note: a\r\n\r\n"
	brokenHead  = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// The verdict on responses doesn't depend on the pieces in which they arrive.
func TestHeadsInPieces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		client, server := net.Pipe()
		defer client.Close()
		defer server.Close()
		c := newConn(client)
		for range rapid.IntRange(1, 3).Draw(rt, "responses") {
			interims := strings.Repeat(interimHead, rapid.IntRange(0, 2).Draw(rt, "interims"))
			head := rapid.SampledFrom([]string{soundHead, brokenHead}).Draw(rt, "head")
			body := rapid.SampledFrom([]string{"", "ok", brokenHead}).Draw(rt, "body")
			c.addRequest(0)
			readInPieces(rt, c, server, interims+head+body, rapid.SliceOf(rapid.IntRange(1, 20)).Draw(rt, "sizes")...)
			assert.Equal(rt, c.responseErr() != nil, head == brokenHead)
			if head == brokenHead {
				return
			}
		}
	})
}

// A response that has come before its request is checked on a new connection, and refused on one that was used before.
func TestHeadBeforeItsRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		used   bool
		head   string
		refuse bool
	}{
		{"new, sound", false, soundHead, false},
		{"new, broken", false, brokenHead, true},
		{"used, sound", true, soundHead, true},
		{"used, broken", true, brokenHead, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			defer server.Close()
			checked := newConn(client)
			if c.used {
				checked.addRequest(0)
				readInPieces(t, checked, server, soundHead)
			}
			readInPieces(t, checked, server, c.head)
			checked.addRequest(0)
			assert.Equal(t, checked.responseErr() != nil, c.refuse)
		})
	}
}

// A head without end, and bytes that are no head, are given up.
func TestBytesThatAreNoHead(t *testing.T) {
	for _, c := range []struct{ name, data string }{
		{"endless head", soundHead[:len(soundHead)-2] + strings.Repeat("X-Note: a\r\n", maxBytes/10)},
		{"endless line", "HTTP/1.1 200 OK" + strings.Repeat("x", maxBytes)},
		{"no head", "\x16\x03\x01\x02"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			defer server.Close()
			checked := newConn(client)
			checked.addRequest(0)
			readInPieces(t, checked, server, c.data)
			assert.Assert(t, track.IsKind(checked.responseErr(), InvalidFraming))
			assert.Equal(t, len(checked.pending), 0)
		})
	}
}

// Where net/http reads a head, this package reads the same one.
func FuzzHead(f *testing.F) {
	for _, head := range []string{soundHead, interimHead, brokenHead, "HTTP/1.1  100\n\n", "HTTP/1.1 +10 \r\nA:\r\n b\n\r\n"} {
		f.Add([]byte(head + "ok"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		n := headLen(data)
		assert.Equal(t, n, len(data)-source.Len()-reader.Buffered(), "%q", data)
		interim := response.StatusCode/100 == 1 && response.StatusCode != http.StatusSwitchingProtocols
		assert.Equal(t, isInterim(data[:n]), interim, "%q", data)
	})
}
