package connlimit

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/budget"
)

const testTimeout = 5 * time.Second

type connKey struct{}

// serve starts a server behind a guard and returns the guard and its address.
func serve(t *testing.T, memory int64, o Options, h http.HandlerFunc) (*Guard, string) {
	t.Helper()
	o.Connections = max(o.Connections, 1)
	if o.HeadBytes == 0 {
		o.HeadBytes, o.HeadFields = 64<<10, 8192
	}
	o.HeaderTimeout = testTimeout
	g := NewBudget(memory).NewGuard(o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: h, MaxHeaderBytes: o.HeadBytes, ReadHeaderTimeout: testTimeout, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	go s.Serve(g.Protect(s, l))
	t.Cleanup(func() { s.Close() })
	return g, l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// echo answers with the path and the body of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %d fields %q %v", r.URL.Path, len(r.Header), body, err)
}

// readResponse returns the status and the body of the next response.
func readResponse(r *bufio.Reader) (int, string, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal(what)
}

// Guards against bytes that are lost, withheld or taken for a part of another request, however the
// requests of a connection are cut into segments.
func TestRequestsOfOneConnection(t *testing.T) {
	g, address := serve(t, 64<<20, Options{Connections: 4}, echo)
	var text strings.Builder
	var want []string
	add := func(head, body, decoded string, fields int) {
		path := fmt.Sprintf("/%d", len(want))
		fmt.Fprintf(&text, head, path)
		text.WriteString(body)
		want = append(want, fmt.Sprintf("%s %d fields %q <nil>", path, fields, decoded))
	}
	long := strings.Repeat("b", 9000)
	for range 3 {
		add("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", "", "", 0)
		add("POST %s HTTP/1.1\nHost: x\nContent-length:  3\t\n\n", "abc", "abc", 1)
		add("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n", long, long, 1)
		add("POST %s HTTP/1.1\r\nHost: x\r\ntransfer-encoding: Chunked\r\n\r\n", "3;a=b\r\nabc\r\n0A\r\n0123456789\r\n0\r\nT: \r\n\r\n", "abc0123456789", 0)
		add("POST %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "2328\r\n"+long+"\r\n0\r\n\r\n", long, 0)
		add("GET %s HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 6000)+"\r\n folded\r\n\r\n", "", "", 1)
		add("GET %s HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 40000)+"\r\nContent-Length: 2\r\n\r\n", "ab", "ab", 2)
	}
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 0))
		largest := 1 << (2 + random.IntN(15))
		c := dial(t, address)
		go func() {
			for rest := text.String(); rest != ""; {
				n := min(len(rest), 1+random.IntN(largest))
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		reader := bufio.NewReader(c)
		for _, w := range want {
			_, body, err := readResponse(reader)
			assert.NilError(t, err, "seed %d", seed)
			assert.Assert(t, body == w, "seed %d: found %.100s, want %.100s", seed, body, w)
		}
		c.Close()
	}
	eventually(t, "everything is released", func() bool { return g.Open() == 0 && g.budget.Free() == 64<<20 })
}

// Guards against a limit that a head of the documented size reaches, and against heads beyond it
// that are parsed.
func TestHeadLimits(t *testing.T) {
	_, address := serve(t, 64<<20, Options{Connections: 4}, echo)
	fields := func(size int) string {
		head := "GET / HTTP/1.1\r\nHost: x\r\n"
		return head + strings.Repeat("a:\n", (size-len(head)-2)/3) + "\r\n"
	}
	for _, c := range []struct {
		head   string
		status int
	}{
		{fields(16384), 200},
		{fields(40000), 431}, // more than 8192 fields
		{"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		{"\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", 400}, // as net/http without a guard
		{strings.Repeat("\r\n", 100), 400},
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
	} {
		conn := dial(t, address)
		go io.WriteString(conn, c.head)
		status, _, err := readResponse(bufio.NewReader(conn))
		assert.NilError(t, err)
		assert.Equal(t, status, c.status, "%.60q", c.head)
	}
}

// Guards against a request that is hidden from the guard: a body whose end net/http and the guard
// could see at different places.
func TestUnknownEndOfBodyEndsConnection(t *testing.T) {
	_, address := serve(t, 64<<20, Options{Connections: 4}, echo)
	c := dial(t, address)
	io.WriteString(c, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length:\r\n 2\r\n\r\nab")
	reader := bufio.NewReader(c)
	status, body, err := readResponse(reader)
	assert.NilError(t, err)
	assert.Equal(t, status, 200, body)
	io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	_, _, err = readResponse(reader)
	assert.Assert(t, err != nil)
}

// Guards against incomplete heads that cost parsed fields, and against the wrong choice of the
// connection that is closed: never one with a request in service, nor an idle one that an ordinary
// caller may still use, as long as there are others.
func TestClosesLongestWithoutRequest(t *testing.T) {
	release := make(chan struct{})
	g, address := serve(t, 64<<20, Options{Connections: 3, ProtectedIdle: func() time.Duration { return time.Hour }}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})
	slow, idle, incomplete := dial(t, address), dial(t, address), dial(t, address)
	io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	idleReader := bufio.NewReader(idle)
	request := func() {
		io.WriteString(idle, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		status, _, err := readResponse(idleReader)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
	request()
	io.WriteString(incomplete, "GET / HTTP/1.1\r\nHost: x\r\n")
	eventually(t, "three connections", func() bool { return g.Open() == 3 })
	time.Sleep(20 * time.Millisecond)
	next := dial(t, address)
	_, err := io.ReadAll(incomplete)
	assert.NilError(t, err)
	request()
	io.WriteString(next, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	eventually(t, "two requests in service", func() bool { g.budget.mu.Lock(); defer g.budget.mu.Unlock(); return g.waiting.first == nil })
	last := dial(t, address) // no other connection can be closed than the idle one
	io.WriteString(last, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err = idleReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	eventually(t, "three requests in service", func() bool {
		g.budget.mu.Lock()
		defer g.budget.mu.Unlock()
		return g.waiting.first == nil && g.open == 3
	})
	status, _, err := readResponse(bufio.NewReader(dial(t, address)))
	assert.NilError(t, err)
	assert.Equal(t, status, 503)
	close(release)
	for _, c := range []net.Conn{slow, next, last} {
		status, _, err := readResponse(bufio.NewReader(c))
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
}

// Guards against whole heads in service that occupy more than the budget, and against a refusal
// that the client can't read.
func TestHeadsInServiceAreCharged(t *testing.T) {
	release := make(chan struct{})
	g, address := serve(t, 3<<20, Options{Connections: 100}, func(w http.ResponseWriter, r *http.Request) { <-release })
	head := "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 2000) + "\r\n"
	statuses := make(chan int, 20)
	for range 20 {
		c := dial(t, address)
		io.WriteString(c, head)
		go func() {
			status, _, _ := readResponse(bufio.NewReader(c))
			statuses <- status
		}()
	}
	for range 17 {
		assert.Equal(t, <-statuses, 503)
	}
	close(release)
	for range 3 {
		assert.Equal(t, <-statuses, 200)
	}
	eventually(t, "heads are released", func() bool { return g.budget.Free() >= 3<<20-20*connectionBytes })
}

// Guards against a caller that leaves unnoticed while its request is in service.
func TestLeavingCallerIsNoticed(t *testing.T) {
	for _, text := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na"} {
		began, left := make(chan struct{}), make(chan struct{})
		_, address := serve(t, 64<<20, Options{Connections: 4}, func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			close(began)
			<-r.Context().Done()
			close(left)
		})
		c := dial(t, address)
		io.WriteString(c, text)
		<-began
		c.Close()
		select {
		case <-left:
		case <-time.After(testTimeout):
			t.Fatal("the context of the request isn't done")
		}
	}
}

// BenchmarkRequest measures an ordinary request on a kept connection.
func BenchmarkRequest(b *testing.B) {
	for _, kind := range []struct{ name, text string }{
		{"get", "GET /open/x HTTP/1.1\r\nHost: library.example\r\n" + ordinaryHeaders + "\r\n"},
		{"post", "POST /open/x HTTP/1.1\r\nHost: library.example\r\n" + ordinaryHeaders + "Content-Length: 400\r\n\r\n" + strings.Repeat("b", 400)},
		{"head of 16 KiB", "GET /open/x HTTP/1.1\r\nHost: library.example\r\n" + ordinaryHeaders + "X: " + strings.Repeat("x", 16000) + "\r\n\r\n"},
	} {
		for _, guarded := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/guard=%v", kind.name, guarded), func(b *testing.B) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(b, err)
				s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) }), MaxHeaderBytes: 64 << 10, ReadHeaderTimeout: 10 * time.Second}
				if guarded {
					l = NewBudget(64<<20).NewGuard(Options{Connections: 100, HeadBytes: 64 << 10, HeadFields: 8192, HeaderTimeout: 10 * time.Second}).Protect(s, l)
				}
				go s.Serve(l)
				defer s.Close()
				c, err := net.Dial("tcp", l.Addr().String())
				assert.NilError(b, err)
				defer c.Close()
				text, answer := []byte(kind.text), make([]byte, 4096)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := c.Write(text); err != nil {
						b.Fatal(err)
					}
					for n := 0; !bytes.Contains(answer[:n], []byte("\r\n\r\n")); {
						m, err := c.Read(answer[n:])
						if err != nil {
							b.Fatal(err)
						}
						n += m
					}
				}
			})
		}
	}
}

// ordinaryHeaders are as many and as long as those of an ordinary request.
var ordinaryHeaders = func() string {
	var b strings.Builder
	for n := range 14 {
		fmt.Fprintf(&b, "X-Ordinary-Header-%d: some value of a header\r\n", n)
	}
	return b.String()
}()

// Guards against bodies that stall and take the memory for all others until their deadlines, and
// against one that is closed although its handler doesn't keep it.
func TestStalledBodyMakesRoom(t *testing.T) {
	bodies := budget.NewBytes(64 << 10)
	var g *Guard
	g, address := serve(t, 64<<20, Options{Connections: 10}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/discard" {
			r.Context().Value(connKey{}).(*conn).DiscardBody()
			io.Copy(io.Discard, r.Body)
			return
		}
		body, err := bodies.ReadBody(r.Body, r.ContentLength, 1<<20, nil)
		defer bodies.Release(int64(cap(body)))
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	bodies.SetReclaim(func() bool { return g.budget.CloseUpload() })
	stalled := func(path string) net.Conn {
		c := dial(t, address)
		io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n"+strings.Repeat("b", 5000))
		return c
	}
	post := func() int {
		resp, err := http.Post("http://"+address+"/", "text/plain", strings.NewReader(strings.Repeat("b", 40000)))
		assert.NilError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}
	discarding, holding := stalled("/discard"), stalled("/")
	eventually(t, "a body is held", func() bool { return bodies.Available() < 40000 })
	assert.Equal(t, post(), 503) // the other may still be on its way
	time.Sleep(minWait)
	assert.Equal(t, post(), 200)
	_, err := holding.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	io.WriteString(discarding, strings.Repeat("b", 35000))
	status, _, err := readResponse(bufio.NewReader(discarding))
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
}

// Guards against requests in service that need more connections to targets than are reserved.
func TestRequestsInServiceAreLimited(t *testing.T) {
	release := make(chan struct{})
	g, address := serve(t, 64<<20, Options{Connections: 10, Requests: 2}, func(w http.ResponseWriter, r *http.Request) { <-release })
	request := func() *bufio.Reader {
		c := dial(t, address)
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		return bufio.NewReader(c)
	}
	serving := func() int {
		g.budget.mu.Lock()
		defer g.budget.mu.Unlock()
		return g.serving
	}
	assertStatus := func(r *bufio.Reader, want int) {
		t.Helper()
		status, _, err := readResponse(r)
		assert.NilError(t, err)
		assert.Equal(t, status, want)
	}
	served := []*bufio.Reader{request(), request()}
	eventually(t, "two requests in service", func() bool { return serving() == 2 })
	assertStatus(request(), 503)
	assert.Equal(t, serving(), 2)
	close(release)
	for _, r := range served {
		assertStatus(r, 200)
	}
	eventually(t, "no request in service", func() bool { return serving() == 0 }) // a caller has its response before
	assertStatus(request(), 200)
}
