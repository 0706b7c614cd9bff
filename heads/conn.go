package heads

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"filberttrack.example/track"
	"filberttrack.example/track/conns"
)

// maxBytes limits the size of the heads that are checked.
const maxBytes = 64 << 10

var (
	errTooLong = errors.New("the head is too long")
	errUnasked = errors.New("the response came before its request")
	errNoFile  = errors.New("the connection has no file descriptor")
)

// conn is a connection that checks the heads of responses with checkRaw as they are read, and that tells responses that
// end with the connection from those that break off.
type conn struct {
	net.Conn

	// writing is held while bytes are written, and guards upload and writeErr.
	writing sync.Mutex
	// upload is the last request; nil before the first one.
	upload *upload
	// writeErr is the error of the write that failed.
	writeErr error
	// readsEnded is closed once nothing more can be read.
	readsEnded chan struct{}
	endOnce    sync.Once

	mu sync.Mutex
	// requests is the number of requests, and heads that of the heads of final responses read.
	requests, heads int
	// pending is the first part of a head that isn't complete.
	pending []byte
	// err says what is wrong with a head; no further one is checked then.
	err error
}

func newConn(dialed net.Conn) *conn {
	return &conn{Conn: dialed, readsEnded: make(chan struct{})}
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	file, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoFile
	}
	return file.SyscallConn()
}

// addRequest makes the connection expect another request, with a body of the given length in bytes or of unknownLength,
// and its response.
func (c *conn) addRequest(bodyLength int64) {
	c.writing.Lock()
	c.upload = newUpload(bodyLength)
	c.writing.Unlock()
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

// Write implements net.Conn. If the server resets the connection in the middle of a request, Write fails once all that the
// server sent before has been read. net/http would drop a response that hasn't been read when Write fails.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if isReset(err) && c.uploading() {
		<-c.readsEnded
	}
	return n, err
}

func (c *conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.upload != nil {
		c.upload.add(p[:n])
	}
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// isReset reports whether a write failed because the server has reset the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// uploading reports whether a part of a request was written.
func (c *conn) uploading() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.upload != nil && c.upload.begun
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.endReads()
	return c.Conn.Close()
}

func (c *conn) endReads() {
	c.endOnce.Do(func() { close(c.readsEnded) })
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.endReads()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// A server may respond before it has the first request.
	if n > 0 && c.err == nil && c.heads < max(c.requests, 1) {
		c.check(p[:n])
	}
	// Before the head of a response, an end of the data is no response in any case, and net/http has to see it as it is:
	// it sends some requests on kept connections again.
	if errors.Is(err, io.EOF) && c.heads >= c.requests {
		err = c.endErr()
	}
	return n, err
}

// endErr returns io.EOF if the data that the connection has read ended in order. The kernel reports a reset only once: if
// a write in progress gets it, a read finds io.EOF, and a response that ends with its connection looks complete. So it is
// complete only if the server had received its whole request by then.
func (c *conn) endErr() error {
	// The server has left, so a write in progress may wait for it without end.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	cause := c.writeErr
	if cause == nil && (c.upload == nil || c.upload.complete()) && !c.hasUnreceived() {
		return io.EOF
	}
	if cause == nil || errors.Is(cause, os.ErrDeadlineExceeded) {
		cause = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("the connection ended before its request was received: %w", cause)
}

// hasUnreceived reports whether some of what was written had not reached the server when it ended the connection, which
// acknowledges all that had.
func (c *conn) hasUnreceived() bool {
	bytes, err := conns.Unacknowledged(c)
	// Connections that the kernel knows nothing of have no such bytes.
	return err == nil && bytes > 0
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
