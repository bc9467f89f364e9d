package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// inflightLimiter limits the number and the bytes of the messages being handled.
type inflightLimiter struct {
	mu       sync.Mutex
	freed    *sync.Cond
	messages int
	bytes    int
	closed   bool
}

func newInflightLimiter(messages, bytes int) *inflightLimiter {
	b := &inflightLimiter{messages: messages, bytes: bytes}
	b.freed = sync.NewCond(&b.mu)
	return b
}

// acquire waits until one more message of the given size is allowed. It returns
// false if the limiter was closed.
func (b *inflightLimiter) acquire(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && (b.messages < 1 || b.bytes < bytes) {
		b.freed.Wait()
	}
	b.messages--
	b.bytes -= bytes
	return !b.closed
}

// release undoes one acquire.
func (b *inflightLimiter) release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.messages++
	b.bytes += bytes
	b.freed.Broadcast()
}

// close ends all waiting calls of acquire.
func (b *inflightLimiter) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.freed.Broadcast()
}

// handshake performs the TLS handshake, if c uses TLS, within HandshakeTimeout.
func handshake(ctx context.Context, c net.Conn) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	return t.HandshakeContext(ctx)
}
