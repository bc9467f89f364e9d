package httphead

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// scan scans text in pieces of a size. It returns what precedes the first malformed byte.
func scan(s *Scanner, text string, size int) (string, error) {
	for done := 0; done < len(text); done += size {
		piece := text[done:min(done+size, len(text))]
		if n, err := s.Scan([]byte(piece)); err != nil {
			return text[:done+n], err
		}
	}
	return text, nil
}

// Guards against a malformed head that is accepted, however it is cut into segments.
func TestMalformedHeads(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for text, valid := range map[string]string{
		"HTTP/1.1 000 X\r\n\r\n":                                "HTTP/1.1 000",
		"HTTP/1.1 099 X\r\n\r\n":                                "HTTP/1.1 099",
		"HTTP/1.1 600 X\r\n\r\n":                                "HTTP/1.1 600",
		"HTTP/1.1 -20 X\r\n\r\n":                                "HTTP/1.1 ",
		"HTTP/1.1 +20 X\r\n\r\n":                                "HTTP/1.1 ",
		"HTTP/1.1 20 X\r\n\r\n":                                 "HTTP/1.1 20",
		"HTTP/1.1 2000 X\r\n\r\n":                               "HTTP/1.1 200",
		"HTTP/1.1\r\n\r\n":                                      "HTTP/1.1",
		"HTTP/2.0 200 OK\r\n\r\n":                               "HTTP/",
		"http/1.1 200 OK\r\n\r\n":                               "",
		"\r\nHTTP/1.1 200 OK\r\n\r\n":                           "",
		"\x00\x01":                                              "",
		ok + "X A: b\r\n\r\n":                                   ok + "X",
		ok + "X\tA: b\r\n\r\n":                                  ok + "X",
		ok + "X\x00A: b\r\n\r\n":                                ok + "X",
		ok + "X\x7fA: b\r\n\r\n":                                ok + "X",
		ok + "X\xe9A: b\r\n\r\n":                                ok + "X",
		ok + "Content-Length : 5\r\n\r\n":                       ok + "Content-Length",
		ok + "Transfer-Encoding : chunked\r\n\r\n":              ok + "Transfer-Encoding",
		ok + "A: b\r\n Content-Length: 5\r\n\r\n":               ok + "A: b\r\n",
		ok + "A: b\n\tContent-Length: 5\r\n\r\n":                ok + "A: b\n",
		ok + " A: b\r\n\r\n":                                    ok,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": "HTTP/1.0 200 OK\r\nTransfer-Encoding",
		ok + "nonsense\r\n\r\n":                                 ok + "nonsense",
		ok + ": b\r\n\r\n":                                      ok,
		ok + "\rA: b\r\n\r\n":                                   ok + "\r",
		"HTTP/1.1 103 Early\r\nX A: b\r\n\r\n" + ok + "\r\n":    "HTTP/1.1 103 Early\r\nX",
		"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 099 X":      "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 099",
	} {
		for _, size := range []int{1, 3, len(text)} {
			got, err := scan(&Scanner{}, text, size)
			assert.Check(t, errors.Is(err, ErrMalformed), "%q", text)
			assert.Check(t, got == valid, "%q: valid up to %q", text, got)
		}
	}
}

// Guards against a sound head that is rejected, and against a body that is taken for a part of it.
func TestSoundHeads(t *testing.T) {
	for text, framed := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n body": false,
		"HTTP/1.1 200\r\n\r\n body":    false,
		"HTTP/1.0 204 \r\n\r\n":        false,
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: a\r\nContent-Length: 4\r\n\r\nbody": true,
		"HTTP/1.1  200 OK\nA: b\n\n body":                                            false,
		"HTTP/1.1 200 \xe9t\xe9\r\nA:\xe9 : \t, b\r\nB:\r\n\r\n\tbody":               false,
		"HTTP/1.1 200 OK\r\nx-content-length: 7\r\nContent-Length-X: 7\r\n\r\nX y":   false,
		"HTTP/1.1 200 OK\r\ncontent-LENGTH: 7\r\n\r\n body\n \n":                     true,
		"HTTP/1.1 200 OK\r\nTransfer-encoding: chunked\r\n\r\n0\r\n X y: z\r\n":      true,
		"HTTP/1.1 103 Early\r\nContent-Length: 0\r\n\r\nHTTP/1.1 599 X\r\n\r\n ":     false,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n\x00":                               false,
	} {
		for _, size := range []int{1, 3, len(text)} {
			var s Scanner
			_, err := scan(&s, text, size)
			assert.Check(t, err, "%q", text)
			assert.Check(t, s.Complete(), "%q", text)
			assert.Check(t, s.Framed() == framed, "%q", text)
		}
	}
}

// Guards against a head whose end or whose fields net/http sees elsewhere than the Scanner, which
// would check a part of the body, or leave a part of the head unchecked.
func TestScannerAgreesWithNetHTTP(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fields := rapid.StringMatching(`([AB -]{1,2}[: ]?[ \tb]{0,3}\r?\n){0,4}\r?\n`).Draw(t, "fields")
		reader := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + fields + "body"))
		var s Scanner
		resp, err := http.ReadResponse(bufio.NewReader(&untilComplete{&s, reader}), nil)
		if err != nil {
			return // malformed for one of them
		}
		assert.Assert(t, s.Complete())
		rest, _ := io.ReadAll(reader)
		count := 0
		for _, values := range resp.Header {
			count += len(values)
		}
		head := strings.TrimSuffix(fields+"body", string(rest))
		assert.Equal(t, count, strings.Count(head, "\n")-1, "%q", head)
	})
}

// untilComplete reads a head byte by byte and ends with it, or with the error of its Scanner.
type untilComplete struct {
	scanner *Scanner
	reader  *bufio.Reader
}

// Read implements io.Reader.
func (u *untilComplete) Read(p []byte) (int, error) {
	if u.scanner.Complete() {
		return 0, io.EOF
	}
	b, err := u.reader.ReadByte()
	if err != nil {
		return 0, err
	}
	p[0] = b
	return u.scanner.Scan(p[:1])
}
