package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// budget bounds the messages in work and their bytes.
type budget struct {
	mu       sync.Mutex
	freed    *sync.Cond
	messages int
	bytes    int
	closed   bool
}

func newBudget(messages, bytes int) *budget {
	b := &budget{messages: messages, bytes: bytes}
	b.freed = sync.NewCond(&b.mu)
	return b
}

// acquire waits for room and returns false when the budget was closed.
func (b *budget) acquire(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && (b.messages < 1 || b.bytes < bytes) {
		b.freed.Wait()
	}
	b.messages--
	b.bytes -= bytes
	return !b.closed
}

// release returns what acquire took.
func (b *budget) release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.messages++
	b.bytes += bytes
	b.freed.Broadcast()
}

// close ends all waits.
func (b *budget) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.freed.Broadcast()
}

// handshake completes TLS, if c uses it, within HandshakeTimeout.
func handshake(ctx context.Context, c net.Conn) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
	defer cancel()
	return t.HandshakeContext(ctx)
}
