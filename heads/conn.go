package heads

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"filberttrack.example/track"
)

// maxBytes limits the size of the heads that are checked.
const maxBytes = 64 << 10

var (
	errTooLong = errors.New("the head is too long")
	errUnasked = errors.New("the response came before its request")
	errNoFile  = errors.New("the connection has no file descriptor")
)

// conn is a connection that checks the heads of responses with checkRaw as they are read.
type conn struct {
	net.Conn

	mu sync.Mutex
	// requests is the number of requests, and heads that of the heads of final responses read.
	requests, heads int
	// pending is the first part of a head that isn't complete.
	pending []byte
	// err says what is wrong with a head; no further one is checked then.
	err error
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	file, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoFile
	}
	return file.SyscallConn()
}

// addRequest makes the connection expect another response.
func (c *conn) addRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
}

// responseErr returns what is wrong with the head of the response to the last request.
func (c *conn) responseErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && c.heads < c.requests {
		return track.Fail(opCheck, InvalidFraming, errUnasked)
	}
	return c.err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	// A server may respond before it has the first request.
	if n > 0 && c.err == nil && c.heads < max(c.requests, 1) {
		c.check(p[:n])
	}
	return n, err
}

// check checks the heads up to that of a final response in data that has been read.
func (c *conn) check(data []byte) {
	if len(c.pending) > 0 {
		c.pending = append(c.pending, data...)
		data = c.pending
	}
	for c.err == nil {
		n := headLen(data)
		if n == 0 {
			break
		}
		c.err = checkRaw(data[:n])
		if !isInterim(data[:n]) {
			c.heads++
			c.pending = nil
			return
		}
		data = data[n:]
	}
	if len(data) > 0 && data[0] != 'H' {
		// These are no heads, such as the records of TLS.
		c.err = track.Fail(opCheck, InvalidFraming, errNotHTTP1)
	} else if len(data) > maxBytes {
		c.err = track.Fail(opCheck, InvalidFraming, errTooLong)
	}
	if c.err != nil {
		c.pending = nil
		return
	}
	c.pending = append(c.pending[:0], data...)
}
