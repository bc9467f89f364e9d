package tcp

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a closed connection that is taken for an open one, against bytes that are lost,
// and against a wait for the goroutine that reads from the connection.
func TestPeek(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	other, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	assert.ErrorIs(t, Peek(c), syscall.EAGAIN)

	read := make(chan byte)
	go func() {
		var one [1]byte
		c.Read(one[:])
		read <- one[0]
	}()
	time.Sleep(20 * time.Millisecond)
	assert.ErrorIs(t, Peek(c), syscall.EAGAIN)
	other.Write([]byte("ab"))
	assert.Equal(t, <-read, byte('a'))
	assert.NilError(t, Peek(c))
	var one [1]byte
	_, err = c.Read(one[:])
	assert.NilError(t, err)
	assert.Equal(t, one[0], byte('b'))

	other.Close()
	time.Sleep(20 * time.Millisecond)
	assert.ErrorIs(t, Peek(c), io.EOF)
	c.Close()
	assert.Assert(t, Peek(c) != nil)
}
