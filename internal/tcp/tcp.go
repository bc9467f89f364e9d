// Package tcp opens TCP connections with small kernel buffers, so that backpressure
// from a slow reader takes effect early and the kernel buffers little data.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// BufferBytes is the requested size of socket buffers; the kernel doubles it for its
// own bookkeeping. A response passes two of them, from the engine and to the caller,
// which then hold 32 KiB, half of the buffer limit of a response.
const BufferBytes = 8 << 10

const dialTimeout = 2 * time.Second

// Listen listens on an IP:port. Accepted connections inherit the small send buffer.
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
