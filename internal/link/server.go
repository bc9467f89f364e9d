package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits and timeouts of a Server.
const (
	// DefaultHandlerTimeout is the timeout of a handler if the caller has no
	// deadline, and the maximum otherwise.
	DefaultHandlerTimeout = 30 * time.Second
	// MaxHandlersPerConnection limits the messages of a connection that are handled
	// concurrently. At the limit, no more messages are read from the connection.
	MaxHandlersPerConnection = 64
	// MaxBytesPerConnection limits the total payload of the messages of a connection
	// that are handled concurrently. One more frame of up to MaxFrameBytes may have
	// been read already.
	MaxBytesPerConnection = 16 << 20
	// MaxConnections limits the connections of a server by default, see Limits. The
	// planned fleet has 590 nodes with one connection from each.
	MaxConnections = 2048
	// IdleTimeout is the time after which a connection is closed if no complete frame
	// arrives. Heartbeats arrive every 500 ms, so only abandoned or hostile
	// connections reach it.
	IdleTimeout = 30 * time.Second
	// WriteTimeout limits each write.
	WriteTimeout = 5 * time.Second
	// HandshakeTimeout limits the TLS handshake.
	HandshakeTimeout = 3 * time.Second
)

var _ Registrar = (*Server)(nil)

// Server handles messages from other VMs.
type Server struct {
	counters
	security Security
	log      *slog.Logger
	handlers map[string]Handler

	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]*connState
	limits     Limits
	memory     *frameMemory
	closed     bool
	goroutines sync.WaitGroup
}

// connState is what the server knows of a connection.
type connState struct {
	since time.Time
	// heard is true when the other end has sent a whole frame.
	heard atomic.Bool
}

// NewServer returns a server without handlers and with the default limits.
func NewServer(security Security, log *slog.Logger) *Server {
	return NewLimitedServer(security, log, DefaultLimits())
}

// NewLimitedServer returns a server without handlers.
func NewLimitedServer(security Security, log *slog.Logger, limits Limits) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		security: security,
		log:      log,
		handlers: map[string]Handler{},
		ctx:      ctx,
		cancel:   cancel,
		conns:    map[net.Conn]*connState{},
		limits:   limits,
		memory:   &frameMemory{free: limits.FrameBytes, pending: map[*receipt]struct{}{}},
	}
}

// Handle implements Registrar. It must not be called after Listen.
func (s *Server) Handle(kind string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		panic("link: Handle called after Listen")
	}
	s.handlers[kind] = h
}

// Listen starts the server on an IP:port and returns the address that it listens on,
// which differs from the given one if that has port 0.
func (s *Server) Listen(address string) (string, error) {
	if err := s.security.check(address); err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen for peers: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.listener != nil {
		listener.Close()
		return "", errors.New("listen for peers: server is closed or listens already")
	}
	s.listener = listener
	s.goroutines.Add(1)
	go s.accept(listener)
	return listener.Addr().String(), nil
}

// Close closes the listener and all connections, cancels the handlers and waits for
// them to return.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.cancel()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// acceptRetry is the delay after a failed accept, for example when the process is
// out of file descriptors.
const acceptRetry = 50 * time.Millisecond

func (s *Server) accept(listener net.Listener) {
	defer s.goroutines.Done()
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("accept of a peer connection failed", "error", err)
			time.Sleep(acceptRetry)
			continue
		}
		if !s.add(c) {
			c.Close()
			continue
		}
		go s.serve(c)
	}
}

// add registers a connection. It returns false if the server is closed or has
// reached its limit of connections.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if !s.addConn(c) {
		s.log.Warn("peer connection refused: too many connections", "limit", s.limits.Connections)
		return false
	}
	s.goroutines.Add(1)
	return true
}

// serve reads the messages of one connection until it fails.
func (s *Server) serve(raw net.Conn) {
	defer s.goroutines.Done()
	c := s.newServerConn(raw)
	err := c.run()
	c.close()
	c.handlers.Wait()
	s.mu.Lock()
	delete(s.conns, raw)
	s.mu.Unlock()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		s.log.Info("peer connection closed", "remote", raw.RemoteAddr().String(), "error", err)
	}
}

// serverConn is an accepted connection.
type serverConn struct {
	server   *Server
	state    *connState
	raw      net.Conn
	conn     net.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	inflight *inflightLimiter
	handlers sync.WaitGroup
	writeMu  sync.Mutex
}

func (s *Server) newServerConn(raw net.Conn) *serverConn {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	state := s.conns[raw]
	s.mu.Unlock()
	if state == nil {
		state = &connState{} // closed for another connection meanwhile
	}
	return &serverConn{
		server:   s,
		state:    state,
		raw:      raw,
		conn:     s.security.server(&countingConn{Conn: raw, counters: &s.counters}),
		ctx:      ctx,
		cancel:   cancel,
		inflight: newInflightLimiter(MaxHandlersPerConnection, MaxBytesPerConnection),
	}
}

// close closes the TCP connection without a TLS close_notify alert, which could
// block if the peer does not read.
func (c *serverConn) close() {
	c.cancel()
	c.inflight.close()
	c.raw.Close()
}

func (c *serverConn) run() error {
	if err := handshake(c.ctx, c.conn); err != nil {
		return err
	}
	r := bufio.NewReader(c.conn)
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(IdleTimeout)); err != nil {
			return err
		}
		receipt := c.server.memory.newReceipt(c.raw)
		f, err := readFrame(r, receipt.acquire)
		if err != nil {
			receipt.done()
			return err
		}
		receipt.received()
		c.state.heard.Store(true)
		c.server.messagesIn.Add(1)
		if f.Type == replyFrame {
			receipt.done()
			return fmt.Errorf("%w: reply on a connection that sends no requests", ErrMalformed)
		}
		if !c.inflight.acquire(len(f.Payload)) {
			receipt.done()
			return net.ErrClosed
		}
		c.handlers.Add(1)
		go c.handle(f, receipt)
	}
}

// handle runs the handler of a message and sends the reply.
func (c *serverConn) handle(f *frame, r *receipt) {
	defer c.handlers.Done()
	defer r.done()
	defer c.inflight.release(len(f.Payload))
	ctx, cancel := context.WithTimeout(c.ctx, f.timeout())
	defer cancel()
	reply := c.respond(ctx, f)
	if f.Type == oneWayFrame {
		return
	}
	if err := c.write(reply); err != nil {
		c.close()
	}
}

// respond calls the handler and returns the reply frame.
func (c *serverConn) respond(ctx context.Context, f *frame) *frame {
	reply := &frame{Type: replyFrame, ID: f.ID}
	handler, ok := c.server.handlers[f.Kind]
	if !ok {
		reply.Code, reply.Message = CodeUnknownKind, "no handler for this kind"
		return reply
	}
	value, err := c.call(ctx, handler, f)
	if err != nil {
		reply.Code, reply.Message = CodeHandler, err.Error()
		return reply
	}
	if value == nil {
		return reply
	}
	if reply.Payload, err = msgpack.Marshal(value); err != nil {
		reply.Code, reply.Message = CodeReply, err.Error()
	}
	return reply
}

// call runs the handler and converts a panic into an error, because a single bad
// message must not crash the process.
func (c *serverConn) call(ctx context.Context, h Handler, f *frame) (value any, err error) {
	defer func() {
		if p := recover(); p != nil {
			c.server.log.Error("handler of a peer message panicked", "kind", f.Kind, "panic", p)
			err = fmt.Errorf("handler panicked: %v", p)
		}
	}()
	return h(ctx, f.Payload)
}

// write sends a reply within WriteTimeout.
func (c *serverConn) write(f *frame) error {
	data, err := encodeFrame(f)
	if err != nil {
		data, err = encodeFrame(&frame{Type: replyFrame, ID: f.ID, Code: CodeReply, Message: err.Error()})
	}
	if err != nil {
		return err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return err
	}
	if _, err := c.conn.Write(data); err != nil {
		return err
	}
	c.server.messagesOut.Add(1)
	return nil
}
