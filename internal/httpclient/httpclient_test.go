package httpclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/httphead"
	"github.com/oriolefront/oriolefront/internal/rawserver"
)

func newTransport() *Transport {
	return New(&http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableCompression: true})
}

// exchange sends a request with a body and reads the complete response.
func exchange(t *testing.T, transport *Transport, address string, body string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against a response that is taken although its head is malformed.
func TestMalformedHeads(t *testing.T) {
	for name, response := range rawserver.MalformedHeads("", "hello") {
		body, err := exchange(t, newTransport(), rawserver.Start(t, rawserver.Text(response)), "")
		assert.Check(t, err != nil, "%s: %q", name, body)
		switched := strings.HasPrefix(response, "HTTP/1.1 101") // a sound head
		assert.Check(t, switched || errors.Is(err, httphead.ErrMalformed), "%s: %v", name, err)
	}
}

// answerEach returns a responder that answers the requests of a connection with the given responses,
// one after the other, in pieces of a size. It counts connections.
func answerEach(connections *atomic.Int32, size int, responses ...string) rawserver.Responder {
	return func(c *net.TCPConn, r *http.Request) {
		connections.Add(1)
		for _, response := range responses {
			io.Copy(io.Discard, r.Body)
			for rest := response; rest != ""; rest = rest[min(size, len(rest)):] {
				io.WriteString(c, rest[:min(size, len(rest))])
			}
			var err error
			if r, err = http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
		}
	}
}

// Guards against a body that is taken for a head, and against a head that is not checked because it
// is not the first one of its connection.
func TestEachResponseOfConnectionIsChecked(t *testing.T) {
	const body = "\r\n X A: b\r\n\r\nHTTP/1.1 000 X\r\n"
	response := func(head string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nA : b\r\n c\r\n\r\n", len(body), body)
	interim := "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + response("A: b\r\n")
	for _, size := range []int{1, 7, 1 << 20} {
		var connections atomic.Int32
		address := rawserver.Start(t, answerEach(&connections, size, response(""), chunked, interim, "HTTP/1.1 204 None\r\n\r\n", response(""), response("A : b\r\n")))
		transport := newTransport()
		for _, want := range []string{body, body, body, "", body} {
			got, err := exchange(t, transport, address, "request")
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		}
		_, err := exchange(t, transport, address, "request")
		assert.ErrorIs(t, err, httphead.ErrMalformed)
		assert.Equal(t, connections.Load(), int32(1))
	}
}

// Guards against a request that fails because its connection was closed while it was idle.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	address := rawserver.Start(t, rawserver.Text("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	client := http.Client{Transport: newTransport()}
	for range 20 {
		resp, err := client.Get("http://" + address)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		resp.Body.Close()
		time.Sleep(time.Millisecond)
	}
}
