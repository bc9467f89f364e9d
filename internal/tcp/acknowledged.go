package tcp

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// AwaitAcknowledged polls the state of a connection at pauses between these.
const (
	minAckPoll = 200 * time.Microsecond
	maxAckPoll = 20 * time.Millisecond
)

// AwaitAcknowledged waits until the other end has acknowledged all that was written to a connection.
// It returns an error if the connection has been reset, or is closed meanwhile.
//
// It tells whether the end of a stream that a read has reported is in order: the kernel reports a
// reset to one call only, and if that is a write, reads see an ordinary end.
func AwaitAcknowledged(c net.Conn) error {
	raw, err := rawConn(c)
	if err != nil {
		return err
	}
	for pause := minAckPoll; ; pause = min(2*pause, maxAckPoll) {
		info, err := connInfo(raw)
		switch {
		case err != nil:
			return fmt.Errorf("read the state of the connection: %w", err)
		case info.State == unix.BPF_TCP_CLOSE:
			return syscall.ECONNRESET
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		}
		time.Sleep(pause)
	}
}

// wrapper is a connection that passes its bytes on to another one.
type wrapper interface{ NetConn() net.Conn }

// rawConn returns the socket of a connection, which may be wrapped.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	for {
		w, ok := c.(wrapper)
		if !ok {
			break
		}
		c = w.NetConn()
	}
	conn, ok := c.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return conn.SyscallConn()
}

// connInfo returns what the kernel tells of a TCP connection.
func connInfo(raw syscall.RawConn) (info *unix.TCPInfo, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}
