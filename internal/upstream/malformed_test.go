package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answerWith starts a target that answers the first request on each connection with text and
// closes the connection.
func answerWith(t *testing.T, text string) string {
	return startTarget(t, func(c net.Conn, r *bufio.Reader, _ int) {
		if readRequest(t, r) != nil {
			io.WriteString(c, text)
		}
	})
}

// Guards against a response that is relayed although its head is not that of an HTTP/1 response
// with one length, or its body does not have that length.
func TestMalformedResponsesAreFailures(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: x\r\n"
	for name, text := range map[string]string{
		"body too short":         ok + "Content-Length: 9\r\n\r\nhello",
		"two lengths":            ok + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
		"list of lengths":        ok + "Content-Length: 5, 4\r\n\r\nhello",
		"negative length":        ok + "Content-Length: -5\r\n\r\nhello",
		"length with a sign":     ok + "Content-Length: +5\r\n\r\nhello",
		"huge length":            ok + "Content-Length: 99999999999999999999\r\n\r\nhello",
		"no number":              ok + "Content-Length: five\r\n\r\nhello",
		"unknown encoding":       ok + "Transfer-Encoding: gzip\r\n\r\nhello",
		"two encodings":          ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"bad chunk size":         ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
		"negative chunk size":    ok + "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n",
		"huge chunk size":        ok + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nhello",
		"chunk longer than said": ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n",
		"chunk cut off":          ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nhello",
		"no last chunk":          ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"trailer cut off":        ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: y",
		"control in trailer":     ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA\x01B: c\r\n\r\n",
		"endless trailer":        ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + strings.Repeat("X: y\r\n", 10_000) + "\r\n",
		"status too short":       "HTTP/1.1 20 OK\r\nId: x\r\n\r\n",
		"status too long":        "HTTP/1.1 2000 OK\r\nId: x\r\n\r\n",
		"status no number":       "HTTP/1.1 OK 200\r\nId: x\r\n\r\n",
		"status out of range":    "HTTP/1.1 777 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n",
		"other protocol":         "SIP/2.0 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n",
		"other version":          "HTTP/2.0 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n",
		"header without a colon": ok + "nonsense\r\nContent-Length: 0\r\n\r\n",
		"space in a name":        ok + "A B: c\r\nContent-Length: 0\r\n\r\n",
		"space before a colon":   ok + "Content-Length : 5\r\n\r\nhello",
		"tab in a name":          ok + "A\tB: c\r\nContent-Length: 0\r\n\r\n",
		"control in a name":      ok + "A\x01B: c\r\nContent-Length: 0\r\n\r\n",
		"NUL in a name":          ok + "A\x00B: c\r\nContent-Length: 0\r\n\r\n",
		"CR in a value":          ok + "A: b\rc\r\nContent-Length: 0\r\n\r\n",
		"no name":                ok + ": c\r\nContent-Length: 0\r\n\r\n",
		"folded line":            ok + "A: b\r\n Content-Length: 2\r\n\r\nhello",
		"folded with a tab":      ok + "A: b\r\n\tContent-Length: 2\r\n\r\nhello",
		"folded, no CR":          ok + "A: b\n Content-Length: 2\n\nhello",
		"folded empty line":      ok + "Content-Length: 0\r\n \r\n\r\n",
		"first line folded":      "HTTP/1.1 200 OK\r\n Id: x\r\nContent-Length: 0\r\n\r\n",
		"folded interim":         "HTTP/1.1 103 Early\r\nA: b\r\n c\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n",
		"space in interim name":  "HTTP/1.1 103 Early\r\nA B: c\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n",
		"status 000":             "HTTP/1.1 000 No\r\nId: x\r\nContent-Length: 0\r\n\r\n",
		"status 099":             "HTTP/1.1 099 No\r\nId: x\r\nContent-Length: 0\r\n\r\n",
		"interim 099":            "HTTP/1.1 099 No\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n",
		"encoding in HTTP/1.0":   "HTTP/1.0 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"signed status":          "HTTP/1.1 +20 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n",
		"control in a value":     ok + "A: b\x00c\r\nContent-Length: 0\r\n\r\n",
		"head cut off":           ok + "Content-Len",
		"interim without end":    strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 100) + ok + "Content-Length: 0\r\n\r\n",
		"no response":            "",
		"garbage":                "\x00\x01\x02\xff\r\n\r\n",
	} {
		body, err := do(t, NewPool(nil), answerWith(t, text), "x")
		assert.Check(t, err != nil, "%s: %q", name, body)
	}
}

// Guards against sound responses of unusual form that are rejected.
func TestUnusualResponsesAreTaken(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello":                                      "hello",
		"HTTP/1.0 200 OK\r\nId: x\r\n\r\nhello":                                                                                "hello",
		"HTTP/1.1 200\r\nId: x\r\n\r\nhello":                                                                                   "hello",
		"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 5\r\n\r\nhello":                         "hello",
		"HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n5;ext=1\r\nhello\r\n0\r\nT: late\r\n\r\n": "hello",
		"HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n":           "hello",
		"HTTP/1.1 204 None\r\nId: x\r\nContent-Length: 5\r\n\r\nhello":                                                         "",
		"HTTP/1.1 304 Same\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n":                              "",
	} {
		body, err := do(t, NewPool(nil), answerWith(t, text), "x")
		assert.Check(t, err, text)
		assert.Check(t, body == want, "%q: %q", text, body)
	}
}

// Guards against bytes after a complete response that are taken for the response to the next
// request, whether they come with it, or later on the idle connection: they spoil the connection.
func TestBytesAfterResponse(t *testing.T) {
	for name, extra := range map[string]string{
		"garbage":             "garbage\r\n\r\n",
		"a response":          "HTTP/1.1 200 OK\r\nId: next\r\nContent-Length: 5\r\n\r\nwrong",
		"a response, no id":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
		"one byte":            "\n",
		"an interim response": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		for _, head := range []string{"200 OK\r\nId: first\r\nContent-Length: 5\r\n\r\nhello", "204 None\r\nId: first\r\n\r\n"} {
			for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
				written := make(chan struct{}, 2)
				address := startTarget(t, func(c net.Conn, r *bufio.Reader, n int) {
					for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
						if n > 0 {
							write(c, req.Header.Get("Id"), "right")
							continue
						}
						if delay == 0 {
							io.WriteString(c, "HTTP/1.1 "+head+extra)
							written <- struct{}{}
							continue
						}
						io.WriteString(c, "HTTP/1.1 "+head)
						time.Sleep(delay)
						io.WriteString(c, extra)
						written <- struct{}{}
					}
				})
				p := NewPool(nil)
				_, err := do(t, p, address, "first")
				assert.NilError(t, err)
				<-written
				body, err := do(t, p, address, "next")
				assert.NilError(t, err)
				assert.Equal(t, body, "right", fmt.Sprint(name, delay))
			}
		}
	}
}

// Guards against bytes that a target sends before the request and that are taken for its response.
func TestBytesBeforeRequest(t *testing.T) {
	written := make(chan struct{})
	address := startTarget(t, func(c net.Conn, r *bufio.Reader, _ int) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		close(written)
		readRequest(t, r)
	})
	request := get("x")
	request.BeforeSend = func() error {
		<-written
		return nil
	}
	body, err := exchange(t, NewPool(nil), address, request)
	assert.Assert(t, err != nil, "%q", body)
	assert.ErrorIs(t, err, errUnexpectedData)
}

// Guards against a malformed head that is accepted because it comes with that of a late response to
// an earlier request.
func TestMalformedHeadAfterLateResponse(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 5\r\n\r\nwrong"
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		address := startTarget(t, func(c net.Conn, r *bufio.Reader, _ int) {
			readRequest(t, r)
			write(c, "first", "right")
			readRequest(t, r)
			io.WriteString(c, late)
			time.Sleep(delay)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: next\r\nA: b\r\n Content-Length: 2\r\n\r\nhello")
		})
		p := NewPool(nil)
		_, err := do(t, p, address, "first")
		assert.NilError(t, err)
		body, err := do(t, p, address, "next")
		assert.Assert(t, err != nil, "%q", body)
	}
}

// Guards against a response that is rejected for a line of its trailer. Trailers are not relayed, and
// the body before them is complete.
func TestMalformedTrailersAreDropped(t *testing.T) {
	for _, trailer := range []string{"A B: c\r\n", "A : c\r\n", "A: b\r\n c\r\n", "A: b\r\n Content-Length: 2\r\n", "Content-Length : 2\r\n"} {
		text := "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + trailer + "\r\n"
		e, err := NewPool(nil).Do(t.Context(), "target", answerWith(t, text), get("x"))
		assert.NilError(t, err)
		body, err := io.ReadAll(e.Body)
		assert.Check(t, err, "%q", trailer)
		assert.Equal(t, string(body), "hello")
		assert.Equal(t, len(e.Header), 1, "%q: %v", trailer, e.Header)
		e.Close()
	}
}
