package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"filberttrack.example/track/stand/canned"
)

const (
	// delayPerChunk is the time by which a link with LinkDelay delays each chunk.
	delayPerChunk = 80 * time.Millisecond
	// slowChunkBytes is the number of bytes that a link with LinkSlow forwards in
	// slowChunkTime.
	slowChunkBytes = 64
	slowChunkTime  = 10 * time.Millisecond
)

// Errors of closing connections and listeners are ignored in this file: they are not used
// any more, so it doesn't matter whether they close cleanly.

// Link is a TCP proxy in front of a replica. It listens at a fixed address, forwards connections
// and can inject faults into them. It is safe for concurrent use.
type Link struct {
	address string

	mu sync.Mutex
	// listener is nil while there is no replica, so that the address refuses connections.
	listener net.Listener
	fault    Fault
	server   *http.Server
	target   string
	conns    map[net.Conn]struct{}
	closed   bool
	serving  sync.WaitGroup
}

// NewLink returns a link without a replica, whose address refuses connections.
func NewLink() (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	l := &Link{address: listener.Addr().String(), conns: make(map[net.Conn]struct{})}
	_ = listener.Close()
	return l, nil
}

// Address returns the address at which the link listens.
func (l *Link) Address() string { return l.address }

// SetFault injects a fault into the link. An empty fault ends the one before.
func (l *Link) SetFault(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	if fault == LinkReset {
		l.resetConnections()
	}
}

// state returns the fault of the link and the address of the replica.
func (l *Link) state() (Fault, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.target
}

// resetConnections resets all connections. The caller must hold the lock.
func (l *Link) resetConnections() {
	for conn := range l.conns {
		canned.SetReset(conn)
		_ = conn.Close()
	}
	clear(l.conns)
}

// SetHandler replaces the replica behind the link. With a nil handler the link resets all
// connections and refuses new ones, as if the replica had died.
func (l *Link) SetHandler(handler http.Handler) {
	l.mu.Lock()
	old := l.server
	l.server, l.target = nil, ""
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	l.resetConnections()
	l.mu.Unlock()
	if old != nil {
		old.Close()
	}
	if handler == nil {
		return
	}
	front, err := net.Listen("tcp", l.address)
	if err != nil {
		// Clients then see a dead replica, which the run has to tolerate.
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = front.Close()
		return
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	l.serving.Add(1)
	go func() {
		defer l.serving.Done()
		// Serve returns an error when the server is closed, which is expected.
		_ = server.Serve(listener)
	}()
	l.mu.Lock()
	l.server, l.target, l.listener = server, listener.Addr().String(), front
	l.mu.Unlock()
	l.serving.Add(1)
	go l.accept(front)
}

// Close closes the link and stops the replica behind it.
func (l *Link) Close() {
	l.SetHandler(nil)
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.serving.Wait()
}

func (l *Link) accept(listener net.Listener) {
	defer l.serving.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.serving.Add(1)
		go func() {
			defer l.serving.Done()
			l.forward(conn)
		}()
	}
}

// addConnection registers a connection, so that it can be reset. It returns false if the link
// is closed or has no replica.
func (l *Link) addConnection(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.target == "" {
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) closeConnection(conn net.Conn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	_ = conn.Close()
}

// forward connects to the replica and copies bytes in both directions until one direction ends.
func (l *Link) forward(conn net.Conn) {
	if !l.addConnection(conn) {
		_ = conn.Close()
		return
	}
	defer l.closeConnection(conn)
	_, target := l.state()
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	if !l.addConnection(upstream) {
		_ = upstream.Close()
		return
	}
	defer l.closeConnection(upstream)
	// With more, a long upload would be in the link's hands before its replica has read any of it.
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(linkBufferBytes)
	}
	if tcp, ok := upstream.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(linkBufferBytes)
	}
	ended := make(chan error, 2)
	for _, direction := range [][2]net.Conn{{conn, upstream}, {upstream, conn}} {
		go func() { ended <- l.copyBytes(direction[1], direction[0]) }()
	}
	reset := false
	for range 2 {
		err := <-ended
		// The kernel reports a reset to one of the directions only.
		reset = reset || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		// The end of one direction ends both, as callers send one request per connection.
		_ = conn.SetDeadline(time.Unix(1, 0))
		_ = upstream.SetDeadline(time.Unix(1, 0))
	}
	if reset {
		canned.SetReset(conn)
		canned.SetReset(upstream)
	}
}

// linkBufferBytes is how much the kernel keeps of what a client sends through a link.
const linkBufferBytes = 64 << 10

// waitWhileSilent waits until the fault LinkSilent ends. Bytes on a silent link arrive late and the
// connection stays open, as with packet loss.
func (l *Link) waitWhileSilent() {
	for fault, _ := l.state(); fault == LinkSilent; fault, _ = l.state() {
		time.Sleep(slowChunkTime)
	}
}

// copyBytes copies bytes in one direction and applies the fault of the link. It returns the error with which
// reading or writing ended.
func (l *Link) copyBytes(to, from net.Conn) error {
	buffer := make([]byte, 4<<10)
	for {
		limit := len(buffer)
		if fault, _ := l.state(); fault == LinkSlow {
			limit = slowChunkBytes
		}
		n, err := from.Read(buffer[:limit])
		if n > 0 {
			switch fault, _ := l.state(); fault {
			case LinkDelay:
				time.Sleep(delayPerChunk)
			case LinkSlow:
				time.Sleep(slowChunkTime)
			case LinkSilent:
				l.waitWhileSilent()
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return fmt.Errorf("write: %w", err)
			}
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
	}
}
