// Package conns opens and accepts TCP connections that notice a silent peer.
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
	// DialTimeout bounds the time until a connection is established. Peers are a
	// few milliseconds away; a lost opening packet is sent again after a second.
	DialTimeout = 1200 * time.Millisecond
	// SilenceTimeout is the time after which a connection fails whose peer
	// acknowledges nothing, neither data nor keep-alive probes.
	SilenceTimeout = 4 * time.Second
	// probeInterval and probeCount have an idle connection probed often enough to
	// fail within SilenceTimeout.
	probeInterval = time.Second
	probeCount    = 3
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// NewDialer returns a dialer of connections that notice a silent peer.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive, Control: control}
}

// Listen accepts connections that notice a silent peer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: control}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// control bounds the time that sent data may stay unacknowledged. An accepted
// connection inherits the option from its listener.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
