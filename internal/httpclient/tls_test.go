package httpclient

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/rawserver"
)

// newTLSTransport returns a transport that trusts a server.
func newTLSTransport(server *httptest.Server) *Transport {
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	return New(&http.Transport{DialContext: (&net.Dialer{}).DialContext, TLSClientConfig: &tls.Config{RootCAs: roots}})
}

// Guards against a server with TLS that can't be reached, or isn't verified.
func TestTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "hello") }))
	defer server.Close()
	client := http.Client{Transport: newTLSTransport(server)}
	for range 2 {
		resp, err := client.Get(server.URL)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "hello")
		resp.Body.Close()
	}
	_, err := (&http.Client{Transport: newTransport()}).Get(server.URL)
	assert.ErrorContains(t, err, "certificate")
}

// Guards against a malformed head that is taken because it comes over TLS.
func TestMalformedHeadsOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(nil) // for its certificate
	defer server.Close()
	for name, response := range rawserver.MalformedHeads("", "hello") {
		l, err := tls.Listen("tcp", "127.0.0.1:0", server.TLS)
		assert.NilError(t, err)
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			http.ReadRequest(bufio.NewReader(c))
			io.WriteString(c, response)
		}()
		resp, err := (&http.Client{Transport: newTLSTransport(server)}).Get("https://" + l.Addr().String())
		assert.Check(t, err != nil, "%s: %v", name, resp)
	}
}
