package tcp

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := ListenReserved()
	assert.NilError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	other, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { other.Close() })
	return c.(*net.TCPConn), other.(*net.TCPConn)
}

// writeUntilFull writes more than the other end takes without reading.
func writeUntilFull(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := c.Write(make([]byte, 32<<20))
	assert.ErrorContains(t, err, "timeout")
}

// Guards against the end of a stream that is taken for one in order although the connection was
// reset: a write is told of the reset, and the read after it sees an ordinary end.
func TestAwaitAcknowledgedAfterReset(t *testing.T) {
	near, far := connect(t)
	assert.NilError(t, far.SetLinger(0))
	far.Close()
	for err := error(nil); err == nil; {
		_, err = near.Write([]byte("x"))
	}
	_, err := near.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.ErrorIs(t, AwaitAcknowledged(near), syscall.ECONNRESET)
}

// Guards against an end in order that is taken for a reset.
func TestAwaitAcknowledgedAfterEnd(t *testing.T) {
	near, far := connect(t)
	_, err := near.Write(make([]byte, 100))
	assert.NilError(t, err)
	assert.NilError(t, far.CloseWrite())
	_, err = near.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, AwaitAcknowledged(near))
}

// Guards against bytes that count as received while they wait in the buffers of this side, and
// against a wait that neither their acknowledgement nor the end of the connection ends.
func TestAwaitAcknowledgedWaits(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(near, far *net.TCPConn)
		want error
	}{
		"read":         {func(_, far *net.TCPConn) { go io.Copy(io.Discard, far) }, nil},
		"reset":        {func(_, far *net.TCPConn) { far.SetLinger(0); far.Close() }, syscall.ECONNRESET},
		"closed here":  {func(near, _ *net.TCPConn) { near.Close() }, net.ErrClosed},
		"ended, reset": {func(_, far *net.TCPConn) { far.CloseWrite(); far.Close() }, syscall.ECONNRESET},
	} {
		near, far := connect(t)
		writeUntilFull(t, near)
		result := make(chan error, 1)
		go func() { result <- AwaitAcknowledged(near) }()
		select {
		case err := <-result:
			t.Errorf("%s: ended before all was acknowledged: %v", name, err)
		case <-time.After(50 * time.Millisecond):
		}
		c.end(near, far)
		assert.ErrorIs(t, <-result, c.want, name)
	}
}
