package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/oriolefront/oriolefront/internal/tcp"
)

// errCallerClosed ends an attempt before a byte was sent: its caller has left.
var errCallerClosed = errors.New("the caller has closed its connection")

type callerConnKey struct{}

// CallerConnContext is the ConnContext of the server for callers: it lets the handler look at
// the connection of a request.
func CallerConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// checkCaller returns an error if the caller of a request has closed its connection. net/http
// cancels the context then, but in a goroutine that gets its turn late on a busy VM.
func checkCaller(ctx context.Context) error {
	c, ok := ctx.Value(callerConnKey{}).(net.Conn)
	if !ok {
		return nil
	}
	if err := tcp.Peek(c); errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		return errCallerClosed
	}
	return nil
}
