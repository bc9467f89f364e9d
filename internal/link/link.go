// Package link implements remote calls and one-way messages between entry VMs, as
// msgpack frames over TCP. Connections are authenticated by mutual TLS, or are in
// plaintext on loopback and on private networks.
package link

import "context"

// Caller sends a message to another VM and waits for its reply.
type Caller interface {
	// Call sends request, encoded with msgpack, to the VM with the given peer
	// address, and decodes the response into reply unless reply is nil.
	Call(ctx context.Context, address, kind string, request, reply any) error
}

// Handler handles a message. The payload is msgpack; the returned value is encoded
// as the reply.
type Handler func(ctx context.Context, payload []byte) (reply any, err error)

// Registrar registers handlers for kinds of messages before the server starts.
type Registrar interface {
	Handle(kind string, h Handler)
}
