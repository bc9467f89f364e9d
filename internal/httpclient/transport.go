// Package httpclient provides an HTTP/1 transport that rejects broken responses which http.Transport
// takes for sound ones.
package httpclient

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper. A response that it returns is a final one with a sound head, and
// its body ends with io.EOF only if that is known to be its end.
type Transport struct{ http *http.Transport }

// New returns a Transport that uses t, which must have a DialContext and must not be used otherwise.
func New(t *http.Transport) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	config := t.TLSClientConfig
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return handshake(ctx, c, config, address)
	}
	return &Transport{http: t}
}

// handshake returns a TLS connection to the server at address, a host and port. The configuration may
// be nil.
func handshake(ctx context.Context, c net.Conn, config *tls.Config, address string) (net.Conn, error) {
	config = config.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if host, _, err := net.SplitHostPort(address); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	secure := tls.Client(c, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return newConn(secure), nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn] // the latest one: http.Transport may send a request once more
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.beginRequest(bodyLength(r))
			used.Store(c)
		}
	}}
	resp, err := t.http.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, responseError(used.Load(), err)
	}
	// http.Transport returns any status below 100, and 101 although no request asks for it.
	if resp.StatusCode < http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("server sent status %03d, which ends no request", resp.StatusCode)
	}
	return resp, nil
}

// responseError returns why a connection got no response. http.Transport, whose error is err, sees a
// cut head in place of a malformed one. The connection may be nil.
func responseError(c *conn, err error) error {
	if c == nil {
		return err
	}
	if malformed := c.malformed(); malformed != nil {
		return malformed
	}
	return err
}

// EndsWithConnection reports whether a response has neither a length nor chunks. Reads of its body wait
// at the end until the request is written.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }
