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
	// LongPollTimeout takes the place of UserTimeout for connections that wait idle for
	// news. Nothing is lost if one of them fails too early: the poll is repeated.
	LongPollTimeout = 2 * time.Second
	// keepAliveInterval is the time between two keep-alive probes of an idle connection, the
	// shortest that the kernel offers. An idle connection fails when the first probe after the
	// user timeout is due.
	keepAliveInterval = time.Second
)

// NewDialer returns a dialer whose connections use keep-alive probes and UserTimeout.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAliveFor(UserTimeout), Control: setUserTimeout(UserTimeout)}
}

// NewLongPollDialer returns a dialer like NewDialer, with LongPollTimeout in place of
// UserTimeout.
func NewLongPollDialer() *net.Dialer {
	dialer := NewDialer()
	dialer.KeepAliveConfig, dialer.Control = keepAliveFor(LongPollTimeout), setUserTimeout(LongPollTimeout)
	return dialer
}

// keepAliveFor returns the keep-alive probes with which an idle connection fails after the given
// time without an answer.
func keepAliveFor(userTimeout time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: int(userTimeout/keepAliveInterval) - 1,
	}
}

// Listen listens on a TCP address. The accepted connections use keep-alive probes and
// UserTimeout.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveFor(UserTimeout), Control: setUserTimeout(UserTimeout)}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// setUserTimeout returns a control function that limits the time for which sent data and
// keep-alive probes may stay unacknowledged. An accepted connection inherits the option from
// its listener.
func setUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// Unacknowledged returns the number of bytes written to a TCP connection that its peer hasn't acknowledged. It works until
// the connection is closed, also after the peer has ended it.
func Unacknowledged(conn syscall.Conn) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var bytes int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { bytes, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0, err
	}
	return bytes, ioctlErr
}
