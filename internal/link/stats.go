package link

import (
	"net"
	"sync/atomic"
)

// Stats counts messages and bytes since the start. The bytes are those written to
// and read from TCP, including TLS overhead.
type Stats struct {
	MessagesIn, MessagesOut uint64
	BytesIn, BytesOut       uint64
}

// Add returns the sum of s and o, for example those of a Server and a Client.
func (s Stats) Add(o Stats) Stats {
	s.MessagesIn += o.MessagesIn
	s.MessagesOut += o.MessagesOut
	s.BytesIn += o.BytesIn
	s.BytesOut += o.BytesOut
	return s
}

// counters are the counters behind Stats, safe for concurrent use.
type counters struct {
	messagesIn, messagesOut atomic.Uint64
	bytesIn, bytesOut       atomic.Uint64
}

// Stats returns the current counts.
func (c *counters) Stats() Stats {
	return Stats{
		MessagesIn:  c.messagesIn.Load(),
		MessagesOut: c.messagesOut.Load(),
		BytesIn:     c.bytesIn.Load(),
		BytesOut:    c.bytesOut.Load(),
	}
}

// countingConn counts the bytes of a TCP connection.
type countingConn struct {
	net.Conn
	counters *counters
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesIn.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesOut.Add(uint64(n))
	return n, err
}
