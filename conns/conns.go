// Package conns opens and accepts TCP connections that fail soon after the peer stops
// responding.
package conns

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout is the longest time to wait for a connection to be established. Peers
	// are a few milliseconds away, but a lost SYN packet is sent again only after a
	// second.
	DialTimeout = 1200 * time.Millisecond
	// UserTimeout is the time after which a connection fails if its peer acknowledges
	// neither data nor keep-alive probes.
	UserTimeout = 4 * time.Second
	// keepAliveInterval and keepAliveCount make the keep-alive probes of an idle
	// connection frequent enough for it to fail within UserTimeout.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
}

// NewDialer returns a dialer whose connections use keep-alive probes and UserTimeout.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen listens on a TCP address. The accepted connections use keep-alive probes and
// UserTimeout.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// setUserTimeout limits the time that sent data may stay unacknowledged. An accepted
// connection inherits the option from its listener.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
