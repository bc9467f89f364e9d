package tcp

import (
	"io"
	"net"
	"syscall"
)

// Peek looks for received bytes of a connection without removing them and without waiting, also
// while another goroutine reads from it. It returns nil if there are any, syscall.EAGAIN if not,
// io.EOF if the other end has closed the connection, and otherwise the error of the connection.
func Peek(c net.Conn) error {
	raw, err := rawConn(c)
	if err != nil {
		return err
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return err
	case recvErr != nil:
		return recvErr
	case n == 0:
		return io.EOF
	}
	return nil
}
