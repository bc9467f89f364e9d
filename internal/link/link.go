// Package link carries messages between entry VMs: msgpack frames over TCP,
// authenticated by mutual TLS, or in plaintext on loopback.
package link

import "context"

// Caller sends a message to another VM and waits for its reply.
type Caller interface {
	// Call sends request, encoded with msgpack, to the VM whose peer address
	// is given, and decodes the answer into reply unless reply is nil.
	Call(ctx context.Context, address, kind string, request, reply any) error
}

// Handler answers a message. The payload is msgpack; the returned value is
// encoded as the reply.
type Handler func(ctx context.Context, payload []byte) (reply any, err error)

// Registrar takes the handlers of message kinds before the server starts.
type Registrar interface {
	Handle(kind string, h Handler)
}
