// Package tcp opens TCP connections with small kernel buffers, so that back
// pressure from a slow reader arrives early and the kernel holds little.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// BufferBytes is the size asked for socket buffers; the kernel doubles it for
// its own bookkeeping. The two buffers on an answer's way, from the engine and
// to the caller, then hold 32 KiB, half of what an answer may hold.
const BufferBytes = 8 << 10

const dialTimeout = 2 * time.Second

// Listen listens at an IP address and port. Accepted connections inherit the
// small send buffer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setBuffer(syscall.SO_SNDBUF)}
	return config.Listen(ctx, "tcp", address)
}

// Dialer returns a dialer whose connections have a small receive buffer.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, Control: setBuffer(syscall.SO_RCVBUF)}
}

func setBuffer(option int) func(_, _ string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, BufferBytes)
		})
		return errors.Join(err, sockErr)
	}
}
