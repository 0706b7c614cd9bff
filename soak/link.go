package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// delayTime is what a delayed link adds to each piece.
	delayTime = 80 * time.Millisecond
	// slowBytes is the number of bytes that a slow link passes in slowTime.
	slowBytes = 64
	slowTime  = 10 * time.Millisecond
)

// Connections and listeners that are closed here are of no more use; whether they close
// in order doesn't matter.

// Link is the way to a replica: it listens at a fixed address, passes connections on
// and disturbs them. It is safe for concurrent use.
type Link struct {
	listener net.Listener

	mu      sync.Mutex
	fault   Fault
	server  *http.Server
	target  string
	conns   map[net.Conn]struct{}
	closed  bool
	serving sync.WaitGroup
}

// NewLink returns a link to nobody.
func NewLink() (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	l := &Link{listener: listener, conns: make(map[net.Conn]struct{})}
	l.serving.Add(1)
	go l.accept()
	return l, nil
}

// Address returns the address of the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set disturbs the link, or ends its disturbance with an empty fault.
func (l *Link) Set(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	if fault == LinkReset {
		l.breakAll()
	}
}

func (l *Link) state() (Fault, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.target
}

// breakAll resets all connections. The caller holds the lock.
func (l *Link) breakAll() {
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A reset in place of an orderly end; if it fails, the end is orderly.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(l.conns)
}

// Handle has another replica serve at the address; nil has nobody serve there, as if
// the replica had died.
func (l *Link) Handle(handler http.Handler) {
	l.mu.Lock()
	old := l.server
	l.server, l.target = nil, ""
	l.breakAll()
	l.mu.Unlock()
	if old != nil {
		old.Close()
	}
	if handler == nil {
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		// Clients then see a dead replica, which a run must bear.
		return
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	l.serving.Add(1)
	go func() {
		defer l.serving.Done()
		// It ends when it is closed.
		_ = server.Serve(listener)
	}()
	l.mu.Lock()
	l.server, l.target = server, listener.Addr().String()
	l.mu.Unlock()
}

// Close ends the link and what it leads to.
func (l *Link) Close() {
	l.Handle(nil)
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
	l.serving.Wait()
}

func (l *Link) accept() {
	defer l.serving.Done()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.serving.Add(1)
		go func() {
			defer l.serving.Done()
			l.pass(conn)
		}()
	}
}

// keep remembers a connection, so that it can be broken. It reports false if the link
// leads nowhere any more.
func (l *Link) keep(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.target == "" {
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) drop(conn net.Conn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	_ = conn.Close()
}

func (l *Link) pass(conn net.Conn) {
	if !l.keep(conn) {
		_ = conn.Close()
		return
	}
	defer l.drop(conn)
	_, target := l.state()
	other, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	if !l.keep(other) {
		_ = other.Close()
		return
	}
	defer l.drop(other)
	ended := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{conn, other}, {other, conn}} {
		go func() {
			l.copy(way[1], way[0])
			ended <- struct{}{}
		}()
	}
	// One way's end ends both: callers send one request on a connection.
	<-ended
	_ = conn.Close()
	_ = other.Close()
	<-ended
}

// awaitWords waits until the link isn't silent any more: what is lost on the way comes
// later, and the connection stays.
func (l *Link) awaitWords() {
	for fault, _ := l.state(); fault == LinkSilent; fault, _ = l.state() {
		time.Sleep(slowTime)
	}
}

// copy passes bytes on one way, as the link's state has it.
func (l *Link) copy(to, from net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		limit := len(buffer)
		if fault, _ := l.state(); fault == LinkSlow {
			limit = slowBytes
		}
		n, err := from.Read(buffer[:limit])
		if n > 0 {
			switch fault, _ := l.state(); fault {
			case LinkDelay:
				time.Sleep(delayTime)
			case LinkSlow:
				time.Sleep(slowTime)
			case LinkSilent:
				l.awaitWords()
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
