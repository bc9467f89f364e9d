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
	"github.com/oriolefront/oriolefront/internal/tcp"
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

// startKeeping starts a server that answers the requests of a connection with the given responses,
// one after the other, in pieces of a size. It returns its address and the number of connections.
func startKeeping(t *testing.T, size int, responses ...string) (string, *atomic.Int32) {
	t.Helper()
	var accepted atomic.Int32
	l, err := tcp.ListenReserved()
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go answerEach(c, size, responses)
		}
	}()
	return l.Addr().String(), &accepted
}

func answerEach(c net.Conn, size int, responses []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, response := range responses {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		for rest := response; rest != ""; rest = rest[min(size, len(rest)):] {
			io.WriteString(c, rest[:min(size, len(rest))])
		}
	}
	reader.ReadByte() // until the client closes the connection
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
		address, accepted := startKeeping(t, size, response(""), chunked, interim, "HTTP/1.1 204 None\r\n\r\n", response(""), response("A : b\r\n"))
		transport := newTransport()
		for _, want := range []string{body, body, body, "", body} {
			got, err := exchange(t, transport, address, "request")
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		}
		_, err := exchange(t, transport, address, "request")
		assert.ErrorIs(t, err, httphead.ErrMalformed)
		assert.Equal(t, accepted.Load(), int32(1))
	}
}

// Guards against a request that fails because its connection was closed while it was idle.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	address := rawserver.Start(t, rawserver.Text(response))
	transport := newTransport()
	for range 20 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
		assert.NilError(t, err)
		resp, err := transport.RoundTrip(r)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		time.Sleep(time.Millisecond)
	}
}
