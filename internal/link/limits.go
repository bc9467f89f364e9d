package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Limits bound what the connections of a Server occupy together.
type Limits struct {
	// Connections is the largest number of connections. At the limit, the oldest connection
	// that hasn't sent a whole frame is closed for a new one.
	Connections int
	// FrameBytes bounds the memory of the frames that are received and handled, except for the
	// first freeFrameBytes of each frame.
	FrameBytes int64
}

// DefaultLimits returns the limits of a Server that isn't given any.
func DefaultLimits() Limits { return Limits{Connections: MaxConnections, FrameBytes: 128 << 20} }

// MinFrameBytes is the least value of Limits.FrameBytes: one frame of the largest size while it is
// received, decoded and grown into a larger buffer.
const MinFrameBytes = 2*MaxFrameBytes + MaxFrameBytes/2

const (
	// freeFrameBytes of each frame aren't charged. Heartbeats and requests for changes are
	// smaller, so that they pass while the memory for frames is used up.
	freeFrameBytes = 16 << 10
	// minReceiveTime is how long a frame is safe from being closed for another one.
	minReceiveTime = time.Second
)

// ErrNoMemory means that the memory for frames is used up.
var ErrNoMemory = errors.New("the memory for messages is used up")

// frameMemory is the memory of the frames of a Server. A nil *frameMemory is unlimited.
type frameMemory struct {
	mu      sync.Mutex
	free    int64
	pending map[*receipt]struct{}
}

// receipt is the memory charged for one frame.
type receipt struct {
	memory *frameMemory
	conn   net.Conn
	since  time.Time
	bytes  int64
}

// newReceipt begins a frame of a connection.
func (m *frameMemory) newReceipt(c net.Conn) *receipt {
	return &receipt{memory: m, conn: c}
}

// acquire charges n more bytes to a frame that is being received. If too few are free, it closes
// the connections whose frames have been incomplete for longest.
func (r *receipt) acquire(n int64) bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for m.free < n {
		victim := m.oldest()
		if victim == nil || victim == r || now.Sub(victim.since) < minReceiveTime {
			return false
		}
		m.release(victim)
		victim.conn.Close()
	}
	if r.bytes == 0 {
		r.since = now
		m.pending[r] = struct{}{}
	}
	m.free -= n
	r.bytes += n
	return true
}

// oldest returns the frame that has been incomplete for longest. m.mu must be held.
func (m *frameMemory) oldest() *receipt {
	var found *receipt
	for r := range m.pending {
		if found == nil || r.since.Before(found.since) {
			found = r
		}
	}
	return found
}

// received records that the frame is complete.
func (r *receipt) received() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	delete(r.memory.pending, r)
}

// done releases the memory of the frame.
func (r *receipt) done() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.release(r)
}

func (m *frameMemory) release(r *receipt) {
	delete(m.pending, r)
	m.free += r.bytes
	r.bytes = 0
}

// readBody reads the body of a frame into a buffer that grows as bytes arrive. The buffer is
// charged before it grows, twice because the decoded payload is a copy.
func readBody(from io.Reader, size int, acquire func(n int64) bool) ([]byte, error) {
	body := make([]byte, 0, min(size, freeFrameBytes))
	for len(body) < size {
		if len(body) == cap(body) {
			grown := min(size, 2*cap(body))
			if acquire != nil && !acquire(2*int64(grown-cap(body))) {
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := io.ReadFull(from, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// addConn registers a connection, and closes the oldest one without a whole frame if there are
// too many. It returns false if there is none. s.mu must be held.
func (s *Server) addConn(c net.Conn) bool {
	if len(s.conns) >= s.limits.Connections {
		var oldest net.Conn
		for other, state := range s.conns {
			if !state.heard.Load() && (oldest == nil || state.since.Before(s.conns[oldest].since)) {
				oldest = other
			}
		}
		if oldest == nil {
			return false
		}
		delete(s.conns, oldest)
		oldest.Close()
	}
	s.conns[c] = &connState{since: time.Now()}
	return true
}
