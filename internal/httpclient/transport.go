// Package httpclient provides an HTTP/1 transport that rejects broken responses which http.Transport
// takes for sound ones.
package httpclient

import (
	"fmt"
	"net/http"
)

// Transport is an http.RoundTripper. A response that it returns is a final one.
type Transport struct{ http *http.Transport }

// New returns a Transport that uses t, which must not be used otherwise.
func New(t *http.Transport) *Transport { return &Transport{http: t} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.http.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	// http.Transport returns any status below 100, and 101 although no request asks for it.
	if resp.StatusCode < http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("server sent status %03d, which ends no request", resp.StatusCode)
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }
