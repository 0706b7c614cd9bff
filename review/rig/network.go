package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// The ports of the stand-ins and of the entries. They are the same on all hosts of a network.
const (
	guardPort     = 7999
	storePort     = 7000
	replicaPort   = 7001
	clientsPort   = 7100
	readinessPort = 7101
	controlPort   = 7102
	firstPeerPort = 7110
	lastPeerPort  = 7125
)

// The host numbers of a network.
const (
	guardHost        = 254
	storeHost        = 1
	movedStoreHost   = 2
	firstReplicaHost = 10
	firstLinkHost    = 100
	firstEntryHost   = 150
	firstAgentHost   = 180
)

// network is a loopback network that one run uses. Runs at the same time have different ones.
type network struct {
	number int
	guard  net.Listener
}

// reserveNetwork reserves a free loopback network.
func reserveNetwork() (*network, error) {
	var err error
	for range 50 {
		number := 30 + rand.IntN(200)
		var guard net.Listener
		guard, err = net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:%d", number, guardHost, guardPort))
		if err == nil {
			return &network{number: number, guard: guard}, nil
		}
	}
	return nil, fmt.Errorf("reserve a loopback network: %w", err)
}

// ip returns the address of a host of the network.
func (n *network) ip(host int) string {
	return fmt.Sprintf("127.77.%d.%d", n.number, host)
}

// link is a TCP proxy between one entry and the platform's store. While it is cut, it resets all
// connections.
type link struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

// newLink returns a link that listens at an address and forwards to the target.
func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for a link: %w", err)
	}
	l := &link{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

// forward connects the caller's connection with the target until one of them ends.
func (l *link) forward(conn net.Conn) {
	if !l.add(conn) {
		reset(conn)
		return
	}
	defer l.remove(conn)
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	if !l.add(target) {
		reset(target)
		return
	}
	defer l.remove(target)
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		// Either side may close the connection at any time.
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pipe(target, conn)
	go pipe(conn, target)
	<-done
}

// add keeps track of a connection. It returns false while the link is cut.
func (l *link) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut {
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *link) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

// setCut cuts the link or ends the cut.
func (l *link) setCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	if isCut {
		for conn := range l.conns {
			reset(conn)
		}
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
