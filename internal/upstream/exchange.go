package upstream

import (
	"net/http"

	"github.com/oriolefront/oriolefront/internal/httpclient"
)

// Exchange is a response that is being read. Close must be called.
type Exchange struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool
	done bool
}

// Complete ends the exchange after the complete response was read. The connection is returned
// to the pool if nothing else has arrived on it.
func (e *Exchange) Complete() {
	if e.done {
		return
	}
	e.done = true
	if !e.stop() || !e.reusable() {
		e.conn.Close()
		return
	}
	e.pool.keepIdle(e.conn, e.Response.Header)
}

func (e *Exchange) reusable() bool {
	select {
	case <-e.conn.written:
	default:
		return false
	}
	return e.conn.writeErr == nil && !e.conn.spoiled && !e.Response.Close && e.conn.reader.Buffered() == 0 && !e.EndsWithConnection()
}

// EndsWithConnection reports whether the response has neither a length nor chunks: only the end
// of its connection ends it.
func (e *Exchange) EndsWithConnection() bool { return httpclient.EndsWithConnection(e.Response) }

// Close ends the exchange. If it is not complete, the connection is closed, which makes the
// target cancel the request.
func (e *Exchange) Close() {
	if e.done {
		return
	}
	e.done = true
	e.stop()
	e.conn.Close()
}
