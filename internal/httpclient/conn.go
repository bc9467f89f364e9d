package httpclient

import (
	"net"
	"sync"

	"github.com/oriolefront/oriolefront/internal/httphead"
)

// conn is a connection that carries one request at a time. It checks the heads of their responses.
type conn struct {
	net.Conn

	mu sync.Mutex
	// head checks the response to the latest request. http.Transport closes a connection on which
	// bytes arrive that belong to none.
	head httphead.Scanner
}

// beginRequest prepares for the response to a request, of which nothing was written yet. A read may
// be waiting.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Begin(nil) // its error ends each read
}

// Read implements net.Conn. It returns only what precedes a malformed byte of a head, and then an
// error.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.malformed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.CheckRead(p[:n], err)
}

func (c *conn) malformed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Err()
}
